//! What texts owed cost: in memory, in the journal, at a restart, and to drain.

use crate::hollow::{
    GRANT, Hollow, SLOTS, Sink, info, list_text, outcome, parse_list, site, submits, unbounded,
};
use crate::meter::Meter;
use crate::target;
use crate::{About, Reading, Role};
use indigomast::api::*;
use indigomast::time::{Moment, Span};
use indigomast_journal::{Simulated, Store};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::request_ids::RequestIds;
use indigomast_sender::text_journal::{TextInfo, TextJournal};
use std::collections::BTreeMap;
use std::sync::Arc;

const BODY: usize = 256;
const DESTINATIONS: usize = 64;
const BATCH: usize = 32;
const LATENCY: Span = Span::millis(40);
const DAY: Span = Span::millis(86_400_000);

pub struct Owed;

impl Role for Owed {
    fn about(&self) -> About {
        About {
            name: "owed",
            unit: "texts owed",
            range: (100.0, 1_000_000.0),
            goal: target::BACKLOG_A_SENDER,
            assumes: &[
                "bodies of 256 bytes, ids of 16, no keys; 64 destinations; no text has been tried",
                "the journal's files may be of any size, on a disk that takes no time; drained without limits or paces",
            ],
        }
    }

    fn needs(&self, size: f64) -> f64 {
        size * 4000.0
    }

    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let size = size as usize;
        let site = site(1, 0);
        let (memory, sockets, disk) = GRANT;
        let granted = site.limits(Grant::new(memory, sockets, disk))?.texts;
        let limits = unbounded(&site)?;
        let journal = indigomast_journal::Settings::within(1 << 40, limits.journal.longest);
        let limits = Limits { journal, ..limits };

        let mut journal = TextJournal::with_store(Sink::default(), &limits, Moment::from_millis(0.0))
            .map_err(|e| e.to_string())?;
        let empty = meter.mark();
        let texts = put(&mut journal, size)?;
        let (wal_bytes, wal_micros) = (meter.bytes_since(empty), meter.micros_since(empty));

        let before = meter.mark();
        let mut ids = RequestIds::default();
        for (text, owed) in journal.outstanding() {
            ids.insert(owed.info.id.clone(), TextId(*text), owed.info.fingerprint(&owed.body), true);
        }
        let id_bytes = meter.bytes_since(before);

        let settings = Settings { listed_rate: ListedRate::Silent, ..info(1, 0).decode() };
        let mut hollow = Hollow::new(settings, seed);
        hollow.listed(parse_list(&list_text(0, DESTINATIONS, 1, true), &site, &limits)?);
        hollow.step(vec![Event::PauseSubmits(true)]);
        let before = meter.mark();
        for batch in texts.chunks(BATCH) {
            let events = batch.iter().map(|text| Event::Accepted(handed(*text, hollow.now)));
            hollow.step(events.collect());
            hollow.passes(Span::millis(1));
        }
        let (rules_bytes, rules_micros) = (meter.bytes_since(before), meter.micros_since(before));
        let second = super::destinations::seconds(&mut hollow, meter, 1);

        // All goes out as fast as answers come.
        let (start, mut delivered, mut numbers) = (meter.mark(), 0, BTreeMap::new());
        let mut actions = hollow.step(vec![Event::PauseSubmits(false)]);
        while delivered < size {
            let out = submits(&actions, &mut numbers);
            if out.is_empty() && hollow.now > Moment::from_millis(0.0) + DAY {
                return Err(format!("only {delivered} of {size} were delivered"));
            }
            for one in &out {
                journal.record_submit(one.text.0, hollow.now, "zone-0");
            }
            journal.flush().map_err(|e| e.to_string())?;
            hollow.passes(LATENCY);
            for one in &out {
                if let Some(owed) = journal.outstanding().get(&one.text.0) {
                    ids.mark_finished(&owed.info.id);
                }
                journal.record_end(one.text.0, None);
                numbers.remove(&one.text);
            }
            delivered += out.len();
            let ends = out.into_iter().map(|one| outcome(one, Verdict::Delivered, LATENCY));
            actions = hollow.step(ends.collect());
            journal.flush().map_err(|e| e.to_string())?;
        }
        let drained = meter.micros_since(start) / size as f64;
        let sink = journal.into_store();
        let written = sink.written;
        drop((hollow, ids, sink, numbers, actions));

        // The next life reads it all again.
        let mut journal = TextJournal::with_store(Simulated::new(), &limits, Moment::from_millis(0.0))
            .map_err(|e| e.to_string())?;
        put(&mut journal, size)?;
        let store = journal.into_store();
        let disk = store.held();
        let store = store.after_kill();
        let start = meter.mark();
        let journal =
            TextJournal::with_store(store, &limits, Moment::from_millis(0.0)).map_err(|e| e.to_string())?;
        let found = journal.outstanding().len();
        let mut hollow = Hollow::new(info(1, 0).decode(), seed);
        let left = journal.outstanding().iter().map(|(text, owed)| {
            let past = owed.past(|_| ZoneId(0));
            Event::Resumed(handed(*text, hollow.now), past)
        });
        let left = left.collect();
        hollow.step(vec![Event::PauseSubmits(true)]);
        hollow.step(left);
        let restarted = meter.micros_since(start);
        if found != size {
            return Err(format!("{found} of {size} were found again"));
        }
        Ok(vec![
            Reading::count("journal bytes on disk", disk as f64),
            Reading::count("journal bytes written until drained", written as f64),
            Reading::count("texts that 128 MB and 2 GB admit", granted as f64),
            Reading::count("steps of a full drain", (size as f64 / SLOTS as f64).ceil()),
            Reading::heap("journal's memory", wal_bytes),
            Reading::heap("decisions' memory", rules_bytes),
            Reading::heap("ids' memory", id_bytes),
            Reading::heap("memory in all", wal_bytes + rules_bytes + id_bytes),
            Reading::each("taken into the journal, each", wal_micros / size as f64),
            Reading::each("taken by the decisions, each", rules_micros / size as f64),
            Reading::each("drained, each", drained),
            Reading::each("a second, held", second),
            Reading::micros("read again at a start", restarted),
        ])
    }
}

fn handed(text: usize, now: Moment) -> AcceptedText {
    let (text, dest) = (TextId(text), DestId(text % DESTINATIONS));
    AcceptedText { text, product: ProductId(0), dest, key: None, valid_until: now + DAY }
}

/// Takes so many texts into a journal, some to each write.
fn put<S: Store>(journal: &mut TextJournal<S>, count: usize) -> Result<Vec<usize>, String> {
    let mut texts = Vec::with_capacity(count);
    let now = Moment::from_millis(0.0);
    for at in 0..count {
        let info = TextInfo {
            id: format!("{at:016x}"),
            mark: None,
            product: "notice-0".into(),
            key: None,
            dest: (at % DESTINATIONS) as u64,
            until_ms: DAY.as_millis(),
        };
        let body: Arc<[u8]> = vec![b'x'; BODY].into();
        texts.push(journal.accept(info, body, now).ok_or_else(|| format!("no room for text {at}"))?);
        if texts.len() % BATCH == 0 || texts.len() == count {
            journal.flush().map_err(|e| e.to_string())?;
        }
    }
    Ok(texts)
}
