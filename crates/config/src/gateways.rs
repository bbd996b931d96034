//! A list of gateways, as it stands in an installation's file or in one of its own, checked whole.

use crate::choice;
use crate::reader::{Complaint, Section, read_plain};
use indigomast::api::{Condition, KindId, ZoneId};
use indigomast_sender::list::ListedEndpoint;
use std::collections::BTreeMap;
use std::net::SocketAddr;

choice! {
    /// Whether a gateway takes new calls.
    Working, "\"running\" or \"drained\"" {
        Running = "running",
        Drained = "drained",
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub destination: u64,
    pub kind: usize,
    pub zone: usize,
    pub weight: f64,
    pub drained: bool,
}

impl Gateway {
    pub fn listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            name: self.name.clone(),
            address: Some(self.address),
            dest: self.destination,
            kind: KindId(self.kind),
            zone: ZoneId(self.zone),
            units: self.weight,
            condition: if self.drained { Condition::Stopping } else { Condition::Running },
        }
    }
}

/// The words of an installation that its lists use; a name's place is its index.
#[derive(Clone, Debug, Default)]
pub struct Vocabulary {
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Gateways at the most.
    pub most: usize,
}

/// Reads the tables named `gateways`; what is wrong in one of them, or among them, is complained about there.
pub fn read_gateways(section: &Section, words: &Vocabulary) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    let mut named: BTreeMap<String, usize> = BTreeMap::new();
    let mut at: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let entries = section.sections("gateways");
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    for entry in &entries {
        let one_of = |name: &'static str, value: String, words: &[String], what: &str| {
            let found = words.iter().position(|word| *word == value);
            if found.is_none() {
                entry.complain(name, format!("{value:?} is no {what}; there are {}", words.join(", ")));
            }
            found.unwrap_or(0)
        };
        let first = |words: &[String]| words.first().cloned().unwrap_or_default();
        let name =
            entry.required("name", String::new(), "what it is called, in logs and from one list to the next");
        let gateway = Gateway {
            address: entry.required("address", nowhere, "where it takes calls"),
            destination: entry.required("destination", 0usize, "the number of the destination that it serves")
                as u64,
            kind: one_of(
                "kind",
                entry.or("kind", first(&words.kinds), "one of `kinds`"),
                &words.kinds,
                "kind",
            ),
            zone: one_of(
                "zone",
                entry.or("zone", first(&words.zones), "one of `zones`"),
                &words.zones,
                "zone",
            ),
            weight: entry.or(
                "weight",
                1.0,
                "its part of its destination's calls; what it means to the decisions says `weights`",
            ),
            drained: entry.or("state", Working::Running, "a drained one gets no new calls")
                == Working::Drained,
            name,
        };
        let plain = |name: &str| name.bytes().all(|b| b.is_ascii_graphic());
        entry.demand("name", !gateway.name.is_empty() && plain(&gateway.name), || {
            "has to be printable, without blanks".into()
        });
        entry.demand("address", gateway.address.port() != 0 || gateway.address == nowhere, || {
            "port 0 is no port".into()
        });
        let line = entry.place().1;
        if let Some(before) = named.insert(gateway.name.clone(), line) {
            entry
                .complain("name", format!("{:?} is the name of another one, in line {before}", gateway.name));
        }
        if gateway.address != nowhere
            && let Some(before) = at.insert(gateway.address, gateway.name.clone())
            && before != gateway.name
        {
            entry.complain(
                "address",
                format!("{} is that of {before:?}: one gateway under two names", gateway.address),
            );
        }
        gateways.push(gateway);
    }
    drop(entries);
    if gateways.len() > words.most {
        section.complain(
            "gateways",
            format!("{} are more than limits.gateways, {}", gateways.len(), words.most),
        );
    }
    let open = || gateways.iter().filter(|gateway| !gateway.drained);
    if open().count() > 0 && open().all(|gateway| gateway.weight == 0.0) {
        section.complain("gateways", "all weights are 0: nothing could be sent anywhere");
    }
    gateways
}

/// What a file of its own has to end in, so that one cut in the middle of a write is not taken for whole.
pub const END: &str = "# end";

/// Reads a file that holds a list. Its last line is `# end` with its end of line, or `# end` and the CRC-32 of all before that line in eight
/// hexadecimal digits.
pub fn read_list(file: &str, text: &str, words: &Vocabulary) -> Result<Vec<Gateway>, Vec<Complaint>> {
    if let Err(what) = whole(text) {
        let line = text.lines().count().max(1);
        return Err(vec![Complaint { file: file.into(), line, column: 1, field: String::new(), what }]);
    }
    read_plain(file, text, |section| read_gateways(section, words)).sound()
}

fn whole(text: &str) -> Result<(), String> {
    // Its end of line as well: without it the mark may be the beginning of one with a sum.
    let is_ended = text.ends_with('\n');
    let text = text.trim_end_matches(['\n', '\r', ' ', '\t']);
    let start = text.rfind('\n').map_or(0, |at| at + 1);
    let Some(rest) = text[start..].strip_prefix(END) else {
        return Err(format!("the last line is not {END:?}: the file is not whole, or not yet"));
    };
    let sum = format!("{:08x}", crc32fast::hash(&text.as_bytes()[..start]));
    match rest.trim() {
        "" if is_ended => Ok(()),
        "" => Err(format!("the last line, {END:?}, has no end of line: the file is not whole, or not yet")),
        said if said == sum => Ok(()),
        said => Err(format!(
            "the last line tells of {said}, but what is above it is {sum}: the file is not whole"
        )),
    }
}

/// A list with the sum of what it holds in its last line, in place of a last line that it may have had.
pub fn seal(text: &str) -> String {
    let mut lines: Vec<&str> = text.trim_end().lines().collect();
    if lines.last().is_some_and(|line| line.starts_with(END)) {
        lines.pop();
    }
    let body: String = lines.iter().flat_map(|line| [line, "\n"]).collect();
    let sum = crc32fast::hash(body.as_bytes());
    format!("{body}{END} {sum:08x}\n")
}

#[cfg(test)]
mod tests;
