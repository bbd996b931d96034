//! The actor that owns the decisions: it hears everything, writes it to the log, asks once and carries out.

use crate::call::{Call, Part};
use crate::clock::{Clock, duration, span};
use crate::config::{InForce, Site};
use crate::control::{Order, Refusal};
use crate::counters::Counters;
use crate::endpoint_table::EndpointTable;
use crate::figures::{Ends, Figures};
use crate::handover::{HandoverState, SuccessorWatch};
use crate::intake::Intake;
use crate::limits::Limits;
use crate::list::{self, EndpointList, ListedEndpoint};
use crate::list_file::ListSaver;
use crate::notices::Notice;
use crate::ordering_keys::OrderingKeys;
use crate::peer::{self, Peer, Trunk};
use crate::product_table::{self, ProductTable};
use crate::request_ids::RequestIds;
use crate::text_journal::{self, AuxiliaryRecord, Report, TextInfo, TextJournal};
use crate::{log, log_account, log_decision, log_request, log_state, threads};
use crossbeam_channel::{Receiver, Sender, bounded};
use indigomast::api::*;
use indigomast::rules::Rules;
use indigomast::time::{Moment, Span};
use indigomast_admission::OverloadDetector;
use indigomast_handover::{Incumbent, Seen, Step};
use indigomast_site::Names;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// A text that a client hands in; the client is told once `reply` has an answer.
pub struct HandIn {
    pub info: TextInfo,
    pub body: Arc<[u8]>,
    /// The connection had handed in texts before this one.
    pub proven: bool,
    /// When its last byte was read.
    pub came: Instant,
    pub reply: Sender<Admission>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in the log. Whoever asked says whether the client has heard of it.
    Accepted(TextId),
    /// Handed in before under this id, and taken on then.
    AlreadyAccepted,
    /// Another text was handed in under this id, and that one was taken on.
    IdConflict,
    Full,
    /// This sender could not answer for it just now: come back after so long.
    RetryAfter(Span),
    /// It is not taken on, but a part of it may be in the journal, and then a next life may send it: no promise is made.
    Indeterminate,
    /// No list has ever named its destination.
    UnknownDestination,
}

pub enum Message {
    HandIn(HandIn),
    /// The client has its answer, or has gone before.
    AnswerDelivered(TextId),
    AnswerLost(TextId),
    /// The client was sent away before the decider answered here. Not by its id: another may have come by it.
    RequestAbandoned(Receiver<Admission>),
    Outcome(Outcome),
    /// None where asking failed.
    Listed(Option<EndpointList>),
    /// Endpoints that drain or are gone, by an answer that was not whole: nothing else is known of the list.
    Drained(Vec<ListedEndpoint>),
    /// Until when the list in force may be acted on, as of when it is whole, and whether a question has failed since.
    ListLease {
        until: Option<Moment>,
        as_of: Moment,
        failed: bool,
    },
    Reported(Vec<TextId>),
    /// An operator's.
    Order(Order),
    ChangeSettings(Box<SettingsChange>),
    Stop,
}

/// Settings to be put in force, and who is told whether they are.
pub struct SettingsChange {
    pub site: Site,
    pub reply: Sender<Result<(), String>>,
}

/// Brings the terms that the journal knows and those of the settings together, before anything is taken on under them.
/// Terms that nothing at hand has any more are forgotten.
pub fn reconcile_products(journal: &mut TextJournal, site: &mut Site, figures: &Figures) -> ProductTable {
    let known = |journal: &TextJournal| {
        let rows = journal.auxiliary_records().filter_map(|kept| match kept {
            AuxiliaryRecord::Terms { reference, terms } => Some((reference.clone(), terms.clone())),
            AuxiliaryRecord::Out { .. } => None,
        });
        rows.collect::<Vec<_>>()
    };
    let mut all = ProductTable::new(known(journal));
    let in_force: BTreeSet<usize> = all.add_from(&site.info).into_iter().map(|product| product.0).collect();
    let owed: BTreeSet<String> =
        journal.outstanding().values().map(|owed| owed.info.product.clone()).collect();
    let wanted = |reference: &str| {
        owed.contains(reference) || all.find(reference).is_some_and(|product| in_force.contains(&product.0))
    };
    journal.remove_auxiliary(
        |kept| matches!(kept, AuxiliaryRecord::Terms { reference, .. } if !wanted(reference)),
    );
    let mut table = ProductTable::new(known(journal));
    let products = table.add_from(&site.info);
    for (reference, terms) in table.rows() {
        if !journal
            .add_auxiliary(AuxiliaryRecord::Terms { reference: reference.clone(), terms: terms.clone() })
        {
            log!("the journal has no room for what {reference} stands for");
        }
    }
    name_products(site, &table, &products, figures);
    table
}

fn name_products(site: &mut Site, table: &ProductTable, products: &[ProductId], figures: &Figures) {
    let rows = || products.iter().map(|product| table.row(*product));
    site.references = rows().map(|(reference, _)| reference.clone()).collect();
    site.ends = rows().map(|(_, terms)| figures.product(&terms.name)).collect();
}

/// Texts of a key go on in the order in which they were handed in, also while some still wait for their
/// client to hear, or for the report of an earlier life to be answered.
enum Gate {
    Shut,
    Open(Event),
}

