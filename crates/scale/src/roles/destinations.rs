//! What a sender's destinations cost: told of by a whole list, and called now and then.

use crate::hollow::{Hollow, info, list_text, outcome, parse_list, site, submits, unbounded};
use crate::meter::Meter;
use crate::target;
use crate::{About, Reading, Role};
use indigomast::api::*;
use indigomast::time::Span;
use std::collections::BTreeMap;

/// Texts that come to one step, as many as half the calls that may be out.
const BATCH: usize = 32;
const LATENCY: Span = Span::millis(40);
const DAY: Span = Span::millis(86_400_000);
/// Lanes without calls are dropped within so many seconds, which is work too.
const FORGOTTEN_IN: usize = 31;
const CHANGES: usize = 64;

pub struct Destinations;

impl Role for Destinations {
    fn about(&self) -> About {
        About {
            name: "destinations",
            unit: "destinations",
            range: (10.0, target::DESTINATIONS),
            goal: target::DESTINATIONS,
            assumes: &[
                "one endpoint a destination",
                "active: each destination had one text, delivered, within its quiet spell of 30 s",
            ],
        }
    }

    fn needs(&self, size: f64) -> f64 {
        size * 4500.0
    }

    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let size = size as usize;
        let site = site(target::SENDERS as usize, 0);
        let limits = unbounded(&site)?;
        let text = list_text(0, size, 1, true);
        let ones: Vec<String> =
            (0..CHANGES).map(|at| list_text(at % size, at % size + 1, 2 + at as u64, false)).collect();
        let empty = meter.mark();
        let mut hollow = Hollow::new(info(target::SENDERS as usize, 0).decode(), seed);
        hollow.beat();

        let start = meter.mark();
        let listing = parse_list(&text, &site, &limits)?;
        let parse = meter.micros_since(start);
        let start = meter.mark();
        hollow.listed(listing);
        let take = meter.micros_since(start);
        let (idle_bytes, idle_blocks) = (meter.bytes_since(empty), meter.blocks_since(empty));
        let idle = seconds(&mut hollow, meter, 1);

        hollow.passes(Span::millis(9_000));
        let start = meter.mark();
        hollow.listed(parse_list(&text, &site, &limits)?);
        let again = meter.micros_since(start);
        hollow.passes(Span::millis(9_000));
        let start = meter.mark();
        for one in &ones {
            hollow.listed(parse_list(one, &site, &limits)?);
        }
        let change = meter.micros_since(start) / CHANGES as f64;

        // All of them at once: the time between batches is as short as the quiet spell of the first asks for.
        let before = meter.mark();
        let batches = size.div_ceil(BATCH);
        let apart = Span::from_millis((10_000.0 / batches as f64).min(40.0));
        let (mut calls, mut numbers) = (0, BTreeMap::new());
        let start = meter.mark();
        for batch in 0..batches {
            let dests = batch * BATCH..size.min((batch + 1) * BATCH);
            let texts: Vec<Event> = dests.map(|dest| Event::Accepted(hollow.text(dest, DAY))).collect();
            let actions = hollow.step(texts);
            let out = submits(&actions, &mut numbers);
            calls += out.len();
            numbers.clear();
            hollow.passes(apart);
            let ends = out.into_iter().map(|submit| outcome(submit, Verdict::Delivered, LATENCY));
            hollow.step(ends.collect());
        }
        let text_time = meter.micros_since(start) / size as f64;
        let active_bytes = meter.bytes_since(before);
        let active = seconds(&mut hollow, meter, FORGOTTEN_IN);
        if calls != size {
            return Err(format!("{calls} calls for {size} texts"));
        }
        Ok(vec![
            Reading::count("list bytes", text.len() as f64),
            Reading::count("calls to all", calls as f64),
            Reading::heap("idle bytes", idle_bytes),
            Reading::blocks("idle blocks", idle_blocks),
            Reading::heap("active bytes more", active_bytes),
            Reading::micros("list read", parse),
            Reading::micros("list taken", take),
            Reading::micros("list read and taken again", again),
            Reading::each("one change read and taken", change),
            Reading::each("text delivered, each", text_time),
            Reading::each("a second, idle", idle),
            Reading::micros("a second, active", active),
        ])
    }
}

/// Processor time that a second without events takes, on the average of so many.
pub fn seconds(hollow: &mut Hollow, meter: &Meter, count: usize) -> f64 {
    let until = hollow.now + Span::millis(1000) * count as f64;
    let start = meter.mark();
    while hollow.now < until {
        hollow.beat();
    }
    meter.micros_since(start) / count as f64
}
