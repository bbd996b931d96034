//! One question and its answer over TCP, a line each, bounded in length and time.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a connection and each side's line may take together.
pub const PATIENCE: Duration = Duration::from_millis(1500);

/// Reads a line, without its end.
///
/// # Errors
///
/// It doesn't end in time, or within so many bytes.
pub fn read(stream: &mut TcpStream, most: usize, by: Instant) -> io::Result<String> {
    let mut line = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut bytes) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => line.extend_from_slice(&bytes[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return String::from_utf8(line).map_err(|e| io::Error::new(ErrorKind::InvalidData, e));
        }
        if line.len() > most {
            return Err(io::Error::new(ErrorKind::InvalidData, format!("no line's end within {most} bytes")));
        }
    }
}

pub fn write(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{line}\n").as_bytes())
}

/// Says a line to whoever listens there and reads the answer.
///
/// # Errors
///
/// Nobody listens, or the answer doesn't come whole in time.
pub fn ask(to: SocketAddr, line: &str, most: usize) -> io::Result<String> {
    let by = Instant::now() + PATIENCE;
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    _ = stream.set_nodelay(true);
    write(&mut stream, line)?;
    read(&mut stream, most, by)
}

/// A call at a sender's second address: status and body.
///
/// # Errors
///
/// As [`ask`].
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> io::Result<(u16, String)> {
    let by = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(within))?;
    let length = body.len();
    let request =
        format!("{method} {path} HTTP/1.1\r\nHost: sender\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        let left = by.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&bytes[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        if answer.len() > 1 << 20 || Instant::now() >= by {
            return Err(ErrorKind::TimedOut.into());
        }
    }
    let text = String::from_utf8(answer).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    let status = text.get(9..12).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::new(ErrorKind::InvalidData, "no status line"))?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}