pub struct Decider {
    pub clock: Clock,
    /// Where what is told of the list is kept for the next life; none where no platform tells it.
    pub list_saver: Option<ListSaver>,
    pub limits: Arc<Limits>,
    pub counters: Arc<Counters>,
    pub figures: Arc<Figures>,
    pub site: Arc<InForce>,
    pub table: ProductTable,
    pub trunk: Arc<Trunk>,
    pub list: Sender<list::ListRequest>,
    pub notices: Sender<Notice>,
    pub journal: TextJournal,
    pub seed: u64,
    pub known: EndpointList,
    /// What the process before left, if it left in order.
    pub handover_state: Option<HandoverState>,
    /// Where another process may take over.
    pub handover: Option<Handover>,
}

/// What it takes to let another process take over.
pub struct Handover {
    pub folder: PathBuf,
    pub watch: SuccessorWatch,
    pub machine: Incumbent,
    pub intake: Arc<Intake>,
}

struct Desk {
    clock: Clock,
    list_saver: Option<ListSaver>,
    limits: Arc<Limits>,
    counters: Arc<Counters>,
    figures: Arc<Figures>,
    site: Arc<Site>,
    in_force: Arc<InForce>,
    table: ProductTable,
    /// By product, as the decisions number them.
    ends: Vec<Arc<Ends>>,
    trunk: Arc<Trunk>,
    list: Sender<list::ListRequest>,
    notices: Sender<Notice>,
    journal: TextJournal,
    rules: Rules,
    texts_per_call: Vec<usize>,
    endpoints: EndpointTable,
    ids: RequestIds,
    dests: Names<u64>,
    keys: OrderingKeys,
    gates: BTreeMap<String, VecDeque<(TextId, Gate)>>,
    /// Submits without an outcome.
    out: BTreeMap<(TextId, usize), EndpointId>,
    /// Texts whose client has no answer yet, and who else asked under the same id meanwhile.
    unheard: BTreeMap<TextId, Vec<Sender<Admission>>>,
    replies: Vec<(TextId, Sender<Admission>)>,
    notes: Vec<Notice>,
    events: Vec<Event>,
    wake: Option<Moment>,
    overload: OverloadDetector,
    stopping: Option<Instant>,
    /// Orders in force as soon as they are written.
    orders: Vec<Order>,
    /// When the avoided endpoints were last counted.
    seen: Option<Instant>,
    handover: Option<Handover>,
    /// Of the list in force; none where discovery may be another one since.
    revision: Option<u64>,
    /// Why no text is submitted just now.
    holds: Holds,
}

/// What keeps texts from being submitted for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Holds {
    /// Another process is about to take over.
    handover: bool,
    /// The journal can't be written: no call may leave that it does not know of, and one that never left is no try.
    journal: bool,
}

impl Decider {
    /// Reads back what an earlier life left, then works until told to stop and done with it.
    pub fn run(self, words: Receiver<Message>) {
        let site = self.site.get();
        let settings = Settings { products: self.table.products(), ..site.info.decode() };
        let ends = self.table.rows().iter().map(|(_, terms)| self.figures.product(&terms.name)).collect();
        log_account!(settings:?; "begins");
        let texts_per_call = settings.kinds.iter().map(|kind| kind.texts_per_call).collect();
        let overload = self.limits.overload;
        let (seed, mut known, mut revision) = (self.seed, self.known.members, Some(self.known.revision));
        let (rules, places, ids, dests, keys) = match self.handover_state {
            Some(handover_state) => {
                let listed = |one: &&(EndpointId, ListedEndpoint)| one.1.condition != Condition::Deleted;
                known = handover_state.endpoints.iter().filter(listed).map(|(_, one)| one.clone()).collect();
                revision = handover_state.revision;
                let HandoverState { endpoints, next_endpoint, dests, keys, next_key, ids, learnt, .. } =
                    handover_state;
                (
                    Rules::successor(settings, seed, learnt),
                    EndpointTable::successor(endpoints, next_endpoint),
                    RequestIds::successor(ids),
                    Names::of(dests),
                    OrderingKeys::successor(keys, next_key),
                )
            }
            None => {
                let none = Names::of(Vec::new());
                (
                    Rules::new(settings, seed),
                    EndpointTable::default(),
                    RequestIds::default(),
                    none,
                    OrderingKeys::default(),
                )
            }
        };
        let mut desk = Desk {
            clock: self.clock,
            list_saver: self.list_saver,
            limits: self.limits,
            counters: self.counters,
            figures: self.figures,
            site,
            in_force: self.site,
            table: self.table,
            ends,
            trunk: self.trunk,
            list: self.list,
            notices: self.notices,
            journal: self.journal,
            rules,
            texts_per_call,
            endpoints: places,
            ids,
            dests,
            keys,
            gates: BTreeMap::new(),
            out: BTreeMap::new(),
            unheard: BTreeMap::new(),
            replies: Vec::new(),
            notes: Vec::new(),
            events: Vec::new(),
            wake: None,
            overload: OverloadDetector::new(overload),
            stopping: None,
            orders: Vec::new(),
            seen: None,
            handover: self.handover,
            revision,
            holds: Holds::default(),
        };
        desk.listed(Scope::Persisted, known);
        desk.resume();
        desk.decide();
        let left = desk.work(&words);
        desk.endpoints.ids().into_iter().for_each(|at| desk.endpoints.retire(at));
        if left {
            // The lock goes with the process, not before: the next owner may submit what is still out here, and that is
            // over only once this process's connections are.
            std::mem::forget(desk.journal);
        }
    }
}

