//! Faults between and under several processes: what they are, how a plan of them is drawn, and when each is due.
//!
//! A plan is drawn from a seed before the run and kept with its outcome, so that a run that failed is played again. What
//! a fault does is left to the stage; here is only what, to whom and when.

use super::line::Condition;
use indigomast::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Who is at the end of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// All clients of one sender.
    Clients(usize),
    Sender(usize),
    /// The endpoints of one destination.
    Destination(usize),
    /// The list, and those who take notices.
    Platform,
    /// Whoever calls at the second addresses.
    Operator,
    /// A control process, and what tells one sender of its part.
    Control(usize),
    Agent(usize),
}

/// Which directions of lines a fault strikes: those that begin at one of `from` and end at one of `to`, where an empty
/// list stands for all ends, and with `both` those of the opposite sense.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Between {
    pub from: Vec<End>,
    pub to: Vec<End>,
    pub both: bool,
}

impl Between {
    pub fn strikes(&self, from: End, to: End) -> bool {
        let one = |from, to| {
            (self.from.is_empty() || self.from.contains(&from))
                && (self.to.is_empty() || self.to.contains(&to))
        };
        one(from, to) || (self.both && one(to, from))
    }
}

/// What is out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// A line does this to what is sent along it.
    Line {
        between: Between,
        condition: Condition,
    },
    /// Connections along these lines are reset, once.
    Reset {
        between: Between,
    },
    /// A process is killed -9 and started again when the fault is over.
    Kill {
        sender: usize,
    },
    /// A process is asked to end, and started again when the fault is over.
    End {
        sender: usize,
    },
    /// A process is stopped, and goes on when the fault is over.
    Pause {
        sender: usize,
    },
    /// No file of the process grows beyond so many bytes.
    FullFolder {
        sender: usize,
        bytes: u64,
    },
    /// The process may have so many descriptors.
    Descriptors {
        sender: usize,
        most: u64,
    },
    /// Of a sender under a keeper: the keeper is killed -9, or stopped, and starts or goes on when the fault is over.
    KillKeeper {
        sender: usize,
    },
    PauseKeeper {
        sender: usize,
    },
    /// Whoever steers a change is killed -9, and started again when the fault is over.
    KillController,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub for_s: f64,
    pub what: What,
}

impl Fault {
    pub fn begins(&self) -> Moment {
        Moment::from_millis(self.at_s * 1000.0)
    }

    pub fn ends(&self) -> Moment {
        self.begins() + Span::from_millis(self.for_s * 1000.0)
    }

    /// Senders that may not do in time what they have to while it lasts: their process doesn't run or can't write, or
    /// what they say doesn't get to where it has to.
    pub fn holds_up(&self, senders: usize) -> Vec<usize> {
        match &self.what {
            What::Kill { sender }
            | What::End { sender }
            | What::Pause { sender }
            | What::FullFolder { sender, .. }
            | What::Descriptors { sender, .. } => vec![*sender],
            What::KillKeeper { .. } | What::PauseKeeper { .. } | What::KillController => Vec::new(),
            What::Line { between, .. } | What::Reset { between } => {
                let platform = |sender: &usize| {
                    between.strikes(End::Sender(*sender), End::Platform)
                        || between.strikes(End::Platform, End::Sender(*sender))
                };
                (0..senders).filter(platform).collect()
            }
        }
    }

    /// The first end that it names and that isn't there.
    pub fn unknown(&self, sizes: &Sizes) -> Option<String> {
        let sender = |sender: &usize| (*sender >= sizes.senders).then(|| format!("sender {sender}"));
        match &self.what {
            What::Line { between, .. } | What::Reset { between } => {
                between.from.iter().chain(&between.to).find_map(|end| match end {
                    End::Clients(of) | End::Sender(of) => sender(of),
                    End::Destination(at) if *at >= sizes.destinations => Some(format!("destination {at}")),
                    _ => None,
                })
            }
            What::KillController => None,
            What::Kill { sender: of }
            | What::KillKeeper { sender: of }
            | What::PauseKeeper { sender: of }
            | What::End { sender: of }
            | What::Pause { sender: of }
            | What::FullFolder { sender: of, .. }
            | What::Descriptors { sender: of, .. } => sender(of),
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Clients(of) => write!(f, "clients of {of}"),
            End::Sender(at) => write!(f, "sender {at}"),
            End::Destination(at) => write!(f, "destination {at}"),
            End::Platform => write!(f, "platform"),
            End::Operator => write!(f, "operator"),
            End::Control(at) => write!(f, "control process {at}"),
            End::Agent(at) => write!(f, "agent {at}"),
        }
    }
}

