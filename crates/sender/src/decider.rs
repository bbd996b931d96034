//! The actor that owns the decision logic. For each batch of messages it records what happened in the journal, runs one
//! step of the rules, writes the decisions to the journal, and only then carries them out.

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
use indigomast_admission::{MemoryReservation, OverloadDetector};
use indigomast_handover::{Incumbent, Observation, Step};
use indigomast_site::Names;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// A text that a client hands in. The client is answered once `reply` has an [`Admission`].
pub struct HandIn {
    pub info: TextInfo,
    pub body: Arc<[u8]>,
    /// For the request's bytes, until the text counts among those taken on or is refused.
    pub memory: MemoryReservation,
    /// The client handed in texts on this connection before.
    pub proven: bool,
    /// When the last byte of the request was read.
    pub came: Instant,
    pub reply: Sender<Admission>,
}

/// The answer to a text that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The text is in the journal. The receiver of this answer reports whether the client got it:
    /// [`Message::AnswerDelivered`] or [`Message::AnswerLost`].
    Accepted(TextId),
    /// The same text was accepted before under this id.
    AlreadyAccepted,
    /// Another text was accepted under this id.
    IdConflict,
    /// There is no room for the text, or the sender is stopping.
    Full,
    /// The sender is overloaded; the client may retry after this time.
    RetryAfter(Span),
    /// The text was not accepted, but a part of it may be in the journal, and a restarted sender may then submit it.
    Indeterminate,
    /// No endpoint list has named the destination so far.
    UnknownDestination,
}

/// What other actors send to the decider.
pub enum Message {
    HandIn(HandIn),
    /// The client received [`Admission::Accepted`] for this text.
    AnswerDelivered(TextId),
    /// The client disconnected before it received that answer; the text is withdrawn.
    AnswerLost(TextId),
    /// The client was refused before the decider answered on this channel. The channel identifies the request, since
    /// another text may have come under the same id.
    RequestAbandoned(Receiver<Admission>),
    Outcome(Outcome),
    /// An answer of the discovery; `None` if the request failed.
    Listed(Option<EndpointList>),
    /// Endpoints that drain or are gone, from an incomplete answer that says nothing else about the list.
    Drained(Vec<ListedEndpoint>),
    /// `until` is when the lease of the list in force ends, `as_of` the time for which the list is complete, and `failed`
    /// whether a request has failed since.
    ListLease {
        until: Option<Moment>,
        as_of: Moment,
        failed: bool,
    },
    /// The ends of these texts were reported and acknowledged.
    Reported(Vec<TextId>),
    /// An operator's order to take an endpoint out of service or give it back.
    Order(Order),
    ChangeSettings(Box<SettingsChange>),
    Stop,
}

/// New settings to put in force; `reply` gets the result.
pub struct SettingsChange {
    pub site: Site,
    pub reply: Sender<Result<(), String>>,
}

/// Merges the product settings recorded in the journal with the current ones, before any text is accepted under them.
/// Product settings that are neither current nor used by an unfinished text are dropped from the journal.
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
    let outstanding: BTreeSet<String> =
        journal.outstanding().values().map(|unfinished| unfinished.info.product.clone()).collect();
    let is_needed = |reference: &str| {
        outstanding.contains(reference)
            || all.find(reference).is_some_and(|product| in_force.contains(&product.0))
    };
    journal.remove_auxiliary(
        |kept| matches!(kept, AuxiliaryRecord::Terms { reference, .. } if !is_needed(reference)),
    );
    let mut table = ProductTable::new(known(journal));
    let products = table.add_from(&site.info);
    for (reference, settings) in table.rows() {
        if !journal
            .add_auxiliary(AuxiliaryRecord::Terms { reference: reference.clone(), terms: settings.clone() })
        {
            log!("the journal has no room for the product settings of {reference}");
        }
    }
    set_site_products(site, &table, &products, figures);
    table
}

/// Fills in the product references and end counters of a site's settings.
fn set_site_products(site: &mut Site, table: &ProductTable, products: &[ProductId], figures: &Figures) {
    let rows = || products.iter().map(|product| table.row(*product));
    site.references = rows().map(|(reference, _)| reference.clone()).collect();
    site.ends = rows().map(|(_, settings)| figures.product(&settings.name)).collect();
}

/// The state of a text in the queue of its ordering key. Texts of one key are passed to the rules in the order in which
/// they were handed in, even while an earlier one waits for its client to receive the answer, or for the
/// acknowledgement of a report left by the previous run.
enum KeyQueueState {
    /// The text's event is not known yet; it blocks the later texts of its key.
    Blocked,
    /// The event to pass to the rules once all earlier texts have passed.
    Ready(Event),
}

/// Everything the decider is started with.
pub struct Decider {
    pub clock: Clock,
    /// Stores the endpoint list for the next start; `None` if no platform supplies it.
    pub list_saver: Option<ListSaver>,
    pub limits: Arc<Limits>,
    pub counters: Arc<Counters>,
    pub figures: Arc<Figures>,
    pub site: Arc<InForce>,
    /// From [`reconcile_products`].
    pub table: ProductTable,
    pub trunk: Arc<Trunk>,
    pub list: Sender<list::ListRequest>,
    pub notices: Sender<Notice>,
    pub journal: TextJournal,
    pub seed: u64,
    /// The endpoint list to start with.
    pub known: EndpointList,
    /// The state of the previous process, if it handed over in order.
    pub handover_state: Option<HandoverState>,
    /// Set if another process may take over.
    pub handover: Option<Handover>,
}