impl Desk {
    /// Whether it left its place to another process.
    fn work(&mut self, words: &Receiver<Message>) -> bool {
        loop {
            let wait = self.wake.map_or(Span::ZERO, |at| at.since(self.clock.now()));
            let mut heard: Vec<Message> = words.recv_timeout(duration(wait)).into_iter().collect();
            let late = self.wake.map_or(Span::ZERO, |at| self.clock.now().since(at));
            if late > span(self.limits.stall) {
                thread::sleep(self.limits.stall_pause);
            }
            if self.overload.late(self.clock.now(), late) {
                self.counters.stalls.add(1);
            }
            heard.extend(words.try_iter().take(self.limits.mailbox));
            // An answer that has come is worth more than a time that is up.
            let late = |word: &Message| matches!(word, Message::Outcome(o) if o.verdict == Verdict::TimeOut);
            heard.sort_by_key(|word| match word {
                // Before new texts: those taken on come first, and what ends there makes room.
                Message::Outcome(_) if !late(word) => 0,
                Message::Reported(_) => 0,
                _ if late(word) => 2,
                _ => 1,
            });
            heard.into_iter().for_each(|word| self.hear(word));
            self.keys.remove_expired(self.limits.key_rest);
            self.endpoints.remove_expired(self.limits.place_rest);
            self.ids.remove_expired(self.limits.id_rest, self.limits.texts);
            let now = self.clock.now();
            if self.wake.is_none_or(|at| at <= now) {
                self.events.push(Event::TimerFired);
            }
            let since = self.stopping.map(|since| since.elapsed());
            if since.is_some_and(|since| since >= self.limits.stop_submits) {
                // No new submits: what is still out gets its outcome into the log.
                self.events.clear();
                self.wake = Some(now + span(self.limits.stop_beat));
                self.flush();
            } else {
                self.decide();
            }
            self.count();
            if self.hands_over(words) {
                return true;
            }
            if since.is_some_and(|since| self.done(since)) {
                self.flush();
                return false;
            }
        }
    }

    /// Takes the next step towards another process's taking over; whether that was the last one.
    fn hands_over(&mut self, words: &Receiver<Message>) -> bool {
        let now = self.clock.now();
        let Some(Handover { watch, machine, intake, folder }) = &mut self.handover else { return false };
        let asked = watch.successor_waits();
        let heard = machine.is_leaving() && intake.all_heard();
        let mut step = machine.step(now, Seen { asked, out: !self.out.is_empty(), heard });
        if step == Some(Step::Leave) {
            let folder = folder.clone();
            words.try_iter().for_each(|word| self.hear(word));
            // What came in just now is decided on too, so that no wait told at the last moment is lost.
            self.decide();
            let written = if self.flush() {
                self.handover_state().write(&folder)
            } else {
                Err(ErrorKind::StorageFull.into())
            };
            let Err(e) = written else {
                log!("another process takes over; {} texts are owed", self.journal.outstanding().len());
                // The end that follows is asked for, as one by a signal is.
                self.handover.iter().for_each(|own| own.intake.stopping.store(true, Ordering::Relaxed));
                return true;
            };
            log!("another process can't take over: {e}");
            step = self.handover.as_mut().map(|handover| handover.machine.cant_leave());
        }
        let Some(Handover { intake, .. }) = &self.handover else { return false };
        match step {
            Some(Step::Hold) => {
                log!("another process waits to take over");
                intake.leaves(true);
                self.hold(Holds { handover: true, ..self.holds });
            }
            Some(Step::StopAccepting) => intake.stop_accepting(true),
            Some(Step::Resume) => {
                log!("no other process takes over now");
                intake.stop_accepting(false);
                intake.leaves(false);
                self.hold(Holds { handover: false, ..self.holds });
            }
            Some(Step::Leave) | None => {}
        }
        false
    }

    fn hold(&mut self, holds: Holds) {
        if holds != self.holds {
            self.holds = holds;
            self.events.push(Event::PauseSubmits(holds.handover || holds.journal));
        }
    }

    /// All that the next owner has to know beside the journal.
    fn handover_state(&self) -> HandoverState {
        let (endpoints, next_endpoint) = self.endpoints.snapshot();
        let (keys, next_key) = self.keys.snapshot();
        let names = |names: &Names<String>| (0..names.len()).map(|at| names.name(at).clone()).collect();
        HandoverState {
            kinds: names(&self.site.kinds),
            zones: names(&self.site.zones),
            revision: self.revision,
            endpoints,
            next_endpoint,
            dests: (0..self.dests.len()).map(|at| *self.dests.name(at)).collect(),
            keys,
            next_key,
            ids: self.ids.finished(),
            learnt: self.rules.learned_state(),
        }
    }

    /// Says how the sender stands, for whoever asks for it.
    fn count(&mut self) {
        self.figures.holds(self.journal.outstanding().len());
        if self.seen.is_none_or(|seen| seen.elapsed() >= self.limits.sight_beat) {
            self.seen = Some(Instant::now());
            let avoided = self.endpoints.listed().filter(|at| self.rules.avoids(*at)).count();
            self.figures.sees(self.endpoints.listed().count(), avoided);
        }
    }

    fn done(&self, since: Duration) -> bool {
        let idle = self.out.is_empty() && self.unheard.is_empty();
        let over = if since < self.limits.stop_submits {
            idle && self.journal.outstanding().is_empty()
        } else {
            idle
        };
        since >= self.limits.stop_most || (since >= self.limits.stop_least && over)
    }

