//! The judge: all six rules, checked from the wire alone and never from what a sender says of itself.
//!
//! It is told of hand-ins and their answers, calls and how they ended, notices, what the list told and what ran at a
//! gateway. Each breach names the text or gateway, the moment and the evidence. Whatever a client was not told to be
//! taken on counts for nothing, as the protocol has it.

use indigomast::time::{Moment, Span};
use indigomast_gateway::{Fall, Fate, TextNo};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: one final answer in time, and nothing after it.
    OneAnswer,
    /// 2: no effect twice.
    NoDouble,
    /// 3: drains are kept.
    Drains,
    /// 4: a returning destination is not overwhelmed.
    Returns,
    /// 5: order for each key, and rest after doubt.
    Order,
    /// 6: told waits are heeded.
    Waits,
    /// At most so many submits for a text, never two at once.
    Submits,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    pub at_ms: f64,
    /// The text, gateway or key that it is about.
    pub of: String,
    pub evidence: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Resendable,
    Referenced,
    OnceOnly,
}

/// The figures that the judge goes by.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub submits: usize,
    pub drain_grace: Span,
    pub settle: Span,
    /// How long after its time is up a text may still be ended.
    pub overtime: Span,
    /// Calls that leave so soon after a wait was told may have crossed it.
    pub crossing: Span,
    /// What clocks and threads of a stage may be off.
    pub slack: Span,
    /// From a sender's return until it has to have ended what was due meanwhile.
    pub recovery: Span,
}

/// A text as it was handed in.
#[derive(Clone, Debug)]
pub struct Handed {
    pub text: TextNo,
    pub sender: usize,
    pub kind: Kind,
    pub key: Option<u64>,
    /// Names the effect; a text handed in again bears the one of its first.
    pub mark: u64,
    pub valid_until: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Delivered,
    Nacked,
    Undeliverable,
}

/// How a call ended, as far as its sender can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Delivered,
    /// Turned away: it has never run.
    NeverRan,
    /// An error, a reset, a spoilt answer, or the sender stopped waiting.
    MayHaveRun,
}

struct Text {
    handed: Handed,
    taken: bool,
    submits: usize,
    open: usize,
    doubt: bool,
    ended: Option<(Moment, End)>,
    /// The answer that ended it may never have been read.
    unheard: bool,
    /// The first breach about it is enough.
    blamed: BTreeSet<Rule>,
}

#[derive(Default)]
struct Line {
    /// Texts of the key that were taken on and are not known to be over, in the order of handing in.
    texts: Vec<TextNo>,
    rest_until: Option<Moment>,
}

#[derive(Default)]
struct Absence {
    down_since: Option<Moment>,
    /// Spells in which a sender was away, with the time it had to recover.
    spells: Vec<(Moment, Moment)>,
}

pub struct Judge {
    terms: Terms,
    texts: BTreeMap<TextNo, Text>,
    lines: BTreeMap<(usize, u64), Line>,
    /// Runs of a mark that took effect.
    runs: BTreeMap<u64, Vec<(Moment, TextNo)>>,
    waits: BTreeMap<(usize, usize), (Moment, Moment)>,
    /// When a sender was told that an endpoint drains or is gone.
    drains: BTreeMap<(usize, usize), Moment>,
    away: BTreeMap<usize, Absence>,
    breaches: Vec<Breach>,
    /// How many of each rule, also those beyond what is kept.
    pub counts: BTreeMap<Rule, u64>,
}

/// Breaches kept with their evidence; further ones are only counted.
const KEPT: usize = 200;

fn name(text: TextNo) -> String {
    format!("text {:016x}", text.0)
}

