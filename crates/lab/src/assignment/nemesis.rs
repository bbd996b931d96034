//! What is put out of order, and when: drawn from a seed before the run, and kept with it.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Control processes are named by their number; where a fault strikes the controller, whoever steers promotes the one with
/// the furthest copy of those that it can reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// A control process that has lost its disk is started behind a slow line, killed in the middle of its snapshot, and
    /// started again when the fault is over.
    KillInSnapshot {
        bytes_a_second: f64,
    },
    /// All control processes are killed, and started again when the fault is over.
    RestartControls,
    /// The controller is killed and another promoted; the killed one is started when the fault is over.
    KillController,
    /// The controller is stopped and another promoted; the stopped one goes on when the fault is over.
    PauseController,
    /// The controller and some senders are apart from all others, where another is promoted; both are told changes.
    TwoControllers {
        with: Vec<u32>,
    },
    /// A control process that isn't the controller is apart from the others, and reaches its senders.
    CutRelay,
    PauseAgent {
        sender: u32,
    },
    KillAgent {
        sender: u32,
    },
    /// Cut off first, killed, started again while cut off.
    RestartCutOff {
        sender: u32,
    },
    /// Apart from all control processes.
    Partition {
        senders: Vec<u32>,
    },
    /// What goes one way between an agent and a control process gets nowhere.
    OneWay {
        sender: u32,
        control: usize,
        up: bool,
    },
    /// All lines of an agent.
    Slow {
        sender: u32,
        delay_ms: f64,
        loss: f64,
    },
    /// Lines of an agent carry few bytes a second, and are reset while a line is on its way.
    ResetMidLine {
        sender: u32,
        bytes_a_second: f64,
    },
    /// Said to be gone, and back when the fault is over; what it owned moves and moves back.
    Gone {
        sender: u32,
    },
    /// Said to have come while it is stopped: its shards move for as long, and destinations of them are added, changed and
    /// removed.
    ComesStopped {
        sender: u32,
    },
    /// So many changes at once.
    Burst {
        changes: usize,
    },
}

impl What {
    /// Of those only one is out of order at a time: what is to be promoted would not be defined otherwise.
    pub fn of_control(&self) -> bool {
        matches!(
            self,
            What::KillInSnapshot { .. }
                | What::RestartControls
                | What::KillController
                | What::PauseController
                | What::TwoControllers { .. }
                | What::CutRelay
        )
    }

    /// Whose process it strikes, which no other fault may strike meanwhile.
    pub fn process(&self) -> Option<u32> {
        match self {
            What::PauseAgent { sender }
            | What::KillAgent { sender }
            | What::RestartCutOff { sender }
            | What::Gone { sender }
            | What::ComesStopped { sender } => Some(*sender),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub for_s: f64,
    pub what: What,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} s for {:.1} s: ", self.at_s, self.for_s)?;
        match &self.what {
            What::KillInSnapshot { bytes_a_second } => {
                write!(f, "a control process killed in its snapshot ({bytes_a_second:.0} bytes/s)")
            }
            What::RestartControls => write!(f, "all control processes restarted"),
            What::KillController => write!(f, "controller killed, another promoted"),
            What::PauseController => write!(f, "controller stopped, another promoted"),
            What::TwoControllers { with } => {
                write!(f, "two controllers, the old one with the senders {with:?}")
            }
            What::CutRelay => write!(f, "a relay apart from the controller"),
            What::PauseAgent { sender } => write!(f, "agent {sender} stopped"),
            What::KillAgent { sender } => write!(f, "agent {sender} killed"),
            What::RestartCutOff { sender } => write!(f, "agent {sender} cut off and restarted"),
            What::Partition { senders } => write!(f, "agents {senders:?} cut off"),
            What::OneWay { sender, control, up } => {
                let (from, to) = if *up { ("from", "to") } else { ("to", "from") };
                write!(f, "nothing {from} agent {sender} {to} control process {control}")
            }
            What::Slow { sender, delay_ms, loss } => {
                write!(f, "lines of agent {sender} {delay_ms:.0} ms late, {:.0}% lost", loss * 100.0)
            }
            What::ResetMidLine { sender, bytes_a_second } => {
                write!(f, "lines of agent {sender} reset at {bytes_a_second:.0} bytes/s")
            }
            What::Gone { sender } => write!(f, "sender {sender} said to be gone"),
            What::ComesStopped { sender } => write!(f, "sender {sender} said to come, stopped"),
            What::Burst { changes } => write!(f, "{changes} changes at once"),
        }
    }
}