    fn hear(&mut self, word: Message) {
        match word {
            Message::HandIn(text) => self.hand_in(text),
            Message::AnswerDelivered(text) => {
                if !self.open(text, Admission::AlreadyAccepted) {
                    return;
                }
                let Some(owed) = self.journal.outstanding().get(&text.0) else { return };
                self.counters.taken.add(1);
                let info = owed.info.clone();
                let handed = self.handed(text, &info);
                let left = handed.valid_until.since(self.clock.now()).as_millis();
                log_account!(text = text.0, dest = info.dest, left; "taken");
                self.pass_gate(text, info.key.as_deref(), Some(Event::Accepted(handed)));
            }
            Message::RequestAbandoned(answer) => {
                // One that is not answered yet is met by the answer that finds nobody.
                if let Ok(Admission::Accepted(text)) = answer.try_recv() {
                    self.hear(Message::AnswerLost(text));
                }
            }
            Message::AnswerLost(text) => {
                if !self.open(text, Admission::Full) {
                    return;
                }
                let Some(owed) = self.journal.outstanding().get(&text.0) else { return };
                self.counters.withdrawn.add(1);
                let (id, key) = (owed.info.id.clone(), owed.info.key.clone());
                self.over(text);
                self.ids.remove(&id);
                self.pass_gate(text, key.as_deref(), None);
            }
            Message::Outcome(outcome) => {
                self.submit_ended(outcome.text, outcome.submit);
                let wait = outcome.retry_after.map_or(0.0, Span::as_millis);
                log_account!(
                    text = outcome.text.0, submit = outcome.submit, endpoint = outcome.endpoint.0,
                    verdict:? = outcome.verdict, wait, ms = outcome.latency.as_millis(),
                    left = outcome.allowance.map_or(-1.0, |a| a.remaining_share),
                    rate = outcome.allowance.map_or(-1.0, |a| a.calls_per_sec);
                    "outcome"
                );
                self.log_outcome(&outcome);
                if outcome.never_ran() {
                    self.journal.record_never_ran(outcome.text.0, outcome.submit);
                }
                if outcome.ended || outcome.verdict == Verdict::Delivered {
                    // One given up meanwhile still owes its report, which then does no harm.
                    if let Some(owed) = self.journal.outstanding().get(&outcome.text.0)
                        && owed.report.is_none()
                    {
                        if outcome.verdict == Verdict::Delivered {
                            let took = self.clock.now().as_millis() - owed.taken_ms();
                            self.ends_of(&owed.info.product).delivered(took);
                        }
                        self.over(outcome.text);
                    }
                }
                self.events.push(Event::Outcome(outcome));
            }
            Message::Listed(Some(listing)) => {
                self.revision = Some(listing.revision);
                self.list_saver.iter_mut().for_each(|saver| saver.record_revision(listing.revision));
                let scope = if listing.complete { Scope::Complete } else { Scope::Partial };
                self.listed(scope, listing.members);
            }
            Message::Drained(members) => {
                self.listed(Scope::Partial, members);
                self.list_saver.iter_mut().for_each(|saver| saver.save(self.endpoints.serving()));
            }
            Message::ListLease { until, as_of, failed } => {
                self.events.push(Event::ListLease(until));
                if let Some(saver) = &mut self.list_saver
                    && saver.record_confirmation(as_of, failed)
                {
                    saver.save(self.endpoints.serving());
                }
            }
            Message::Listed(None) => {
                self.events.push(Event::ListReceived { scope: Scope::Error, entries: Vec::new() })
            }
            Message::Reported(texts) => {
                for text in texts {
                    self.counters.reported.add(1);
                    let Some(owed) = self.journal.outstanding().get(&text.0) else { continue };
                    let (id, key) = (owed.info.id.clone(), owed.info.key.clone());
                    let ends = self.ends_of(&owed.info.product);
                    match owed.report {
                        Some(Report::Undeliverable) => ends.errored.add(1),
                        _ => ends.deferred.add(1),
                    }
                    self.journal.record_reported(text.0);
                    self.ids.mark_finished(&id);
                    self.pass_gate(text, key.as_deref(), None);
                    if let Some(key) = key {
                        self.keys.release(&key);
                    }
                    self.events.push(Event::EndReported(text));
                }
            }
            Message::Order(order) => self.order(order),
            Message::ChangeSettings(change) => self.change(*change),
            Message::Stop => _ = self.stopping.get_or_insert_with(Instant::now),
        }
    }

    /// How the ends of texts are counted that carry this as their product.
    fn ends_of(&self, reference: &str) -> Arc<Ends> {
        match self.table.find(reference) {
            Some(product) => Arc::clone(&self.ends[product.0]),
            None => self.figures.product(product_table::product_name(reference)),
        }
    }

    /// Takes an endpoint out or gives it back. It is in force from now on: nothing new goes there in the step that writes
    /// the order down. The answer follows the journal.
    fn order(&mut self, order: Order) {
        let known = self.endpoints.find(&order.endpoint);
        let is_out = self.out_by_hand().any(|name| name == order.endpoint);
        if known.is_none() && !is_out {
            _ = order.reply.try_send(Err(Refusal::UnknownEndpoint));
            return;
        }
        let kept = AuxiliaryRecord::Out { endpoint: order.endpoint.clone() };
        let late = Instant::now() >= order.by;
        if late || (order.out && !is_out && !self.journal.add_auxiliary(kept.clone())) {
            _ = order.reply.try_send(Err(Refusal::NotNow));
            return;
        }
        if !order.out {
            self.journal.remove_auxiliary(|other| *other == kept);
        }
        self.maintain(&order.endpoint, order.out);
        if is_out == order.out {
            // It was so before, and stays so whatever becomes of this answer.
            _ = order.reply.try_send(Ok(()));
        } else {
            self.orders.push(order);
        }
    }

    fn out_by_hand(&self) -> impl Iterator<Item = &str> {
        self.journal.auxiliary_records().filter_map(|kept| match kept {
            AuxiliaryRecord::Out { endpoint } => Some(endpoint.as_str()),
            AuxiliaryRecord::Terms { .. } => None,
        })
    }