/// What the decider needs to hand over to another process.
pub struct Handover {
    pub folder: PathBuf,
    pub watch: SuccessorWatch,
    /// The owner's side of the handover protocol.
    pub machine: Incumbent,
    pub intake: Arc<Intake>,
}

/// The decider's state while it handles messages.
struct RunningDecider {
    clock: Clock,
    list_saver: Option<ListSaver>,
    limits: Arc<Limits>,
    counters: Arc<Counters>,
    figures: Arc<Figures>,
    site: Arc<Site>,
    in_force: Arc<InForce>,
    table: ProductTable,
    /// End counters by [`ProductId`].
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
    key_queues: BTreeMap<String, VecDeque<(TextId, KeyQueueState)>>,
    /// Submits without an outcome, with the endpoint of each.
    in_flight: BTreeMap<(TextId, usize), EndpointId>,
    /// Texts whose client has no answer yet, with the repeated requests under the same id that wait for it.
    unanswered: BTreeMap<TextId, Vec<Sender<Admission>>>,
    pending_replies: Vec<(TextId, Sender<Admission>)>,
    pending_notices: Vec<Notice>,
    pending_events: Vec<Event>,
    wake_at: Option<Moment>,
    overload: OverloadDetector,
    stopping_since: Option<Instant>,
    /// Orders that are answered once the journal is flushed.
    pending_orders: Vec<Order>,
    /// When the listed and the avoided endpoints were last counted.
    endpoints_counted_at: Option<Instant>,
    handover: Option<Handover>,
    /// Revision of the list in force; `None` after a change of settings, which may have changed the discovery.
    revision: Option<u64>,
    /// Why submits are paused at present, if they are.
    pause_reasons: PauseReasons,
}

/// Reasons to pause submits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PauseReasons {
    /// Another process is about to take over.
    handover: bool,
    /// The journal can't be written. A call must not be sent before it is recorded, and a submit that was never sent must
    /// not count as an attempt.
    journal: bool,
}

impl Decider {
    /// Resumes the texts left by the previous run, then handles messages until the sender has stopped or handed over.
    pub fn run(self, messages: Receiver<Message>) {
        let site = self.site.get();
        let settings = Settings { products: self.table.products(), ..site.info.decode() };
        let ends =
            self.table.rows().iter().map(|(_, settings)| self.figures.product(&settings.name)).collect();
        log_account!(settings:?; "begins");
        let texts_per_call = settings.kinds.iter().map(|kind| kind.texts_per_call).collect();
        let overload = self.limits.overload;
        let (seed, mut known, mut revision) = (self.seed, self.known.members, Some(self.known.revision));
        let (rules, endpoints, ids, dests, keys) = match self.handover_state {
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
                    Names::from_list(dests),
                    OrderingKeys::successor(keys, next_key),
                )
            }
            None => {
                let none = Names::from_list(Vec::new());
                (
                    Rules::new(settings, seed),
                    EndpointTable::default(),
                    RequestIds::default(),
                    none,
                    OrderingKeys::default(),
                )
            }
        };
        let mut decider = RunningDecider {
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
            endpoints,
            ids,
            dests,
            keys,
            key_queues: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            pending_replies: Vec::new(),
            pending_notices: Vec::new(),
            pending_events: Vec::new(),
            wake_at: None,
            overload: OverloadDetector::new(overload),
            stopping_since: None,
            pending_orders: Vec::new(),
            endpoints_counted_at: None,
            handover: self.handover,
            revision,
            pause_reasons: PauseReasons::default(),
        };
        decider.apply_list(Scope::Persisted, known);
        decider.resume_texts();
        decider.decide();
        let handed_over = decider.run_loop(&messages);
        decider.endpoints.ids().into_iter().for_each(|at| decider.endpoints.retire(at));
        if handed_over {
            // The journal's lock is released only when the process ends. The next owner may submit again what is in flight
            // here, and that ends only with this process's connections.
            std::mem::forget(decider.journal);
        }
    }
}

impl RunningDecider {
    /// Handles messages until the end; returns whether another process has taken over.
    fn run_loop(&mut self, messages: &Receiver<Message>) -> bool {
        loop {
            let wait = self.wake_at.map_or(Span::ZERO, |at| at.since(self.clock.now()));
            let mut batch: Vec<Message> = messages.recv_timeout(duration(wait)).into_iter().collect();
            let late = self.wake_at.map_or(Span::ZERO, |at| self.clock.now().since(at));
            if late > span(self.limits.stall) {
                thread::sleep(self.limits.stall_pause);
            }
            if self.overload.record_delay(self.clock.now(), late) {
                self.counters.stalls.add(1);
            }
            batch.extend(messages.try_iter().take(self.limits.mailbox));
            // Answers that have arrived are handled before timeouts.
            let is_timeout =
                |message: &Message| matches!(message, Message::Outcome(o) if o.verdict == Verdict::TimeOut);
            batch.sort_by_key(|message| match message {
                // Outcomes come before new texts: accepted texts have precedence, and finished ones free room.
                Message::Outcome(_) if !is_timeout(message) => 0,
                Message::Reported(_) => 0,
                _ if is_timeout(message) => 2,
                _ => 1,
            });
            batch.into_iter().for_each(|message| self.handle(message));
            self.keys.remove_expired(self.limits.key_rest);
            self.endpoints.remove_expired(self.limits.place_rest);
            self.ids.remove_expired(self.limits.id_rest, self.limits.texts);
            let now = self.clock.now();
            if self.wake_at.is_none_or(|at| at <= now) {
                self.pending_events.push(Event::TimerFired);
            }
            let since = self.stopping_since.map(|since| since.elapsed());
            if since.is_some_and(|since| since >= self.limits.stop_submits) {
                // No new submits are decided; outcomes of those in flight are still recorded in the journal.
                self.pending_events.clear();
                self.wake_at = Some(now + span(self.limits.stop_beat));
                self.flush();
            } else {
                self.decide();
            }
            self.update_metrics();
            if self.step_handover(messages) {
                return true;
            }
            if since.is_some_and(|since| self.can_exit(since)) {
                self.flush();
                return false;
            }
        }
    }

