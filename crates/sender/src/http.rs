//! HTTP/1.1 as the protocol uses it: what is read from a ring and what is written into one.

use crate::limits::Limits;
use crate::ring::Ring;

/// Why a request can't be taken, as the status of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection(pub u16);

const MALFORMED: Rejection = Rejection(400);
const LENGTH_REQUIRED: Rejection = Rejection(411);
const BODY_TOO_LARGE: Rejection = Rejection(413);
const HEAD_TOO_LARGE: Rejection = Rejection(431);
const UNKNOWN_CODING: Rejection = Rejection(501);

#[derive(Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn of(parsed: &[httparse::Header]) -> Headers {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
        Headers(parsed.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect())
    }

    /// The first header of that name, which is given in small letters.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    fn lists(&self, name: &str, token: &str) -> bool {
        let mut values = self.0.iter().filter(|(n, _)| n == name);
        values.any(|(_, value)| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
    }

    fn length(&self) -> Result<Option<usize>, ()> {
        let mut found = None;
        for (_, value) in self.0.iter().filter(|(name, _)| name == "content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length = value.parse().ok().filter(|_| digits).ok_or(())?;
            // Two lengths that differ would let a second request hide in the first one's body.
            if found.is_some_and(|earlier| earlier != length) {
                return Err(());
            }
            found = Some(length);
        }
        Ok(found)
    }
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// The connection ends with the answer.
    pub close: bool,
}

/// What stands before the body of a request.
#[derive(Debug)]
pub struct RequestHead {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    /// Bytes of the body that follows.
    pub length: usize,
    /// The connection ends with the answer.
    pub close: bool,
}

impl RequestHead {
    /// Bytes that it takes in memory, at most.
    pub fn memory(&self) -> usize {
        let pair = size_of::<(String, String)>();
        let fields = self.headers.0.iter().map(|(name, value)| pair + name.capacity() + value.capacity());
        self.method.capacity() + self.path.capacity() + fields.sum::<usize>()
    }
}

/// The head of the request at the front of the ring, and its own length; `None` while more of it has to come.
fn parse_request_head(ring: &mut Ring, limits: &Limits) -> Result<Option<(RequestHead, usize)>, Rejection> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut parsed = httparse::Request::new(&mut lines);
    let bytes = ring.bytes();
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if bytes.len() > limits.head => return Err(HEAD_TOO_LARGE),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HEAD_TOO_LARGE),
        Err(_) => return Err(MALFORMED),
    };
    if head > limits.head {
        return Err(HEAD_TOO_LARGE);
    }
    let headers = Headers::of(parsed.headers);
    let method = parsed.method.unwrap_or_default().to_owned();
    let path = parsed.path.unwrap_or_default().to_owned();
    let old = parsed.version == Some(0);
    if headers.get("transfer-encoding").is_some() {
        return Err(UNKNOWN_CODING);
    }
    let length = headers.length().map_err(|()| MALFORMED)?;
    if length.is_none() && matches!(method.as_str(), "POST" | "PUT" | "PATCH") {
        return Err(LENGTH_REQUIRED);
    }
    let length = length.unwrap_or(0);
    if length > limits.body {
        return Err(BODY_TOO_LARGE);
    }
    let close = headers.lists("connection", "close") || (old && !headers.lists("connection", "keep-alive"));
    Ok(Some((RequestHead { method, path, headers, length, close }, head)))
}

/// Takes the head of a request from the front of the ring; `None` while more of it has to come.
///
/// # Errors
///
/// The status to refuse the request with, as soon as its head tells, and before any of its body is held.
pub fn take_request_head(ring: &mut Ring, limits: &Limits) -> Result<Option<RequestHead>, Rejection> {
    let Some((head, bytes)) = parse_request_head(ring, limits)? else { return Ok(None) };
    ring.consume(bytes);
    Ok(Some(head))
}

/// Takes a whole request from the front of the ring; `None` while more of it has to come.
pub fn take_request(ring: &mut Ring, limits: &Limits) -> Result<Option<Request>, Rejection> {
    let Some((head, bytes)) = parse_request_head(ring, limits)? else { return Ok(None) };
    let RequestHead { method, path, headers, length, close } = head;
    if ring.len() < bytes + length {
        return Ok(None);
    }
    let body = ring.bytes()[bytes..bytes + length].to_vec();
    ring.consume(bytes + length);
    Ok(Some(Request { method, path, headers, body, close }))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

pub fn put_answer(ring: &mut Ring, status: u16, body: &str, close: bool) {
    let end = if close { "Connection: close\r\n" } else { "" };
    let reason = reason(status);
    let length = body.len();
    ring.push(
        format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{end}\r\n{body}").as_bytes(),
    );
}

/// Full for now: when to come again, in seconds.
pub fn put_later(ring: &mut Ring, again_secs: f64, close: bool) {
    let end = if close { "Connection: close\r\n" } else { "" };
    let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
    ring.push(format!("{head}Retry-After: {again_secs:.3}\r\n{end}\r\n").as_bytes());
}

pub fn put_request(ring: &mut Ring, line: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) {
    let length = (!body.is_empty() || line.starts_with("POST")).then_some(body.len());
    put_request_head(ring, line, host, headers, length);
    ring.push(body);
}

/// The head of a request whose body, of this length, the caller puts behind it.
pub fn put_request_head(
    ring: &mut Ring,
    line: &str,
    host: &str,
    headers: &[(&str, &str)],
    length: Option<usize>,
) {
    let mut head = format!("{line} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        head.extend([name, ": ", value, "\r\n"]);
    }
    if let Some(length) = length {
        head += &format!("Content-Length: {length}\r\n");
    }
    head += "\r\n";
    ring.push(head.as_bytes());
}

#[derive(Debug)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Headers,
    close: bool,
}