    /// Tells the decisions; connections of one that was taken out end as they come to rest.
    fn maintain(&mut self, name: &str, out_of_service: bool) {
        let Some(endpoint) = self.endpoints.find(name) else { return };
        if out_of_service {
            self.endpoints.retire(endpoint);
        }
        self.events.push(Event::Maintenance { endpoint, out_of_service });
    }

    /// Answers the orders that are written now, and takes back those that could not be, or whose caller was told no
    /// meanwhile.
    fn answer_orders(&mut self, written: bool) {
        for order in std::mem::take(&mut self.orders) {
            let answer = if written { Ok(()) } else { Err(Refusal::NotNow) };
            let heard = order.reply.try_send(answer).is_ok();
            if written && heard {
                log!("{} is {} by hand", order.endpoint, if order.out { "taken out" } else { "given back" });
                continue;
            }
            let kept = AuxiliaryRecord::Out { endpoint: order.endpoint.clone() };
            match order.out {
                true if written => self.journal.remove_auxiliary(|other| *other == kept),
                true => self.journal.abandon_auxiliary(&kept),
                false => _ = self.journal.add_auxiliary(kept),
            }
            self.maintain(&order.endpoint, !order.out);
        }
    }

    /// Puts other settings in force, or none of them.
    fn change(&mut self, change: SettingsChange) {
        let SettingsChange { mut site, reply } = change;
        let before = self.table.len();
        let products = self.table.add_from(&site.info);
        let rows: Vec<AuxiliaryRecord> = self.table.rows()[before..]
            .iter()
            .map(|(reference, terms)| AuxiliaryRecord::Terms {
                reference: reference.clone(),
                terms: terms.clone(),
            })
            .collect();
        let kept = self.table.len() <= self.limits.terms
            && rows.iter().all(|row| self.journal.add_auxiliary(row.clone()));
        if !kept || !self.flush() {
            rows.iter().for_each(|row| self.journal.abandon_auxiliary(row));
            self.table.truncate(before);
            _ = reply.try_send(Err("the journal has no room for other terms".into()));
            return;
        }
        name_products(&mut site, &self.table, &products, &self.figures);
        let names = self.table.rows()[before..].iter().map(|(_, terms)| self.figures.product(&terms.name));
        self.ends.extend(names);
        let settings = Settings { products: self.table.products(), ..site.info.decode() };
        self.texts_per_call = settings.kinds.iter().map(|kind| kind.texts_per_call).collect();
        let longest = site.references.iter().chain(&site.info.localities).map(String::len).max().unwrap_or(0);
        self.journal.raise_reserve(text_journal::reserve_bytes(site.info.ceilings.max_attempts, longest));
        self.events.push(Event::Settings(settings));
        self.revision = None;
        self.site = Arc::new(site);
        self.in_force.put(Arc::clone(&self.site));
        _ = reply.try_send(Ok(()));
    }

    /// Whether this text's client was still without an answer; others who asked under its id have theirs now.
    fn open(&mut self, text: TextId, others: Admission) -> bool {
        let open = self.unheard.remove(&text);
        open.iter().flatten().for_each(|reply| _ = reply.try_send(others));
        open.is_some()
    }

    fn hand_in(&mut self, text: HandIn) {
        let HandIn { mut info, body, proven, came, reply } = text;
        let late = self.stopping.is_some_and(|since| since.elapsed() >= self.limits.stop_submits);
        let full = self.journal.unfinished() >= self.site.info.ceilings.most_held || late;
        let form = info.fingerprint(&body);
        if let Some(known) = self.ids.get(&info.id) {
            if known.checksum != form {
                self.counters.conflicts.add(1);
                // Where this sender was slow, a stranger's text may have come in under the id of a client's own before
                // that one was read: passed on, it would be void, and so would be all that travels with it. While
                // nobody has been promised anything, the one whose connection has proven itself is taken, or neither.
                let unpromised = known.text.filter(|text| self.replies.iter().any(|(id, _)| id == text));
                let undone = unpromised.is_some_and(|earlier| !known.proven && self.undo(earlier));
                if !undone || !proven {
                    _ = reply.try_send(Admission::IdConflict);
                    return;
                }
            } else {
                // Until its client has heard, the earlier one may yet be withdrawn: nothing is promised for it. Nor
                // is this one sent away, as it would come again once the earlier is over and pass for a new one.
                match known.text.and_then(|known| self.unheard.get_mut(&known)) {
                    Some(others) if others.len() < self.limits.clients => others.push(reply),
                    Some(_) => _ = reply.try_send(Admission::Full),
                    None => _ = reply.try_send(Admission::AlreadyAccepted),
                }
                return;
            }
        }
        if !self.dests.knows(&info.dest) {
            _ = reply.try_send(Admission::UnknownDestination);
            return;
        }
        let now = self.clock.now();
        // What lay unread while this sender stood still was sent up to a client's patience earlier than it came.
        info.until_ms -= self.overload.unread(now, span(self.limits.admission)).as_millis();
        let left = Moment::from_millis(info.until_ms).since(now);
        if let Err(again) = self.overload.admit(now, left, span(came.elapsed())) {
            self.counters.turned_away_late.add(1);
            log_account!(dest = info.dest, why = "late"; "turned-away");
            log_request!(id = info.id, dest = info.dest, reason = "late"; "refused");
            _ = reply.try_send(Admission::RetryAfter(again));
            return;
        }
        let (id, key) = (info.id.clone(), info.key.clone());
        let dest = info.dest;
        let why = if late { "stopping" } else { "full" };
        let taken = if full { None } else { self.journal.accept(info, body, now) };
        let Some(text) = taken.map(TextId) else {
            self.counters.turned_away.add(1);
            log_account!(dest, held = self.journal.unfinished(), why; "turned-away");
            log_request!(id, dest, reason = why; "refused");
            _ = reply.try_send(Admission::Full);
            return;
        };
        self.ids.insert(id, text, form, proven);
        self.unheard.insert(text, Vec::new());
        if let Some(key) = key {
            self.keys.acquire(&key);
            self.gates.entry(key).or_default().push_back((text, Gate::Shut));
        }
        self.replies.push((text, reply));
    }