impl Judge {
    pub fn new(terms: Terms) -> Judge {
        Judge {
            terms,
            texts: BTreeMap::new(),
            lines: BTreeMap::new(),
            runs: BTreeMap::new(),
            waits: BTreeMap::new(),
            drains: BTreeMap::new(),
            away: BTreeMap::new(),
            breaches: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    fn accuse(&mut self, rule: Rule, at: Moment, of: String, evidence: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule, at_ms: at.as_millis(), of, evidence });
        }
    }

    fn blame(&mut self, rule: Rule, at: Moment, text: TextNo, evidence: String) {
        let first = self.texts.get_mut(&text).is_none_or(|known| known.blamed.insert(rule));
        if first {
            self.accuse(rule, at, name(text), evidence);
        }
    }

    pub fn handed_in(&mut self, handed: Handed) {
        let text = handed.text;
        let new = Text {
            handed,
            taken: false,
            submits: 0,
            open: 0,
            doubt: false,
            ended: None,
            unheard: false,
            blamed: BTreeSet::new(),
        };
        if let Some(key) = new.handed.key {
            self.lines.entry((new.handed.sender, key)).or_default().texts.push(text);
        }
        self.texts.insert(text, new);
    }

    /// The client has its answer, or has given up waiting for one.
    pub fn answered(&mut self, text: TextNo, taken: bool) {
        let Some(known) = self.texts.get_mut(&text) else { return };
        known.taken = taken;
        if !taken {
            let place = known.handed.key.map(|key| (known.handed.sender, key));
            if let Some(line) = place.and_then(|place| self.lines.get_mut(&place)) {
                line.texts.retain(|id| *id != text);
            }
        }
    }

    /// A call's last byte has come to a gateway; `at` is when it left its sender.
    pub fn called(&mut self, at: Moment, sender: usize, endpoint: usize, dest: usize, texts: &[TextNo]) {
        let Terms { submits: most, drain_grace, crossing, slack, .. } = self.terms;
        if let Some((told, until)) = self.waits.get(&(sender, dest)).copied()
            && at > told + crossing
            && at + slack < until
        {
            let early = until.since(at).as_millis();
            let evidence = format!(
                "told at {:.0} ms to wait until {:.0} ms; a call came {early:.0} ms before",
                told.as_millis(),
                until.as_millis()
            );
            self.accuse(Rule::Waits, at, format!("sender {sender}, destination {dest}"), evidence);
        }
        if let Some(told) = self.drains.get(&(sender, endpoint)).copied()
            && at > told + drain_grace + slack
        {
            let late = at.since(told).as_millis();
            let evidence =
                format!("told to leave at {:.0} ms; a call came {late:.0} ms later", told.as_millis());
            self.accuse(Rule::Drains, at, format!("sender {sender}, endpoint {endpoint}"), evidence);
        }
        for &id in texts {
            let Some(text) = self.texts.get_mut(&id) else {
                self.accuse(Rule::OneAnswer, at, name(id), "nobody has handed it in".into());
                continue;
            };
            text.submits += 1;
            text.open += 1;
            let (submits, open, ended, doubt) = (text.submits, text.open, text.ended, text.doubt);
            let (kind, key, unheard) = (text.handed.kind, text.handed.key, text.unheard);
            if submits > most {
                self.blame(Rule::Submits, at, id, format!("submit number {submits} of {most}"));
            }
            if open > 1 {
                self.blame(Rule::Submits, at, id, format!("{open} submits are out at once"));
            }
            if let Some((ended_at, end)) = ended
                && at > ended_at + slack
                && !(end == End::Delivered && unheard)
            {
                let ago = at.since(ended_at).as_millis();
                self.blame(Rule::OneAnswer, at, id, format!("sent {ago:.0} ms after its end ({end:?})"));
            }
            if kind == Kind::OnceOnly && doubt {
                let evidence = format!("once-only, submit {submits} while an earlier one may have run");
                self.blame(Rule::NoDouble, at, id, evidence);
            }
            if let Some(key) = key {
                self.check_order(at, sender, key, id);
            }
        }
    }

    fn check_order(&mut self, at: Moment, sender: usize, key: u64, id: TextNo) {
        let slack = self.terms.slack;
        let Some(line) = self.lines.get_mut(&(sender, key)) else { return };
        // One whose client had no answer counts for nothing; it was handed in again and stands behind itself.
        if !line.texts.contains(&id) {
            return;
        }
        let texts = &self.texts;
        let over = |id: &TextNo| texts[id].ended.is_some() && texts[id].open == 0;
        // Those over at the front are of no account any more.
        let gone = line.texts.iter().take_while(|other| **other != id && over(other)).count();
        line.texts.drain(..gone);
        let rest = line.rest_until.filter(|until| at + slack < *until);
        let earlier = line.texts.iter().take_while(|other| **other != id).find(|other| !over(other)).copied();
        if let Some(earlier) = earlier {
            let open = if texts[&earlier].open > 0 { "a submit out" } else { "no end" };
            self.blame(Rule::Order, at, id, format!("sent while {} of its key has {open}", name(earlier)));
        } else if let Some(until) = rest {
            let early = until.since(at).as_millis();
            self.blame(Rule::Order, at, id, format!("sent {early:.0} ms before its key's rest was over"));
        }
    }

    pub fn call_ended(&mut self, at: Moment, text: TextNo, end: CallEnd) {
        let settle = self.terms.settle;
        let Some(known) = self.texts.get_mut(&text) else { return };
        known.open = known.open.saturating_sub(1);
        match end {
            CallEnd::NeverRan => {}
            CallEnd::Delivered => self.end(at, text, End::Delivered),
            CallEnd::MayHaveRun => {
                known.doubt = true;
                if let Some(key) = known.handed.key {
                    let line = self.lines.entry((known.handed.sender, key)).or_default();
                    line.rest_until = Some(at + settle);
                }
            }
        }
    }

    /// The sender ended the link, or its process did, as the answer with this text's delivery was on its way: it may
    /// take the text for one in doubt. Whether a repeat had an effect is told by what ran.
    pub fn may_not_have_heard(&mut self, text: TextNo) {
        if let Some(known) = self.texts.get_mut(&text) {
            known.unheard = true;
        }
    }

    /// A call whose sender had ended the connection before it came: it was held back on its way. It counts as a submit, and
    /// is no fault otherwise.
    pub fn called_late(&mut self, at: Moment, texts: &[TextNo]) {
        for &id in texts {
            let Some(text) = self.texts.get_mut(&id) else { continue };
            text.submits += 1;
            let submits = text.submits;
            if submits > self.terms.submits {
                let most = self.terms.submits;
                self.blame(
                    Rule::Submits,
                    at,
                    id,
                    format!("submit number {submits} of {most}, late on its way"),
                );
            }
        }
    }

    /// The answer with this text's delivery, which was on its way, has gone out to its sender.
    pub fn heard(&mut self, at: Moment, text: TextNo) {
        if let Some(known) = self.texts.get_mut(&text) {
            known.unheard = false;
            if let Some((ended_at, End::Delivered)) = &mut known.ended {
                *ended_at = at;
            }
        }
    }

    /// From `from` until `until` a sender may not have been able to end texts, whatever it did.
    pub fn held_up(&mut self, sender: usize, from: Moment, until: Moment) {
        let recovery = self.terms.recovery;
        self.away.entry(sender).or_default().spells.push((from, until + recovery));
    }

    /// What a gateway did in truth.
    pub fn ran(&mut self, at: Moment, text: TextNo, mark: u64, fate: Fate) {
        let Some(known) = self.texts.get(&text) else { return };
        if fate == Fate::Repeat || known.handed.kind == Kind::Resendable {
            return;
        }
        self.runs.entry(mark).or_default().push((at, text));
    }

    /// A wait was told in an answer to `sender` about a destination.
    pub fn told_wait(&mut self, at: Moment, sender: usize, dest: usize, wait: Span) {
        let until = at + wait;
        let told = self.waits.entry((sender, dest)).or_insert((at, until));
        if until > told.1 {
            *told = (at, until);
        }
    }

    /// The list told a sender that an endpoint drains or is gone, or that it is there.
    pub fn told_of(&mut self, at: Moment, sender: usize, endpoint: usize, leaves: bool) {
        if leaves {
            self.drains.entry((sender, endpoint)).or_insert(at);
        } else {
            self.drains.remove(&(sender, endpoint));
        }
    }

    pub fn noticed(&mut self, at: Moment, text: TextNo, end: End) {
        let Some(known) = self.texts.get(&text) else { return };
        // A client that will hand it in again has been told that this is harmless.
        if end == End::Nacked && known.handed.kind == Kind::OnceOnly && known.doubt && known.ended.is_none() {
            self.blame(Rule::NoDouble, at, text, "once-only and nacked, though it may have run".into());
        }
        self.end(at, text, end);
    }

    fn end(&mut self, at: Moment, text: TextNo, end: End) {
        let Some(known) = self.texts.get_mut(&text) else { return };
        match known.ended {
            None => known.ended = Some((at, end)),
            // The same notice may come again, one for a text that was delivered does no harm, and an answer that
            // comes after the notice is heard by nobody; whether its effect was one too many is told by what ran.
            Some((_, was)) if was == end || was == End::Delivered || end == End::Delivered => {}
            Some((before, was)) => {
                let evidence = format!("{end:?} after {was:?} at {:.0} ms", before.as_millis());
                self.blame(Rule::OneAnswer, at, text, evidence);
            }
        }
    }

    /// The sender's process is gone: its waits end, what was out may have run, and what the list told is unknown.
    pub fn died(&mut self, at: Moment, sender: usize) {
        self.waits.retain(|(of, _), _| *of != sender);
        self.drains.retain(|(of, _), _| *of != sender);
        self.away.entry(sender).or_default().down_since.get_or_insert(at);
    }

    pub fn ready(&mut self, at: Moment, sender: usize) {
        let recovery = self.terms.recovery;
        let away = self.away.entry(sender).or_default();
        if let Some(since) = away.down_since.take() {
            away.spells.push((since, at + recovery));
        }
    }

    /// Until when a text may be ended, also where its sender was away as its time ran out.
    fn latest(&self, text: &Text) -> Moment {
        let usual = text.handed.valid_until + self.terms.overtime + self.terms.slack;
        let spells = self.away.get(&text.handed.sender).map_or(&[][..], |away| &away.spells);
        // One spell may begin while another is not yet over.
        let mut latest = usual;
        while let Some(later) = spells
            .iter()
            .find(|(from, until)| *from <= latest && *until >= usual && *until + self.terms.slack > latest)
        {
            latest = later.1 + self.terms.slack;
        }
        latest
    }

    /// Looks through everything at the end of a run, when each text's time is up.
    pub fn close(&mut self, falls: &[Fall]) {
        let mut found = Vec::new();
        for (id, text) in self.texts.iter().filter(|(_, text)| text.taken) {
            let latest = self.latest(text);
            let sender = text.handed.sender;
            match text.ended {
                None => {
                    let evidence = format!("sender {sender} took it on and never ended it");
                    found.push((latest, *id, evidence));
                }
                Some((at, end)) if at > latest => {
                    let late = at.since(text.handed.valid_until).as_millis();
                    let evidence = format!("ended ({end:?}) {late:.0} ms after its time was up");
                    found.push((at, *id, evidence));
                }
                Some(_) => {}
            }
        }
        for (at, id, evidence) in found {
            self.blame(Rule::OneAnswer, at, id, evidence);
        }
        // Texts that their clients gave up before they were taken on count for nothing, which is known only now.
        for runs in std::mem::take(&mut self.runs).into_values() {
            let mut counted = runs.into_iter().filter(|(_, id)| self.texts[id].taken);
            let Some((first_at, first)) = counted.next() else { continue };
            for (at, id) in counted.collect::<Vec<_>>() {
                let since = at.since(first_at).as_millis();
                let evidence = format!("took effect again, {since:.0} ms after {}", name(first));
                self.blame(Rule::NoDouble, at, id, evidence);
            }
        }
        for fall in falls.iter().filter(|fall| fall.from_warned >= 2.0 / 3.0) {
            let evidence = format!(
                "{:.0} calls where {:.0} could be borne, {:.0}% of them from senders that had seen the outage",
                fall.load,
                fall.bearable,
                fall.from_warned * 100.0
            );
            self.accuse(Rule::Returns, fall.at, format!("destination {}", fall.dest.0), evidence);
        }
    }

    /// Whether every text that was taken on has its end.
    pub fn is_settled(&self) -> bool {
        self.texts.values().all(|text| !text.taken || text.ended.is_some())
    }

    /// How the texts that were taken on have ended so far.
    pub fn ends(&self) -> BTreeMap<&'static str, u64> {
        let mut ends = BTreeMap::new();
        for text in self.texts.values().filter(|text| text.taken) {
            let name = match text.ended {
                None => "open",
                Some((_, End::Delivered)) => "delivered",
                Some((_, End::Nacked)) => "nacked",
                Some((_, End::Undeliverable)) => "undeliverable",
            };
            *ends.entry(name).or_default() += 1;
        }
        ends
    }
}