/// How the end of an answer's body is told.
enum Extent {
    Length(usize),
    Chunks,
    ToTheEnd,
}

/// What an endpoint or the discovery service sent makes no sense.
#[derive(Debug, PartialEq, Eq)]
pub struct Garbled(pub &'static str);

/// Takes the head of an answer, passing over interim ones, of which `interim` counts those of one answer.
pub fn take_answer_head(
    ring: &mut Ring,
    limits: &Limits,
    interim: &mut usize,
) -> Result<Option<AnswerHead>, Garbled> {
    loop {
        let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
        let mut parsed = httparse::Response::new(&mut lines);
        let bytes = ring.bytes();
        let head = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(head)) if head <= limits.head => head,
            Ok(httparse::Status::Partial) if bytes.len() <= limits.head => return Ok(None),
            Ok(_) => return Err(Garbled("the head of an answer is too long")),
            Err(_) => return Err(Garbled("an answer is no HTTP")),
        };
        let status = parsed.code.unwrap_or_default();
        let headers = Headers::of(parsed.headers);
        let old = parsed.version == Some(0);
        ring.consume(head);
        if (100..200).contains(&status) {
            *interim += 1;
            if *interim > limits.interim {
                return Err(Garbled("interim answers never end"));
            }
            continue;
        }
        let close =
            headers.lists("connection", "close") || (old && !headers.lists("connection", "keep-alive"));
        return Ok(Some(AnswerHead { status, headers, close }));
    }
}

impl AnswerHead {
    /// Of an answer of which only the first line could be read.
    pub fn bare(status: u16) -> AnswerHead {
        AnswerHead { status, headers: Headers::default(), close: true }
    }

    fn extent(&self) -> Result<Extent, Garbled> {
        if matches!(self.status, 204 | 304) {
            return Ok(Extent::Length(0));
        }
        let length = self.headers.length().map_err(|()| Garbled("an answer's length is no number"))?;
        match self.headers.get("transfer-encoding") {
            Some(coding) if length.is_none() && coding.eq_ignore_ascii_case("chunked") => {
                return Ok(Extent::Chunks);
            }
            Some(_) => {
                return Err(Garbled("an answer's length is told in two ways, or in none that is known"));
            }
            None => {}
        }
        Ok(length.map_or(Extent::ToTheEnd, Extent::Length))
    }

    /// Whether the connection can carry another call after this answer.
    pub fn keeps(&self) -> bool {
        !self.close && !matches!(self.extent(), Ok(Extent::ToTheEnd) | Err(_))
    }

    /// Takes the body that follows the head; `None` while more of it has to come.
    pub fn take_body(&self, ring: &mut Ring, ended: bool, most: usize) -> Result<Option<Vec<u8>>, Garbled> {
        let too_long = Garbled("the body of an answer is too long");
        let bytes = ring.bytes();
        let (used, body) = match self.extent()? {
            Extent::Length(length) if length > most => return Err(too_long),
            Extent::Length(length) if bytes.len() < length => return Ok(None),
            Extent::Length(length) => (length, bytes[..length].to_vec()),
            Extent::ToTheEnd if bytes.len() > most => return Err(too_long),
            Extent::ToTheEnd if !ended => return Ok(None),
            Extent::ToTheEnd => (bytes.len(), bytes.to_vec()),
            Extent::Chunks => match take_chunks(bytes, most)? {
                Some(taken) => taken,
                None if bytes.len() > 2 * most => return Err(too_long),
                None => return Ok(None),
            },
        };
        ring.consume(used);
        Ok(Some(body))
    }
}

fn take_chunks(bytes: &[u8], most: usize) -> Result<Option<(usize, Vec<u8>)>, Garbled> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Garbled("a chunk's size is no number")),
        };
        if size > (most - body.len()) as u64 {
            return Err(Garbled("the body of an answer is too long"));
        }
        at += start;
        if size == 0 {
            // Trailer lines, of which none is wanted, end with an empty one.
            loop {
                let Some(line) = bytes[at..].windows(2).position(|pair| pair == b"\r\n") else {
                    return Ok(None);
                };
                at += line + 2;
                if line == 0 {
                    return Ok(Some((at, body)));
                }
            }
        }
        let end = at + size as usize;
        if bytes.len() < end + 2 {
            return Ok(None);
        }
        if &bytes[end..end + 2] != b"\r\n" {
            return Err(Garbled("a chunk has another size than it says"));
        }
        body.extend_from_slice(&bytes[at..end]);
        at = end + 2;
    }
}