    /// Takes back a text whose client has not been answered yet, as if it had not come; whether that could be done.
    fn undo(&mut self, text: TextId) -> bool {
        let Some(owed) = self.journal.outstanding().get(&text.0) else { return false };
        let (id, key) = (owed.info.id.clone(), owed.info.key.clone());
        self.replies
            .retain(|(other, reply)| *other != text || reply.try_send(Admission::IdConflict).is_err());
        self.open(text, Admission::IdConflict);
        self.over(text);
        self.ids.remove(&id);
        self.pass_gate(text, key.as_deref(), None);
        true
    }

    fn handed(&mut self, text: TextId, info: &TextInfo) -> AcceptedText {
        AcceptedText {
            text,
            product: self.table.find(&info.product).expect("terms last as long as their texts"),
            dest: DestId(self.dests.place(&info.dest)),
            key: info.key.as_deref().and_then(|key| self.keys.find(key)),
            valid_until: Moment::from_millis(info.until_ms),
        }
    }

    /// Lets a text's event through when all earlier texts of its key are through or gone.
    fn pass_gate(&mut self, text: TextId, key: Option<&str>, event: Option<Event>) {
        let Some(gate) = key.and_then(|key| self.gates.get_mut(key)) else {
            self.events.extend(event);
            return;
        };
        match gate.iter_mut().find(|(id, _)| *id == text) {
            Some(at) => match event {
                Some(event) => at.1 = Gate::Open(event),
                None => gate.retain(|(id, _)| *id != text),
            },
            None => self.events.extend(event),
        }
        while let Some((_, Gate::Open(_))) = gate.front() {
            let Some((_, Gate::Open(event))) = gate.pop_front() else { break };
            self.events.push(event);
        }
        if gate.is_empty()
            && let Some(key) = key
        {
            self.gates.remove(key);
        }
    }

    /// Nothing more is owed for a text, nor has a report to go.
    fn over(&mut self, text: TextId) {
        if let Some(owed) = self.journal.outstanding().get(&text.0) {
            self.ids.mark_finished(&owed.info.id);
            if let Some(key) = &owed.info.key {
                self.keys.release(key);
            }
            self.journal.record_end(text.0, None);
        }
    }

    fn resume(&mut self) {
        let left: Vec<_> =
            self.journal.outstanding().iter().map(|(text, owed)| (TextId(*text), owed.clone())).collect();
        for (text, owed) in left {
            let info = &owed.info;
            if self.table.find(&info.product).is_none() {
                log!("{} is of a product that is no more; it is given up", info.id);
                self.journal.record_end(text.0, Some(Report::Undeliverable));
            }
            self.counters.resumed.add(1);
            self.ids.insert(info.id.clone(), text, info.fingerprint(&owed.body), true);
            if let Some(key) = &info.key {
                self.keys.acquire(key);
                self.gates.entry(key.clone()).or_default().push_back((text, Gate::Shut));
            }
            match self.journal.outstanding().get(&text.0).and_then(|owed| owed.report) {
                Some(report) => {
                    self.notes.push(Notice { text, id: info.id.clone(), report });
                    // Those behind it in its key wait for the report to be heard where they can be ended in time.
                    if self.table.find(&info.product).is_some() {
                        let handed = self.handed(text, info);
                        self.pass_gate(text, info.key.as_deref(), Some(Event::UnreportedEnd(handed)));
                    }
                }
                None => {
                    let past = owed.past(|zone| {
                        let known = self.site.zones.find(&zone.to_owned(), "zone");
                        ZoneId(known.unwrap_or(usize::MAX))
                    });
                    let handed = self.handed(text, info);
                    let left = handed.valid_until.since(self.clock.now()).as_millis();
                    log_account!(text = text.0, dest = info.dest, submits = past.submits, left; "resumed");
                    self.pass_gate(text, info.key.as_deref(), Some(Event::Resumed(handed, past)));
                }
            }
        }
    }

    fn listed(&mut self, scope: Scope, members: Vec<ListedEndpoint>) {
        let mut entries = Vec::new();
        let mut told = BTreeSet::new();
        let out: Vec<String> = self.out_by_hand().map(str::to_owned).collect();
        for member in members {
            if let Some(before) = self.endpoints.remove_if_replaced(&member) {
                entries.extend(self.deleted(before));
            }
            let from = self.endpoints.condition(&member.name);
            if from != Some(member.condition) {
                let (to, revision) = (member.condition, self.revision);
                log_state!(endpoint = member.name, from:?, to:?, revision:?; "an endpoint changed its state");
            }
            let (at, place) = self.endpoints.upsert(&member);
            let (dest, condition, units) = (member.dest, member.condition, member.units);
            log_account!(endpoint = at.0, name = member.name, dest, kind = member.kind.0, condition:?, units; "listed");
            told.insert(at);
            let moved = member.address.is_some() && member.address != place.address;
            place.address = member.address.or(place.address);
            if moved {
                self.endpoints.retire(at);
                self.withhold_all(at);
            }
            if member.condition == Condition::Deleted {
                self.endpoints.mark_unlisted(at);
            }
            entries.push(Entry {
                endpoint: at,
                dest: DestId(self.dests.place(&member.dest)),
                kind: member.kind,
                zone: member.zone,
                units: member.units,
                condition: member.condition,
            });
        }
        if scope == Scope::Complete {
            let off = self.endpoints.ids().into_iter().filter(|at| !told.contains(at));
            off.for_each(|at| self.endpoints.mark_unlisted(at));
        }
        self.events.push(Event::ListReceived { scope, entries });
        // What is on the list anew is not known there as taken out.
        out.iter().for_each(|name| self.maintain(name, true));
    }