/// What a plan is drawn for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Draw {
    pub senders: u32,
    pub controls: usize,
    /// The last of them are not members at first.
    pub late: u32,
    /// Faults begin and end within this.
    pub from_s: f64,
    pub until_s: f64,
    /// Of control processes and the lines between them: so many of the six sorts, each once.
    pub control_faults: usize,
    /// Of agents and their lines.
    pub agent_faults: usize,
}

/// Draws a plan in which no fault of control stands twice, in an order drawn, one after the other; those of agents and
/// members lie across.
pub fn draw(draw: &Draw, seed: u64) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7061_7274);
    let members = draw.senders - draw.late;
    let mut plan: Vec<Fault> = Vec::new();
    let some = |rng: &mut Pcg64Mcg, most: usize| -> Vec<u32> {
        let count = rng.random_range(1..=most);
        let mut of = BTreeSet::new();
        while of.len() < count {
            of.insert(rng.random_range(0..members));
        }
        of.into_iter().collect()
    };
    let half = (members as usize / 2).max(1);
    let mut control = vec![
        What::KillInSnapshot { bytes_a_second: rng.random_range(2000.0..8000.0f64).round() },
        What::RestartControls,
        What::KillController,
        What::PauseController,
        What::TwoControllers { with: some(&mut rng, half) },
        What::CutRelay,
    ];
    let count = draw.control_faults.min(control.len());
    let slot = (draw.until_s - draw.from_s) / count.max(1) as f64;
    for nth in 0..count {
        let what = control.swap_remove(rng.random_range(0..control.len()));
        let at_s = draw.from_s + slot * nth as f64 + rng.random_range(0.0..slot * 0.2);
        let for_s = slot * rng.random_range(0.3..0.65);
        plan.push(Fault { at_s, for_s, what });
    }
    let span = draw.until_s - draw.from_s;
    for sender in members..draw.senders {
        let at_s = draw.from_s + span * rng.random_range(0.05..0.6);
        let for_s = rng.random_range(1.0..5.0);
        plan.push(Fault { at_s, for_s, what: What::ComesStopped { sender } });
    }
    // Longer than the linger, so that what it owned does move.
    let gone = Fault {
        at_s: draw.from_s + span * rng.random_range(0.0..0.3),
        for_s: span * rng.random_range(0.3..0.5),
        what: What::Gone { sender: rng.random_range(0..members) },
    };
    plan.push(gone);
    for _ in 0..2 {
        let at_s = draw.from_s + span * rng.random::<f64>();
        plan.push(Fault { at_s, for_s: 0.0, what: What::Burst { changes: rng.random_range(10..30) } });
    }
    let before = plan.len();
    // Some draws find their process busy and are drawn again.
    for _ in 0..draw.agent_faults * 20 {
        let nth = plan.len() - before;
        if nth >= draw.agent_faults {
            break;
        }
        let sender = rng.random_range(0..members);
        // Each sort at least once where there is room for that, then by chance.
        let sort = if nth < 7 { nth } else { rng.random_range(0..7) };
        let what = match sort {
            0 => What::PauseAgent { sender },
            1 => What::KillAgent { sender },
            2 => What::RestartCutOff { sender },
            3 => What::Partition { senders: some(&mut rng, half) },
            4 => What::OneWay { sender, control: rng.random_range(0..draw.controls), up: rng.random() },
            5 => What::Slow {
                sender,
                delay_ms: rng.random_range(20.0..300.0f64).round(),
                loss: rng.random_range(0.0..0.1),
            },
            _ => What::ResetMidLine { sender, bytes_a_second: rng.random_range(400.0..2000.0f64).round() },
        };
        let for_s = rng.random_range(1.0..9.0f64).min(span * 0.5);
        let at_s = draw.from_s + rng.random::<f64>() * (span - for_s).max(0.0);
        let busy = |fault: &&Fault| {
            // A process that starts again needs some time.
            let apart = fault.at_s + fault.for_s + 2.0 < at_s || at_s + for_s + 2.0 < fault.at_s;
            fault.what.process() == Some(sender) && !apart
        };
        if what.process().is_some() && plan.iter().any(|fault| busy(&fault)) {
            continue;
        }
        plan.push(Fault { at_s, for_s, what });
    }
    for fault in &mut plan {
        (fault.at_s, fault.for_s) = (round(fault.at_s), round(fault.for_s));
    }
    plan.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    plan
}

fn round(seconds: f64) -> f64 {
    (seconds * 1000.0).round() / 1000.0
}