impl fmt::Display for Between {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |ends: &[End]| match ends {
            [] => "all".to_owned(),
            ends => ends.iter().map(End::to_string).collect::<Vec<_>>().join(", "),
        };
        let sense = if self.both { "<->" } else { "->" };
        write!(f, "{} {sense} {}", names(&self.from), names(&self.to))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.what {
            What::Line { between, condition } => {
                let mut words = Vec::new();
                if condition.cut {
                    words.push("cut".to_owned());
                }
                if condition.swallow {
                    words.push("swallowed".to_owned());
                }
                if condition.delay_ms + condition.jitter_ms > 0.0 {
                    words.push(format!("{:.0}+{:.0} ms late", condition.delay_ms, condition.jitter_ms));
                }
                if let Some(rate) = condition.bytes_a_second {
                    words.push(format!("{rate:.0} bytes/s"));
                }
                for (part, name) in [
                    (condition.loss, "lost"),
                    (condition.doubled, "doubled"),
                    (condition.reordered, "overtaken"),
                ] {
                    if part > 0.0 {
                        words.push(format!("{:.0}% {name}", part * 100.0));
                    }
                }
                write!(f, "{between}: {}", words.join(", "))
            }
            What::Reset { between } => write!(f, "{between}: reset"),
            What::Kill { sender } => write!(f, "sender {sender}: killed"),
            What::End { sender } => write!(f, "sender {sender}: asked to end"),
            What::Pause { sender } => write!(f, "sender {sender}: stopped"),
            What::FullFolder { sender, bytes } => write!(f, "sender {sender}: no file over {bytes} bytes"),
            What::Descriptors { sender, most } => write!(f, "sender {sender}: {most} descriptors"),
            What::KillKeeper { sender } => write!(f, "keeper of {sender}: killed"),
            What::PauseKeeper { sender } => write!(f, "keeper of {sender}: stopped"),
            What::KillController => write!(f, "controller: killed"),
        }
    }
}

/// How many there are of what can be struck.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub senders: usize,
    pub destinations: usize,
}

/// The sorts that a plan is drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sort {
    /// Some senders apart from everybody else, both ways.
    Partition,
    /// One direction between one sender and one destination, or the platform.
    OneWay,
    /// Slow lines of one sender.
    Slow,
    /// Connections of a sender swallowed.
    Swallow,
    Reset,
    Kill,
    End,
    Pause,
    FullFolder,
    Descriptors,
    KillKeeper,
    PauseKeeper,
    KillController,
}

/// Those that a plan is drawn from where none are named; the others need keepers.
pub const SORTS: [Sort; 10] = [
    Sort::Partition,
    Sort::OneWay,
    Sort::Slow,
    Sort::Swallow,
    Sort::Reset,
    Sort::Kill,
    Sort::End,
    Sort::Pause,
    Sort::FullFolder,
    Sort::Descriptors,
];

/// How a plan is drawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    pub count: usize,
    /// All of them begin and end within this.
    pub from_s: f64,
    pub until_s: f64,
    /// How long one lasts at the most, and at the least.
    pub least_s: f64,
    pub most_s: f64,
    /// Empty for all sorts.
    #[serde(default)]
    pub sorts: Vec<Sort>,
}