    /// What the decisions are told of an endpoint that is over though the list goes on to name another one like it.
    fn deleted(&mut self, endpoint: EndpointId) -> Option<Entry> {
        let place = self.endpoints.get(endpoint)?;
        let (dest, kind, zone, units) = (place.dest, place.kind, place.zone, place.units);
        let dest = DestId(self.dests.place(&dest));
        Some(Entry { endpoint, dest, kind, zone, units, condition: Condition::Deleted })
    }

    /// No call leaves any more for where an endpoint was: somebody else may be there now.
    fn withhold_all(&mut self, endpoint: EndpointId) {
        let out = self.out.iter().filter(|(_, to)| **to == endpoint);
        for submit in out.map(|(submit, _)| *submit).collect::<Vec<_>>() {
            self.endpoints.send_to_peers(endpoint, peer::Ask::Withhold(submit));
        }
    }

    /// Asks the decisions once, writes down what they say, then carries it out.
    fn decide(&mut self) {
        let at = Instant::now();
        let now = self.clock.moment(at);
        let events = std::mem::take(&mut self.events);
        let mut calls: Vec<(EndpointId, Call)> = Vec::new();
        let mut asks: Vec<(EndpointId, peer::Ask)> = Vec::new();
        for action in self.rules.step(now, events) {
            match action {
                Action::Submit { text, endpoint, time_out, send_deadline, shares_connection } => {
                    let Some(part) = self.submit(text, endpoint, at, now, (time_out, send_deadline)) else {
                        log!("a submit for a text that is not at hand is dropped");
                        continue;
                    };
                    let kind = self.endpoints.get(endpoint).map_or(0, |place| place.kind.0);
                    let most = self.texts_per_call.get(kind).copied().unwrap_or(1);
                    let open = calls.iter_mut().rev().find(|(to, _)| *to == endpoint);
                    match open.filter(|(_, call)| call.parts.len() < most) {
                        Some((_, call)) => call.joins(part, shares_connection),
                        None => calls.push((endpoint, Call::new(part, at, shares_connection))),
                    }
                }
                Action::Nack { text, retry_after } => {
                    self.counters.nacked.add(1);
                    let again_ms = retry_after.map(Span::as_millis);
                    self.give_up(text, Report::Nacked { again_ms });
                }
                Action::Undeliverable { text } => {
                    self.counters.undeliverable.add(1);
                    self.give_up(text, Report::Undeliverable);
                }
                Action::Revoke { text, submit } => {
                    let out = self.out.get(&(text, submit));
                    asks.extend(out.map(|endpoint| (*endpoint, peer::Ask::Revoke((text, submit)))));
                }
                Action::CancelUnsent { text, submit } => {
                    let out = self.out.get(&(text, submit));
                    asks.extend(out.map(|endpoint| (*endpoint, peer::Ask::Withhold((text, submit)))));
                }
                Action::CloseIdle { endpoint } => asks.push((endpoint, peer::Ask::CloseIdle)),
                Action::Subscribe { on } => _ = self.list.try_send(list::ListRequest::Watch(on)),
                Action::ReadList => _ = self.list.try_send(list::ListRequest::Read),
                Action::WakeAt(at) => self.wake = Some(at),
                Action::Log(note) => log!("{note}"),
                // This protocol has neither probes nor words between senders.
                Action::Probe { endpoint } => self.events.push(Event::Probed {
                    endpoint,
                    verdict: Verdict::Moot,
                    latency: Span::ZERO,
                    allowance: None,
                }),
                Action::SendToPeer { .. } => {}
            }
        }
        let written = self.flush();
        for (endpoint, call) in calls {
            // What the log does not know of may not leave: a next life would send it again.
            if written { self.carry(endpoint, call) } else { self.not_sent(endpoint, call) }
        }
        for (endpoint, ask) in asks {
            self.endpoints.send_to_peers(endpoint, ask);
        }
        self.endpoints.resend_queued();
    }

    fn submit(
        &mut self,
        text: TextId,
        endpoint: EndpointId,
        at: Instant,
        now: Moment,
        (time_out, send_deadline): (Span, Moment),
    ) -> Option<Part> {
        let owed = self.journal.outstanding().get(&text.0)?;
        let part = Part {
            text,
            submit: owed.submits(),
            id: owed.info.id.clone(),
            mark: owed.info.mark.clone(),
            body: Arc::clone(&owed.body),
            by: at + duration(time_out),
            send_deadline: at + duration(send_deadline.since(now)),
        };
        let place = self.endpoints.get(endpoint)?;
        place.in_flight += 1;
        let zone = self.site.zones.name(place.zone.0);
        self.journal.record_submit(text.0, now, zone);
        self.out.insert((text, part.submit), endpoint);
        self.counters.submitted.add(1);
        log_account!(text = text.0, submit = part.submit, endpoint = endpoint.0; "submit");
        let place = &place.name;
        log_request!(id = part.id, submit = part.submit, endpoint = place, revision:? = self.revision; "call");
        Some(part)
    }

