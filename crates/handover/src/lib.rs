//! The steps by which a new sender process replaces the old one while texts come in.
//!
//! Two state machines, one for each process, take what their process observes and return what it has to do. They prevent
//! two owners as well as none: ownership is a lock that the kernel releases when its process dies, so no step needs a
//! message from the other side. Locks, sockets, files and clocks are left to whoever drives them; `docs/design/operations.md` has the
//! table of steps.
//!
//! ```
//! use indigomast::time::{Moment, Span};
//! use indigomast_handover::{Incumbent, Observation, Settings, Step};
//! let mut old = Incumbent::new(Settings::default());
//! let asked = Observation { successor_waits: true, calls_out: true, clients_answered: false };
//! let start = Moment::from_millis(0.0);
//! assert_eq!(old.step(start, asked), Some(Step::StopSubmitting));
//! assert_eq!(old.step(start, Observation { calls_out: false, ..asked }), Some(Step::StopAccepting));
//! assert_eq!(old.step(start, Observation { calls_out: false, clients_answered: true, ..asked }), Some(Step::Exit));
//! ```

use indigomast::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long to wait for outstanding calls after submitting stopped.
    pub max_call_drain: Span,
    /// How long to wait for clients already connected after accepting stopped.
    pub max_client_drain: Span,
    /// How long a successor waits for ownership before it reports that it is ready.
    pub ready_after: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_call_drain: Span::millis(700),
            max_client_drain: Span::millis(400),
            ready_after: Span::millis(3000),
        }
    }
}

/// What the old process observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// A successor waits.
    pub successor_waits: bool,
    /// Calls are outstanding.
    pub calls_out: bool,
    /// Every accepted client was answered, and no new one can be accepted.
    pub clients_answered: bool,
}

/// What the old process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Start no new calls. Texts are still accepted, on connections that close after their response.
    StopSubmitting,
    /// Accept no new connection and close idle ones.
    StopAccepting,
    /// Write the handover state and exit. This step can't be undone.
    Exit,
    /// Serve as before.
    Resume,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Serving,
    /// The exit failed; the process serves until this successor is gone or it is told to stop.
    Staying,
    Quiet(Moment),
    Closing(Moment),
    Left,
}

/// The state machine of the process that owns the sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incumbent {
    settings: Settings,
    stage: Stage,
}

impl Incumbent {
    pub fn new(settings: Settings) -> Incumbent {
        Incumbent { settings, stage: Stage::Serving }
    }

    pub fn step(&mut self, now: Moment, seen: Observation) -> Option<Step> {
        let Settings { max_call_drain, max_client_drain, .. } = self.settings;
        let (stage, step) = match (self.stage, seen.successor_waits) {
            (Stage::Left | Stage::Serving, false) | (Stage::Left | Stage::Staying, true) => return None,
            (Stage::Staying, false) => (Stage::Serving, Some(Step::Resume)),
            (Stage::Serving, true) => (Stage::Quiet(now), Some(Step::StopSubmitting)),
            (Stage::Quiet(_) | Stage::Closing(_), false) => (Stage::Serving, Some(Step::Resume)),
            (Stage::Quiet(since), true) if !seen.calls_out || now.since(since) >= max_call_drain => {
                (Stage::Closing(now), Some(Step::StopAccepting))
            }
            (Stage::Closing(since), true)
                if seen.clients_answered || now.since(since) >= max_client_drain =>
            {
                (Stage::Left, Some(Step::Exit))
            }
            (Stage::Quiet(_) | Stage::Closing(_), true) => return None,
        };
        self.stage = stage;
        step
    }

    /// The handover state can't be written, so the successor could break promises made to clients: this process serves on.
    pub fn exit_failed(&mut self) -> Step {
        self.stage = Stage::Staying;
        Step::Resume
    }

    /// Whether a handover is in progress.
    pub fn is_handing_over(&self) -> bool {
        matches!(self.stage, Stage::Quiet(_) | Stage::Closing(_) | Stage::Left)
    }
}

/// What the new process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorStep {
    /// Read the state left by the old process and serve.
    TakeOver,
    /// Report readiness: only the operators can end the old process.
    ReportReady,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Wait {
    Since(Moment),
    StandingBy,
    Over,
}

/// The state machine of the process that waits for ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    settings: Settings,
    wait: Wait,
}

impl Successor {
    pub fn new(settings: Settings, now: Moment) -> Successor {
        Successor { settings, wait: Wait::Since(now) }
    }

    /// `owns` is whether the owner's lock could be had just now.
    pub fn step(&mut self, now: Moment, owns: bool) -> Option<SuccessorStep> {
        match self.wait {
            Wait::Over => None,
            _ if owns => {
                self.wait = Wait::Over;
                Some(SuccessorStep::TakeOver)
            }
            Wait::Since(since) if now.since(since) >= self.settings.ready_after => {
                self.wait = Wait::StandingBy;
                Some(SuccessorStep::ReportReady)
            }
            Wait::Since(_) | Wait::StandingBy => None,
        }
    }
}
