//! A bounded table of client addresses from which a flood of new addresses can't evict the known ones.

use indigomast::time::{Moment, Span};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;

/// The length in bits of the address prefix whose clients are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefixes {
    pub v4: u8,
    pub v6: u8,
}

impl Default for Prefixes {
    fn default() -> Prefixes {
        Prefixes { v4: 24, v6: 64 }
    }
}

/// An address and how many of its leading bits count, as `10.1.0.0/16` or a bare address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Network {
    base: IpAddr,
    bits: u8,
}

fn masked(address: IpAddr, bits: u8) -> IpAddr {
    match address {
        IpAddr::V4(v4) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(bits.min(32))).unwrap_or(0);
            IpAddr::V4(Ipv4Addr::from(u32::from(v4) & mask))
        }
        IpAddr::V6(v6) => {
            let mask = u128::MAX.checked_shl(128 - u32::from(bits.min(128))).unwrap_or(0);
            IpAddr::V6(Ipv6Addr::from(u128::from(v6) & mask))
        }
    }
}

/// Converts an IPv4-mapped IPv6 address to IPv4: it is the same client.
pub(crate) fn plain(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        IpAddr::V4(_) => address,
    }
}

impl Network {
    pub fn of(address: IpAddr, prefixes: Prefixes) -> Network {
        let address = plain(address);
        let bits = if address.is_ipv4() { prefixes.v4.min(32) } else { prefixes.v6.min(128) };
        Network { base: masked(address, bits), bits }
    }

    pub fn contains(&self, address: IpAddr) -> bool {
        let address = plain(address);
        address.is_ipv4() == self.base.is_ipv4() && masked(address, self.bits) == self.base
    }
}

impl fmt::Display for Network {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.bits)
    }
}

impl FromStr for Network {
    type Err = String;

    fn from_str(text: &str) -> Result<Network, String> {
        let (address, bits) = text.split_once('/').map_or((text, None), |(a, b)| (a, Some(b)));
        let address: IpAddr = address.parse().map_err(|_| format!("{text:?} is no address"))?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let bits = match bits {
            None => most,
            Some(bits) => bits.parse().map_err(|_| format!("{text:?}: its length is no number"))?,
        };
        if bits > most {
            return Err(format!("{text:?}: {bits} bits are more than {most}"));
        }
        if masked(address, bits) != address {
            return Err(format!(
                "{text:?} has bits behind its length; meant is {}/{bits}",
                masked(address, bits)
            ));
        }
        Ok(Network { base: address, bits })
    }
}

impl<'de> Deserialize<'de> for Network {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Network, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Connections open, and those of them on which a request is being read.
    pub open: usize,
    pub reading: usize,
    /// Tokens left for new connections, and when they were last refilled.
    pub tokens: f64,
    pub counted: Moment,
    /// When a text of it was last accepted.
    pub valid_at: Option<Moment>,
    pub seen: Moment,
}

/// Records of addresses. Known and unknown addresses are limited separately, so unknown ones evict only each other.
/// An address with open connections is never evicted.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    records: BTreeMap<IpAddr, Record>,
    /// Addresses without open connections, longest unseen first.
    known: BTreeSet<(Moment, IpAddr)>,
    strangers: BTreeSet<(Moment, IpAddr)>,
}

impl Addresses {
    pub fn get(&self, address: IpAddr) -> Option<&Record> {
        self.records.get(&address)
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Changes the record of an address, creating it with `tokens` if there is none, then limits the records without
    /// open connections to `most` for known and unknown addresses each.
    pub fn change<T>(
        &mut self,
        now: Moment,
        address: IpAddr,
        tokens: f64,
        most: usize,
        change: impl FnOnce(&mut Record) -> T,
    ) -> T {
        let record = self.records.entry(address).or_insert_with(|| Record {
            tokens,
            counted: now,
            seen: now,
            ..Record::default()
        });
        self.known.remove(&(record.seen, address));
        self.strangers.remove(&(record.seen, address));
        record.seen = now;
        let result = change(record);
        if record.open == 0 {
            let list = if record.valid_at.is_some() { &mut self.known } else { &mut self.strangers };
            list.insert((now, address));
        }
        for list in [&mut self.known, &mut self.strangers] {
            while list.len() > most {
                if let Some((_, oldest)) = list.pop_first() {
                    self.records.remove(&oldest);
                }
            }
        }
        result
    }

    /// Whether a text from this address was accepted within `known_for`.
    pub fn is_known(&self, now: Moment, address: IpAddr, known_for: Span) -> bool {
        let valid_at = self.records.get(&address).and_then(|record| record.valid_at);
        valid_at.is_some_and(|at| now.since(at) <= known_for)
    }
}

#[cfg(test)]
mod tests;