    /// Takes the next step of a handover to another process; returns whether the handover is complete.
    fn step_handover(&mut self, messages: &Receiver<Message>) -> bool {
        let now = self.clock.now();
        let Some(Handover { watch, machine, intake, folder }) = &mut self.handover else { return false };
        let successor_waits = watch.successor_waits();
        let clients_answered = machine.is_handing_over() && intake.all_heard();
        let mut step = machine.step(
            now,
            Observation { successor_waits, calls_out: !self.in_flight.is_empty(), clients_answered },
        );
        if step == Some(Step::Exit) {
            let folder = folder.clone();
            messages.try_iter().for_each(|message| self.handle(message));
            // Messages that have just come in are decided on too, so that a retry time received last is not lost.
            self.decide();
            let written = if self.flush() {
                self.handover_state().write(&folder)
            } else {
                Err(ErrorKind::StorageFull.into())
            };
            let Err(e) = written else {
                log!("another process takes over; {} texts are owed", self.journal.outstanding().len());
                // The exit that follows is intended, like one after a signal.
                self.handover.iter().for_each(|own| own.intake.stopping.store(true, Ordering::Relaxed));
                return true;
            };
            log!("another process can't take over: {e}");
            step = self.handover.as_mut().map(|handover| handover.machine.exit_failed());
        }
        let Some(Handover { intake, .. }) = &self.handover else { return false };
        match step {
            Some(Step::StopSubmitting) => {
                log!("another process waits to take over");
                intake.leaves(true);
                self.set_pause_reasons(PauseReasons { handover: true, ..self.pause_reasons });
            }
            Some(Step::StopAccepting) => intake.stop_accepting(true),
            Some(Step::Resume) => {
                log!("no other process takes over now");
                intake.stop_accepting(false);
                intake.leaves(false);
                self.set_pause_reasons(PauseReasons { handover: false, ..self.pause_reasons });
            }
            Some(Step::Exit) | None => {}
        }
        false
    }

    /// Sets the pause reasons and tells the rules if they changed.
    fn set_pause_reasons(&mut self, pause_reasons: PauseReasons) {
        if pause_reasons != self.pause_reasons {
            self.pause_reasons = pause_reasons;
            self.pending_events.push(Event::PauseSubmits(pause_reasons.handover || pause_reasons.journal));
        }
    }

    /// What the next owner needs beside the journal.
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

    /// Updates the metrics of held texts and of listed and avoided endpoints.
    fn update_metrics(&mut self) {
        self.figures.holds(self.journal.outstanding().len());
        if self.endpoints_counted_at.is_none_or(|counted_at| counted_at.elapsed() >= self.limits.sight_beat) {
            self.endpoints_counted_at = Some(Instant::now());
            let avoided = self.endpoints.listed().filter(|at| self.rules.avoids(*at)).count();
            self.figures.sees(self.endpoints.listed().count(), avoided);
        }
    }

    /// Whether the sender can exit, `since` being the time since it was told to stop.
    fn can_exit(&self, since: Duration) -> bool {
        let idle = self.in_flight.is_empty() && self.unanswered.is_empty();
        let finished = if since < self.limits.stop_submits {
            idle && self.journal.outstanding().is_empty()
        } else {
            idle
        };
        since >= self.limits.stop_most || (since >= self.limits.stop_least && finished)
    }