/// Draws a plan. Two faults of one process never overlap: its restart would undo the other.
pub fn draw(draw: &Draw, sizes: &Sizes, seed: u64) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x66_6175_6c74);
    let sorts = if draw.sorts.is_empty() { &SORTS[..] } else { &draw.sorts };
    let mut plan: Vec<Fault> = Vec::new();
    let mut busy: Vec<(usize, f64, f64)> = Vec::new();
    // Some draws find their process busy and are drawn again; so many suffice for any plan that fits at all.
    for _ in 0..draw.count * 20 {
        if plan.len() == draw.count {
            break;
        }
        let for_s = rng.random_range(draw.least_s..=draw.most_s);
        let at_s = draw.from_s + rng.random::<f64>() * (draw.until_s - draw.from_s - for_s).max(0.0);
        let (at_s, for_s) = ((at_s * 1000.0).round() / 1000.0, (for_s * 1000.0).round() / 1000.0);
        let sender = rng.random_range(0..sizes.senders);
        let sort = sorts[rng.random_range(0..sorts.len())];
        let what = draw_one(sort, sender, sizes, &mut rng);
        let of_process = !matches!(what, What::Line { .. } | What::Reset { .. });
        if of_process {
            // A process that was asked to end has its time for that, and one that starts again needs some.
            let until = at_s + for_s + 5.0;
            if busy.iter().any(|(of, from, to)| *of == sender && *from < until && at_s < *to) {
                continue;
            }
            busy.push((sender, at_s, until));
        }
        plan.push(Fault { at_s, for_s, what });
    }
    plan.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    plan
}

fn draw_one(sort: Sort, sender: usize, sizes: &Sizes, rng: &mut Pcg64Mcg) -> What {
    let of_one = |both| Between { from: vec![End::Sender(sender)], to: Vec::new(), both };
    let cut = Condition { cut: true, ..Condition::default() };
    match sort {
        Sort::Partition => {
            // From one of them to half.
            let many = rng.random_range(1..=(sizes.senders / 2).max(1));
            let mut apart = BTreeSet::from([sender]);
            while apart.len() < many {
                apart.insert(rng.random_range(0..sizes.senders));
            }
            let from = apart.into_iter().map(End::Sender).collect();
            What::Line { between: Between { from, to: Vec::new(), both: true }, condition: cut }
        }
        Sort::OneWay => {
            let other = match rng.random_range(0..3) {
                0 => End::Platform,
                _ => End::Destination(rng.random_range(0..sizes.destinations)),
            };
            let (a, b) = (vec![End::Sender(sender)], vec![other]);
            let (from, to) = if rng.random::<bool>() { (a, b) } else { (b, a) };
            What::Line { between: Between { from, to, both: false }, condition: cut }
        }
        Sort::Slow => {
            let condition = Condition {
                delay_ms: rng.random_range(20.0..200.0f64).round(),
                jitter_ms: rng.random_range(0.0..100.0f64).round(),
                loss: rng.random_range(0.0..0.05),
                ..Condition::default()
            };
            What::Line { between: of_one(true), condition }
        }
        Sort::Swallow => {
            let swallow = Condition { swallow: true, ..Condition::default() };
            let to = vec![End::Destination(rng.random_range(0..sizes.destinations))];
            let between = Between { from: vec![End::Sender(sender)], to, both: rng.random() };
            What::Line { between, condition: swallow }
        }
        Sort::Reset => What::Reset { between: of_one(false) },
        Sort::Kill => What::Kill { sender },
        Sort::End => What::End { sender },
        Sort::Pause => What::Pause { sender },
        Sort::FullFolder => What::FullFolder { sender, bytes: rng.random_range(0..64 << 10) },
        Sort::Descriptors => What::Descriptors { sender, most: rng.random_range(48..96) },
        Sort::KillKeeper => What::KillKeeper { sender },
        Sort::PauseKeeper => What::PauseKeeper { sender },
        Sort::KillController => What::KillController,
    }
}

/// A fault of the plan by its place that begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    Begins(usize),
    Ends(usize),
}

/// A plan as it is played: what is due when.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    dues: BTreeSet<(Moment, Turn)>,
}

impl Schedule {
    pub fn of(plan: &[Fault]) -> Schedule {
        let each = plan.iter().enumerate();
        let dues =
            each.flat_map(|(at, fault)| [(fault.begins(), Turn::Begins(at)), (fault.ends(), Turn::Ends(at))]);
        Schedule { dues: dues.collect() }
    }

    pub fn next(&self) -> Option<Moment> {
        self.dues.first().map(|(at, _)| *at)
    }

    /// All that is due by now, in its order.
    pub fn due(&mut self, now: Moment) -> Vec<Turn> {
        let mut due = Vec::new();
        while let Some((_, turn)) = self.dues.first().copied().filter(|(at, _)| *at <= now) {
            self.dues.pop_first();
            due.push(turn);
        }
        due
    }
}