    fn log_outcome(&mut self, outcome: &Outcome) {
        let Some(owed) = self.journal.outstanding().get(&outcome.text.0) else { return };
        let (id, submit, ms) = (&owed.info.id, outcome.submit, outcome.latency.as_millis());
        let endpoint = self.endpoints.get(outcome.endpoint).map(|place| place.name.as_str());
        log_request!(id, submit, endpoint:?, reason:? = outcome.verdict, in_doubt = outcome.in_doubt, ms; "call ended");
    }

    fn give_up(&mut self, text: TextId, report: Report) {
        let Some(owed) = self.journal.outstanding().get(&text.0) else { return };
        let id = owed.info.id.clone();
        let (dest, submits) = (owed.info.dest, owed.submits());
        let left = Moment::from_millis(owed.info.until_ms).since(self.clock.now()).as_millis();
        let how = if matches!(report, Report::Undeliverable) { "undeliverable" } else { "nacked" };
        log_account!(text = text.0, dest, submits, left; "{how}");
        match report {
            Report::Nacked { again_ms } => {
                let again_ms = again_ms.map_or(-1.0, f64::round);
                log_decision!(text = id, dest, submits, again_ms, reason = "no room in its time"; "nacked");
            }
            Report::Undeliverable => {
                let reason = match owed.is_in_doubt() {
                    true => "a submit may have run and none more may go in its time",
                    false => "its time is up, or its submits are",
                };
                log_decision!(text = id, dest, submits, reason; "undeliverable");
            }
        }
        self.journal.record_end(text.0, Some(report));
        self.notes.push(Notice { text, id, report });
    }

    /// Writes what was decided, then lets it be known: answers to clients and reports.
    fn flush(&mut self) -> bool {
        let compactions = self.journal.compactions;
        let flushed = self.journal.flush();
        self.counters.compactions.add(self.journal.compactions - compactions);
        if let Err(e) = &flushed {
            log!("the log can't be written: {e}");
        }
        for (text, reply) in std::mem::take(&mut self.replies) {
            if flushed.is_ok() {
                if reply.try_send(Admission::Accepted(text)).is_err() {
                    self.hear(Message::AnswerLost(text));
                }
                continue;
            }
            let Some(owed) = self.journal.outstanding().get(&text.0) else { continue };
            let key = owed.info.key.clone();
            self.ids.remove(&owed.info.id);
            let answer = if self.journal.may_be_recovered(text.0) {
                Admission::Indeterminate
            } else {
                Admission::Full
            };
            self.open(text, answer);
            key.iter().for_each(|key| self.keys.release(key));
            self.journal.abandon(text.0);
            self.pass_gate(text, key.as_deref(), None);
            self.counters.turned_away.add(1);
            _ = reply.try_send(answer);
        }
        self.hold(Holds { journal: flushed.is_err(), ..self.holds });
        self.answer_orders(flushed.is_ok());
        self.send_notices(flushed.is_ok());
        flushed.is_ok()
    }

    /// Lets ends be known. One that is not in the journal is held back: a next life would go on with its text, whose client
    /// has been told. Not beyond the text's time, after which no life does.
    fn send_notices(&mut self, written: bool) {
        if self.notes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let may_go = |notice: &mut Notice| {
            let owed = self.journal.outstanding().get(&notice.text.0);
            written || owed.is_none_or(|owed| now >= Moment::from_millis(owed.info.until_ms))
        };
        for notice in self.notes.extract_if(.., may_go) {
            // The actor's mailbox holds as many as there can be texts.
            if self.notices.try_send(notice).is_err() {
                log!("the actor that reports is gone");
            }
        }
        if !self.notes.is_empty() {
            let again = now + span(self.limits.report_pause);
            self.wake = Some(self.wake.map_or(again, |wake| wake.min(again)));
        }
    }

    fn carry(&mut self, endpoint: EndpointId, call: Call) {
        let Some(place) = self.endpoints.get(endpoint) else { return self.not_sent(endpoint, call) };
        if place.peer.is_none()
            && let Some(address) = place.address
        {
            let (own, asks) = bounded(self.limits.peer_mailbox);
            let peer = Peer { endpoint, address, trunk: Arc::clone(&self.trunk), own: own.clone() };
            match threads::spawn("peer", self.limits.stack, move || peer.run(asks)) {
                Ok(_) => place.peer = Some(own),
                Err(e) => log!("no thread for {}: {e}", place.name),
            }
        }
        self.counters.calls.add(1);
        let Some(peer) = &place.peer else { return self.not_sent(endpoint, call) };
        if let Err(lost) = peer.try_send(peer::Ask::Call(Box::new(call.to(endpoint, &self.trunk)))) {
            if lost.is_disconnected() {
                place.peer = None;
            }
            if let peer::Ask::Call(call) = lost.into_inner() {
                self.not_sent(endpoint, *call);
            }
        }
    }

    fn submit_ended(&mut self, text: TextId, submit: usize) {
        let place = self.out.remove(&(text, submit)).and_then(|endpoint| self.endpoints.get(endpoint));
        place.into_iter().for_each(|place| place.submit_ended());
    }

    /// The submits count, as the decisions have it, but nothing left.
    fn not_sent(&mut self, endpoint: EndpointId, call: Call) {
        for part in call.into_parts() {
            self.submit_ended(part.text, part.submit);
            self.journal.record_never_ran(part.text.0, part.submit);
            self.counters.not_sent.add(1);
            self.events.push(Event::Outcome(Outcome {
                text: part.text,
                submit: part.submit,
                endpoint,
                verdict: Verdict::Moot,
                in_doubt: false,
                retry_after: None,
                latency: Span::ZERO,
                ended: false,
                allowance: None,
            }));
        }
    }
}