    /// Records one message and queues the events that follow from it for the next step of the rules.
    fn handle(&mut self, message: Message) {
        match message {
            Message::HandIn(text) => self.hand_in(text),
            Message::AnswerDelivered(text) => {
                if !self.mark_answered(text, Admission::AlreadyAccepted) {
                    return;
                }
                let Some(unfinished) = self.journal.outstanding().get(&text.0) else { return };
                self.counters.taken.add(1);
                let info = unfinished.info.clone();
                let accepted = self.accepted_text(text, &info);
                let left = accepted.valid_until.since(self.clock.now()).as_millis();
                log_account!(text = text.0, dest = info.dest, left; "taken");
                self.pass_in_key_order(text, info.key.as_deref(), Some(Event::Accepted(accepted)));
            }
            Message::RequestAbandoned(answer) => {
                // If the decider has not answered yet, its answer will find the channel closed.
                if let Ok(Admission::Accepted(text)) = answer.try_recv() {
                    self.handle(Message::AnswerLost(text));
                }
            }
            Message::AnswerLost(text) => {
                if !self.mark_answered(text, Admission::Full) {
                    return;
                }
                let Some(unfinished) = self.journal.outstanding().get(&text.0) else { return };
                self.counters.withdrawn.add(1);
                let (id, key) = (unfinished.info.id.clone(), unfinished.info.key.clone());
                self.finish(text);
                self.ids.remove(&id);
                self.pass_in_key_order(text, key.as_deref(), None);
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
                    // A text that was given up meanwhile keeps its pending report, which is harmless.
                    if let Some(unfinished) = self.journal.outstanding().get(&outcome.text.0)
                        && unfinished.report.is_none()
                    {
                        if outcome.verdict == Verdict::Delivered {
                            let took = self.clock.now().as_millis() - unfinished.taken_ms();
                            self.end_counters(&unfinished.info.product).delivered(took);
                        }
                        self.finish(outcome.text);
                    }
                }
                self.pending_events.push(Event::Outcome(outcome));
            }
            Message::Listed(Some(listing)) => {
                self.revision = Some(listing.revision);
                self.list_saver.iter_mut().for_each(|saver| saver.record_revision(listing.revision));
                let scope = if listing.complete { Scope::Complete } else { Scope::Partial };
                self.apply_list(scope, listing.members);
            }
            Message::Drained(members) => {
                self.apply_list(Scope::Partial, members);
                self.list_saver.iter_mut().for_each(|saver| saver.save(self.endpoints.serving()));
            }
            Message::ListLease { until, as_of, failed } => {
                self.pending_events.push(Event::ListLease(until));
                if let Some(saver) = &mut self.list_saver
                    && saver.record_confirmation(as_of, failed)
                {
                    saver.save(self.endpoints.serving());
                }
            }
            Message::Listed(None) => {
                self.pending_events.push(Event::ListReceived { scope: Scope::Error, entries: Vec::new() })
            }
            Message::Reported(texts) => {
                for text in texts {
                    self.counters.reported.add(1);
                    let Some(unfinished) = self.journal.outstanding().get(&text.0) else { continue };
                    let (id, key) = (unfinished.info.id.clone(), unfinished.info.key.clone());
                    let ends = self.end_counters(&unfinished.info.product);
                    match unfinished.report {
                        Some(Report::Undeliverable) => ends.errored.add(1),
                        _ => ends.deferred.add(1),
                    }
                    self.journal.record_reported(text.0);
                    self.ids.mark_finished(&id);
                    self.pass_in_key_order(text, key.as_deref(), None);
                    if let Some(key) = key {
                        self.keys.release(&key);
                    }
                    self.pending_events.push(Event::EndReported(text));
                }
            }
            Message::Order(order) => self.apply_order(order),
            Message::ChangeSettings(change) => self.apply_settings(*change),
            Message::Stop => _ = self.stopping_since.get_or_insert_with(Instant::now),
        }
    }

    /// The end counters for texts with this product reference.
    fn end_counters(&self, reference: &str) -> Arc<Ends> {
        match self.table.find(reference) {
            Some(product) => Arc::clone(&self.ends[product.0]),
            None => self.figures.product(product_table::product_name(reference)),
        }
    }

    /// Takes an endpoint out of service or gives it back. The order applies at once: the step that writes it to the journal
    /// sends nothing new there. It is answered once it is in the journal.
    fn apply_order(&mut self, order: Order) {
        let known = self.endpoints.find(&order.endpoint);
        let is_out = self.out_of_service().any(|name| name == order.endpoint);
        if known.is_none() && !is_out {
            _ = order.reply.try_send(Err(Refusal::UnknownEndpoint));
            return;
        }
        let record = AuxiliaryRecord::Out { endpoint: order.endpoint.clone() };
        let late = Instant::now() >= order.by;
        if late || (order.out && !is_out && !self.journal.add_auxiliary(record.clone())) {
            _ = order.reply.try_send(Err(Refusal::NotNow));
            return;
        }
        if !order.out {
            self.journal.remove_auxiliary(|other| *other == record);
        }
        self.set_maintenance(&order.endpoint, order.out);
        if is_out == order.out {
            // The order changes nothing, so it needs no journal write and no undo if the answer is lost.
            _ = order.reply.try_send(Ok(()));
        } else {
            self.pending_orders.push(order);
        }
    }

    /// Names of the endpoints that operators have taken out of service.
    fn out_of_service(&self) -> impl Iterator<Item = &str> {
        self.journal.auxiliary_records().filter_map(|kept| match kept {
            AuxiliaryRecord::Out { endpoint } => Some(endpoint.as_str()),
            AuxiliaryRecord::Terms { .. } => None,
        })
    }

    /// Passes an endpoint's maintenance state to the rules. Connections of one taken out of service close once idle.
    fn set_maintenance(&mut self, name: &str, out_of_service: bool) {
        let Some(endpoint) = self.endpoints.find(name) else { return };
        if out_of_service {
            self.endpoints.retire(endpoint);
        }
        self.pending_events.push(Event::Maintenance { endpoint, out_of_service });
    }

    /// Confirms the pending orders if they were `written`. Undoes those that were not, and those whose caller was already
    /// answered with a refusal.
    fn answer_orders(&mut self, written: bool) {
        for order in std::mem::take(&mut self.pending_orders) {
            let answer = if written { Ok(()) } else { Err(Refusal::NotNow) };
            let delivered = order.reply.try_send(answer).is_ok();
            if written && delivered {
                log!("{} is {} by hand", order.endpoint, if order.out { "taken out" } else { "given back" });
                continue;
            }
            let record = AuxiliaryRecord::Out { endpoint: order.endpoint.clone() };
            match order.out {
                true if written => self.journal.remove_auxiliary(|other| *other == record),
                true => self.journal.abandon_auxiliary(&record),
                false => _ = self.journal.add_auxiliary(record),
            }
            self.set_maintenance(&order.endpoint, !order.out);
        }
    }

    /// Puts new settings in force, or rejects them as a whole.
    fn apply_settings(&mut self, change: SettingsChange) {
        let SettingsChange { mut site, reply } = change;
        let before = self.table.len();
        let products = self.table.add_from(&site.info);
        let rows: Vec<AuxiliaryRecord> = self.table.rows()[before..]
            .iter()
            .map(|(reference, settings)| AuxiliaryRecord::Terms {
                reference: reference.clone(),
                terms: settings.clone(),
            })
            .collect();
        let kept = self.table.len() <= self.limits.terms
            && rows.iter().all(|row| self.journal.add_auxiliary(row.clone()));
        if !kept || !self.flush() {
            rows.iter().for_each(|row| self.journal.abandon_auxiliary(row));
            self.table.truncate(before);
            _ = reply.try_send(Err("the journal has no room for the new product settings".into()));
            return;
        }
        set_site_products(&mut site, &self.table, &products, &self.figures);
        let names =
            self.table.rows()[before..].iter().map(|(_, settings)| self.figures.product(&settings.name));
        self.ends.extend(names);
        let settings = Settings { products: self.table.products(), ..site.info.decode() };
        self.texts_per_call = settings.kinds.iter().map(|kind| kind.texts_per_call).collect();
        let longest = site.references.iter().chain(&site.info.localities).map(String::len).max().unwrap_or(0);
        self.journal.raise_reserve(text_journal::reserve_bytes(site.info.ceilings.max_attempts, longest));
        self.pending_events.push(Event::Settings(settings));
        self.revision = None;
        self.site = Arc::new(site);
        self.in_force.put(Arc::clone(&self.site));
        _ = reply.try_send(Ok(()));
    }

    /// Marks a text as answered and gives `others` to the repeated requests under its id. Returns whether its client was
    /// still without an answer.
    fn mark_answered(&mut self, text: TextId, others: Admission) -> bool {
        let waiting = self.unanswered.remove(&text);
        waiting.iter().flatten().for_each(|reply| _ = reply.try_send(others));
        waiting.is_some()
    }

    /// Accepts a text into the journal, to be answered after the next flush, or refuses it at once.
    fn hand_in(&mut self, text: HandIn) {
        let HandIn { mut info, body, memory: _memory, proven, came, reply } = text;
        let late = self.stopping_since.is_some_and(|since| since.elapsed() >= self.limits.stop_submits);
        let full = self.journal.unfinished() >= self.site.info.ceilings.most_held || late;
        let fingerprint = info.fingerprint(&body);
        if let Some(known) = self.ids.get(&info.id) {
            if known.fingerprint != fingerprint {
                self.counters.conflicts.add(1);
                // If this sender was slow, a forged text under a client's id may have been read before the client's own.
                // Passed on, it would be invalid, and so would be all texts in the same call. While neither has been
                // answered, the text from a proven connection is accepted; without one, neither is.
                let unconfirmed =
                    known.text.filter(|text| self.pending_replies.iter().any(|(id, _)| id == text));
                let withdrawn =
                    unconfirmed.is_some_and(|earlier| !known.proven && self.withdraw_unanswered(earlier));
                if !withdrawn || !proven {
                    _ = reply.try_send(Admission::IdConflict);
                    return;
                }
            } else {
                // Until its client has the answer, the earlier request may be withdrawn, so this one can't be confirmed.
                // It is not refused either: a retry after the end of the earlier one would be taken for a new text.
                match known.text.and_then(|known| self.unanswered.get_mut(&known)) {
                    Some(others) if others.len() < self.limits.clients => others.push(reply),
                    Some(_) => _ = reply.try_send(Admission::Full),
                    None => _ = reply.try_send(Admission::AlreadyAccepted),
                }
                return;
            }
        }
        if !self.dests.contains(&info.dest) {
            _ = reply.try_send(Admission::UnknownDestination);
            return;
        }
        let now = self.clock.now();
        // A request that lay unread while this sender stalled was sent earlier than it was read, by up to the time that
        // clients wait for an answer.
        info.until_ms -= self.overload.max_unread_time(now, span(self.limits.admission)).as_millis();
        let left = Moment::from_millis(info.until_ms).since(now);
        if let Err(retry_after) = self.overload.admit(now, left, span(came.elapsed())) {
            self.counters.turned_away_late.add(1);
            log_account!(dest = info.dest, why = "late"; "turned-away");
            log_request!(id = info.id, dest = info.dest, reason = "late"; "refused");
            _ = reply.try_send(Admission::RetryAfter(retry_after));
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
        self.ids.insert(id, text, fingerprint, proven);
        self.unanswered.insert(text, Vec::new());
        if let Some(key) = key {
            self.keys.acquire(&key);
            self.key_queues.entry(key).or_default().push_back((text, KeyQueueState::Blocked));
        }
        self.pending_replies.push((text, reply));
        // The journal has copies of all that it writes at once, and of some of what it holds already.
        if self.journal.unwritten() >= self.limits.journal_batch {
            self.flush();
        }
    }

    /// Withdraws a text whose client has not been answered yet, and answers it with a conflict. Returns whether the text
    /// was still there.
    fn withdraw_unanswered(&mut self, text: TextId) -> bool {
        let Some(unfinished) = self.journal.outstanding().get(&text.0) else { return false };
        let (id, key) = (unfinished.info.id.clone(), unfinished.info.key.clone());
        self.pending_replies
            .retain(|(other, reply)| *other != text || reply.try_send(Admission::IdConflict).is_err());
        self.mark_answered(text, Admission::IdConflict);
        self.finish(text);
        self.ids.remove(&id);
        self.pass_in_key_order(text, key.as_deref(), None);
        true
    }

    /// The text as the rules take it, with names replaced by indices.
    fn accepted_text(&mut self, text: TextId, info: &TextInfo) -> AcceptedText {
        AcceptedText {
            text,
            product: self
                .table
                .find(&info.product)
                .expect("product settings are kept as long as their texts"),
            dest: DestId(self.dests.index_or_insert(&info.dest)),
            key: info.key.as_deref().and_then(|key| self.keys.find(key)),
            valid_until: Moment::from_millis(info.until_ms),
        }
    }

    /// Passes a text's event to the rules once all earlier texts of its key have passed or are gone. Without an event the
    /// text leaves the queue of its key.
    fn pass_in_key_order(&mut self, text: TextId, key: Option<&str>, event: Option<Event>) {
        let Some(queue) = key.and_then(|key| self.key_queues.get_mut(key)) else {
            self.pending_events.extend(event);
            return;
        };
        match queue.iter_mut().find(|(id, _)| *id == text) {
            Some(at) => match event {
                Some(event) => at.1 = KeyQueueState::Ready(event),
                None => queue.retain(|(id, _)| *id != text),
            },
            None => self.pending_events.extend(event),
        }
        while let Some((_, KeyQueueState::Ready(_))) = queue.front() {
            let Some((_, KeyQueueState::Ready(event))) = queue.pop_front() else { break };
            self.pending_events.push(event);
        }
        if queue.is_empty()
            && let Some(key) = key
        {
            self.key_queues.remove(key);
        }
    }

    /// Ends a text without a report.
    fn finish(&mut self, text: TextId) {
        if let Some(unfinished) = self.journal.outstanding().get(&text.0) {
            self.ids.mark_finished(&unfinished.info.id);
            if let Some(key) = &unfinished.info.key {
                self.keys.release(key);
            }
            self.journal.record_end(text.0, None);
        }
    }

    /// Passes the unfinished texts in the journal to the rules and queues the reports not yet acknowledged.
    fn resume_texts(&mut self) {
        let resumed: Vec<_> = self
            .journal
            .outstanding()
            .iter()
            .map(|(text, unfinished)| (TextId(*text), unfinished.clone()))
            .collect();
        for (text, unfinished) in resumed {
            let info = &unfinished.info;
            if self.table.find(&info.product).is_none() {
                log!("{}: the settings of its product are missing; the text is given up", info.id);
                self.journal.record_end(text.0, Some(Report::Undeliverable));
            }
            self.counters.resumed.add(1);
            self.ids.insert(info.id.clone(), text, info.fingerprint(&unfinished.body), true);
            if let Some(key) = &info.key {
                self.keys.acquire(key);
                self.key_queues.entry(key.clone()).or_default().push_back((text, KeyQueueState::Blocked));
            }
            match self.journal.outstanding().get(&text.0).and_then(|unfinished| unfinished.report) {
                Some(report) => {
                    self.pending_notices.push(Notice { text, id: info.id.clone(), report });
                    // Later texts of its key wait until the report is acknowledged, if they can still be ended in time.
                    if self.table.find(&info.product).is_some() {
                        let accepted = self.accepted_text(text, info);
                        self.pass_in_key_order(
                            text,
                            info.key.as_deref(),
                            Some(Event::UnreportedEnd(accepted)),
                        );
                    }
                }
                None => {
                    let past = unfinished.past(|zone| {
                        let known = self.site.zones.index_of(&zone.to_owned(), "zone");
                        ZoneId(known.unwrap_or(usize::MAX))
                    });
                    let accepted = self.accepted_text(text, info);
                    let left = accepted.valid_until.since(self.clock.now()).as_millis();
                    log_account!(text = text.0, dest = info.dest, submits = past.submits, left; "resumed");
                    self.pass_in_key_order(text, info.key.as_deref(), Some(Event::Resumed(accepted, past)));
                }
            }
        }
    }

    /// Updates the endpoint table from a list and passes the list to the rules.
    fn apply_list(&mut self, scope: Scope, members: Vec<ListedEndpoint>) {
        let mut entries = Vec::new();
        let mut listed = BTreeSet::new();
        let taken_out: Vec<String> = self.out_of_service().map(str::to_owned).collect();
        for member in members {
            if let Some(before) = self.endpoints.remove_if_replaced(&member) {
                entries.extend(self.deletion_entry(before));
            }
            let from = self.endpoints.condition(&member.name);
            if from != Some(member.condition) {
                let (to, revision) = (member.condition, self.revision);
                log_state!(endpoint = member.name, from:?, to:?, revision:?; "endpoint changed its state");
            }
            let (at, entry) = self.endpoints.upsert(&member);
            let (dest, condition, units) = (member.dest, member.condition, member.units);
            log_account!(endpoint = at.0, name = member.name, dest, kind = member.kind.0, condition:?, units; "listed");
            listed.insert(at);
            let moved = member.address.is_some() && member.address != entry.address;
            entry.address = member.address.or(entry.address);
            if moved {
                self.endpoints.retire(at);
                self.cancel_unsent_calls(at);
            }
            if member.condition == Condition::Deleted {
                self.endpoints.mark_unlisted(at);
            }
            entries.push(Entry {
                endpoint: at,
                dest: DestId(self.dests.index_or_insert(&member.dest)),
                kind: member.kind,
                zone: member.zone,
                units: member.units,
                condition: member.condition,
            });
        }
        if scope == Scope::Complete {
            let unlisted = self.endpoints.ids().into_iter().filter(|at| !listed.contains(at));
            unlisted.for_each(|at| self.endpoints.mark_unlisted(at));
        }
        self.pending_events.push(Event::ListReceived { scope, entries });
        // The rules don't know that a newly listed endpoint is out of service, so they are told again.
        taken_out.iter().for_each(|name| self.set_maintenance(name, true));
    }

    /// The entry that reports an endpoint as deleted to the rules when another one has replaced it under its name.
    fn deletion_entry(&mut self, endpoint: EndpointId) -> Option<Entry> {
        let entry = self.endpoints.get(endpoint)?;
        let (dest, kind, zone, units) = (entry.dest, entry.kind, entry.zone, entry.units);
        let dest = DestId(self.dests.index_or_insert(&dest));
        Some(Entry { endpoint, dest, kind, zone, units, condition: Condition::Deleted })
    }

    /// Cancels all unsent calls to an endpoint whose address has changed: another host may have the old address now.
    fn cancel_unsent_calls(&mut self, endpoint: EndpointId) {
        let submits = self.in_flight.iter().filter(|(_, to)| **to == endpoint);
        for submit in submits.map(|(submit, _)| *submit).collect::<Vec<_>>() {
            self.endpoints.send_to_peers(endpoint, peer::Ask::Withhold(submit));
        }
    }

    /// Runs one step of the rules, writes its decisions to the journal, then carries them out.
    fn decide(&mut self) {
        let at = Instant::now();
        let now = self.clock.moment(at);
        let events = std::mem::take(&mut self.pending_events);
        let mut calls: Vec<(EndpointId, Call)> = Vec::new();
        let mut requests: Vec<(EndpointId, peer::Ask)> = Vec::new();
        for action in self.rules.step(now, events) {
            match action {
                Action::Submit { text, endpoint, time_out, send_deadline, shares_connection } => {
                    let Some(part) = self.prepare_submit(text, endpoint, at, now, (time_out, send_deadline))
                    else {
                        log!("a submit of an unknown text or endpoint is dropped");
                        continue;
                    };
                    let kind = self.endpoints.get(endpoint).map_or(0, |entry| entry.kind.0);
                    let max_texts = self.texts_per_call.get(kind).copied().unwrap_or(1);
                    let unfilled = calls.iter_mut().rev().find(|(to, _)| *to == endpoint);
                    match unfilled.filter(|(_, call)| call.parts.len() < max_texts) {
                        Some((_, call)) => call.joins(part, shares_connection),
                        None => calls.push((endpoint, Call::new(part, at, shares_connection))),
                    }
                }
                Action::Nack { text, retry_after } => {
                    self.counters.nacked.add(1);
                    let again_ms = retry_after.map(Span::as_millis);
                    self.end_with_report(text, Report::Nacked { again_ms });
                }
                Action::Undeliverable { text } => {
                    self.counters.undeliverable.add(1);
                    self.end_with_report(text, Report::Undeliverable);
                }
                Action::Revoke { text, submit } => {
                    let endpoint = self.in_flight.get(&(text, submit));
                    requests.extend(endpoint.map(|endpoint| (*endpoint, peer::Ask::Revoke((text, submit)))));
                }
                Action::CancelUnsent { text, submit } => {
                    let endpoint = self.in_flight.get(&(text, submit));
                    requests
                        .extend(endpoint.map(|endpoint| (*endpoint, peer::Ask::Withhold((text, submit)))));
                }
                Action::CloseIdle { endpoint } => requests.push((endpoint, peer::Ask::CloseIdle)),
                Action::Subscribe { on } => _ = self.list.try_send(list::ListRequest::Watch(on)),
                Action::ReadList => _ = self.list.try_send(list::ListRequest::Read),
                Action::WakeAt(at) => self.wake_at = Some(at),
                Action::Log(note) => log!("{note}"),
                // This protocol has neither probes nor messages between senders.
                Action::Probe { endpoint } => self.pending_events.push(Event::Probed {
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
            // A call that is not in the journal must not be sent: a restarted sender would send it again.
            if written { self.send_call(endpoint, call) } else { self.report_not_sent(endpoint, call) }
        }
        for (endpoint, request) in requests {
            self.endpoints.send_to_peers(endpoint, request);
        }
        self.endpoints.resend_queued();
    }

    /// Records a submit in the journal and returns its part of a call; `None` if text or endpoint is unknown.
    fn prepare_submit(
        &mut self,
        text: TextId,
        endpoint: EndpointId,
        at: Instant,
        now: Moment,
        (time_out, send_deadline): (Span, Moment),
    ) -> Option<Part> {
        let unfinished = self.journal.outstanding().get(&text.0)?;
        let part = Part {
            text,
            submit: unfinished.submits(),
            id: unfinished.info.id.clone(),
            mark: unfinished.info.mark.clone(),
            body: Arc::clone(&unfinished.body),
            by: at + duration(time_out),
            send_deadline: at + duration(send_deadline.since(now)),
        };
        let entry = self.endpoints.get(endpoint)?;
        entry.in_flight += 1;
        let zone = self.site.zones.name(entry.zone.0);
        self.journal.record_submit(text.0, now, zone);
        self.in_flight.insert((text, part.submit), endpoint);
        self.counters.submitted.add(1);
        log_account!(text = text.0, submit = part.submit, endpoint = endpoint.0; "submit");
        let entry = &entry.name;
        log_request!(id = part.id, submit = part.submit, endpoint = entry, revision:? = self.revision; "call");
        Some(part)
    }

    /// Writes a submit's outcome to the request log.
    fn log_outcome(&mut self, outcome: &Outcome) {
        let Some(unfinished) = self.journal.outstanding().get(&outcome.text.0) else { return };
        let (id, submit, ms) = (&unfinished.info.id, outcome.submit, outcome.latency.as_millis());
        let endpoint = self.endpoints.get(outcome.endpoint).map(|entry| entry.name.as_str());
        log_request!(id, submit, endpoint:?, reason:? = outcome.verdict, in_doubt = outcome.in_doubt, ms; "call ended");
    }

    /// Ends a text as nacked or undeliverable and queues the report.
    fn end_with_report(&mut self, text: TextId, report: Report) {
        let Some(unfinished) = self.journal.outstanding().get(&text.0) else { return };
        let id = unfinished.info.id.clone();
        let (dest, submits) = (unfinished.info.dest, unfinished.submits());
        let left = Moment::from_millis(unfinished.info.until_ms).since(self.clock.now()).as_millis();
        let end = if matches!(report, Report::Undeliverable) { "undeliverable" } else { "nacked" };
        log_account!(text = text.0, dest, submits, left; "{end}");
        match report {
            Report::Nacked { again_ms } => {
                let again_ms = again_ms.map_or(-1.0, f64::round);
                log_decision!(text = id, dest, submits, again_ms, reason = "no capacity within its validity period"; "nacked");
            }
            Report::Undeliverable => {
                let reason = match unfinished.is_in_doubt() {
                    true => "a submit may have run and no other can be made in time",
                    false => "validity period over or submits used up",
                };
                log_decision!(text = id, dest, submits, reason; "undeliverable");
            }
        }
        self.journal.record_end(text.0, Some(report));
        self.pending_notices.push(Notice { text, id, report });
    }

    /// Writes the decisions to the journal, then answers clients and operators and sends reports. Returns whether the write
    /// succeeded.
    fn flush(&mut self) -> bool {
        let compactions = self.journal.compactions;
        let flushed = self.journal.flush();
        self.counters.compactions.add(self.journal.compactions - compactions);
        if let Err(e) = &flushed {
            log!("the log can't be written: {e}");
        }
        for (text, reply) in std::mem::take(&mut self.pending_replies) {
            if flushed.is_ok() {
                if reply.try_send(Admission::Accepted(text)).is_err() {
                    self.handle(Message::AnswerLost(text));
                }
                continue;
            }
            let Some(unfinished) = self.journal.outstanding().get(&text.0) else { continue };
            let key = unfinished.info.key.clone();
            self.ids.remove(&unfinished.info.id);
            let answer = if self.journal.may_be_recovered(text.0) {
                Admission::Indeterminate
            } else {
                Admission::Full
            };
            self.mark_answered(text, answer);
            key.iter().for_each(|key| self.keys.release(key));
            self.journal.abandon(text.0);
            self.pass_in_key_order(text, key.as_deref(), None);
            self.counters.turned_away.add(1);
            _ = reply.try_send(answer);
        }
        self.set_pause_reasons(PauseReasons { journal: flushed.is_err(), ..self.pause_reasons });
        self.answer_orders(flushed.is_ok());
        self.send_notices(flushed.is_ok());
        flushed.is_ok()
    }

    /// Reports ended texts. An end that is not in the journal is held back, since a restarted sender would go on with a text
    /// whose client knows it as ended. It is held back only until the text's validity period is over; after that no
    /// restarted sender submits it.
    fn send_notices(&mut self, written: bool) {
        if self.pending_notices.is_empty() {
            return;
        }
        let now = self.clock.now();
        let can_send = |notice: &mut Notice| {
            let unfinished = self.journal.outstanding().get(&notice.text.0);
            written
                || unfinished.is_none_or(|unfinished| now >= Moment::from_millis(unfinished.info.until_ms))
        };
        for notice in self.pending_notices.extract_if(.., can_send) {
            // The actor's mailbox has room for as many notices as there can be texts, so it is never full.
            if self.notices.try_send(notice).is_err() {
                log!("the notices actor has ended; a report is lost");
            }
        }
        if !self.pending_notices.is_empty() {
            let retry_at = now + span(self.limits.report_pause);
            self.wake_at = Some(self.wake_at.map_or(retry_at, |wake_at| wake_at.min(retry_at)));
        }
    }

    /// Passes a call to the endpoint's actor, which is started if there is none.
    fn send_call(&mut self, endpoint: EndpointId, call: Call) {
        let Some(entry) = self.endpoints.get(endpoint) else { return self.report_not_sent(endpoint, call) };
        if entry.peer.is_none()
            && let Some(address) = entry.address
        {
            let (own, requests) = bounded(self.limits.peer_mailbox);
            let peer = Peer { endpoint, address, trunk: Arc::clone(&self.trunk), own: own.clone() };
            match threads::spawn("peer", self.limits.stack, move || peer.run(requests)) {
                Ok(_) => entry.peer = Some(own),
                Err(e) => log!("can't start a thread for {}: {e}", entry.name),
            }
        }
        self.counters.calls.add(1);
        let Some(peer) = &entry.peer else { return self.report_not_sent(endpoint, call) };
        if let Err(lost) = peer.try_send(peer::Ask::Call(Box::new(call.to(endpoint, &self.trunk)))) {
            if lost.is_disconnected() {
                entry.peer = None;
            }
            if let peer::Ask::Call(call) = lost.into_inner() {
                self.report_not_sent(endpoint, *call);
            }
        }
    }

    /// Removes a submit from those in flight.
    fn submit_ended(&mut self, text: TextId, submit: usize) {
        let entry = self.in_flight.remove(&(text, submit)).and_then(|endpoint| self.endpoints.get(endpoint));
        entry.into_iter().for_each(|entry| entry.submit_ended());
    }

    /// Reports the submits of a call that was not sent as never run.
    fn report_not_sent(&mut self, endpoint: EndpointId, call: Call) {
        for part in call.into_parts() {
            self.submit_ended(part.text, part.submit);
            self.journal.record_never_ran(part.text.0, part.submit);
            self.counters.not_sent.add(1);
            self.pending_events.push(Event::Outcome(Outcome {
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
