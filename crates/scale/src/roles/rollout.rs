//! What a change in stages costs its controller and each sender's agent, and what reading its plan costs.

use crate::meter::Meter;
use crate::{About, Reading, Role};
use indigomast::time::{Moment, Span};
use indigomast_rollout::agent::{Act, Agent, Promised, Which};
use indigomast_rollout::controller::{Controller, Input, Output};
use indigomast_rollout::plan::{Plan, Unheard};
use indigomast_rollout::steering::Event;
use indigomast_rollout::wire::{Answer, Change, Say, Secret, Told, Way};
use std::fmt::Write;

/// So long the change is looked at; each sender is asked every half a second.
const SECONDS: usize = 10;
const STEP: Span = Span::millis(100);
/// What carrying out an order takes, in steps.
const CARRIED_IN: usize = 10;
const KEY: &[u8] = b"a key of this run's own, and nobody else's";
/// Part of the senders that may be away at once.
const AWAY: usize = 100;

pub struct Rollout;

impl Role for Rollout {
    fn about(&self) -> About {
        About::over_senders(
            "rollout",
            &[
                "one controller; one stage, its senders named one by one; a hundredth may be away at once",
                "agents answer within a step of 100 ms and carry out an order in a second; no counts are compared",
            ],
        )
    }

    fn needs(&self, size: f64) -> f64 {
        size * 20_000.0
    }

    fn measure(&self, size: f64, _seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let size = size as usize;
        let text = plan(size);
        let start = meter.mark();
        let plan = Plan::parse(&text).map_err(|wrong| wrong.join("; "))?;
        let (parsed, digest) = (meter.micros_since(start), plan.digest.clone());
        let secret = Secret::new(KEY)?;
        let mut now = Moment::from_millis(0.0);
        let before = meter.mark();
        let mut controller = Controller::new(plan, &[], now);
        let mut agents: Vec<(Agent, Option<usize>)> = (0..size)
            .map(|_| {
                let mut agent = Agent::new(Promised::default(), None).0;
                agent.sees(Some(Which::Old), true);
                (agent, None)
            })
            .collect();
        let (mut inputs, mut last) = (vec![Input::ByHand(Event::Begin)], Vec::new());
        let (mut bytes, mut lines, mut orders) = (0, 0, 0);
        let (mut steered, mut sealed, mut obeyed) = (0.0, 0.0, 0.0);
        let mut number = 0u64;
        for _ in 0..SECONDS * 10 {
            if !inputs.is_empty() {
                last.clone_from(&inputs);
            }
            let start = meter.mark();
            let outputs = controller.step(now, std::mem::take(&mut inputs));
            steered += meter.micros_since(start);
            now += STEP;
            for output in outputs {
                let (member, say) = match output {
                    Output::Ask { member, epoch } => {
                        (member, Say::Look { number, epoch, change: change(&digest) })
                    }
                    Output::Order { member, order } => (member, Say::Order { number, order }),
                    Output::Record(_) => continue,
                    Output::Stop => return Err("the controller stopped".into()),
                };
                number += 1;
                let name = format!("sender-{member}");
                // Both sides of the line, so that neither pays for the other.
                let start = meter.mark();
                let line = secret.seal(Way::ToAgent, &name, &say);
                sealed += meter.micros_since(start);
                let start = meter.mark();
                let say: Say = secret.open(Way::ToAgent, &name, &line)?;
                let (agent, busy) = &mut agents[member];
                let answer = match say {
                    Say::Look { number, epoch, .. } => {
                        let challenge = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                        agent.look(now, epoch, challenge).map_err(|e| format!("{e:?}"))?;
                        let told = Told {
                            status: agent.status(),
                            version: "0.1.0".into(),
                            counts: None,
                            trouble: String::new(),
                        };
                        Answer::Stands { number, challenge, told: Box::new(told) }
                    }
                    Say::Order { number, order } => {
                        let acts = agent.order(now, order).map_err(|e| format!("{e:?}"))?;
                        if acts.iter().any(|act| matches!(act, Act::Carry(_))) {
                            *busy = Some(CARRIED_IN);
                            orders += 1;
                        }
                        Answer::Obeys { number, id: order.id }
                    }
                };
                let back = secret.seal(Way::FromAgent, &name, &answer);
                obeyed += meter.micros_since(start);
                let start = meter.mark();
                if let Answer::Stands { challenge, told, .. } = secret.open(Way::FromAgent, &name, &back)? {
                    let (status, counts) = (told.status, told.counts);
                    inputs.push(Input::Stands { member, challenge, status, counts });
                }
                sealed += meter.micros_since(start);
                bytes += line.len() + back.len() + 2;
                lines += 1;
            }
            for (agent, busy) in &mut agents {
                match busy {
                    Some(0) => {
                        agent.sees(Some(Which::New), true);
                        agent.carried(true);
                        *busy = None;
                    }
                    Some(left) => *left -= 1,
                    None => {}
                }
            }
        }
        // Where answers come one by one and not some hundreds with each step.
        let (answers, start) = (last.len(), meter.mark());
        for input in last {
            controller.step(now, vec![input]);
        }
        let alone = meter.micros_since(start) / answers.max(1) as f64;
        let seconds = SECONDS as f64;
        let each = |micros: f64| micros / seconds / size as f64;
        let controller_bytes = meter.bytes_since(before) - agents_bytes(size);
        Ok(vec![
            Reading::count("plan bytes", text.len() as f64),
            Reading::count("lines a second at the controller", lines as f64 / seconds),
            Reading::count("bytes a second at the controller", bytes as f64 / seconds),
            Reading::count("bytes a second at a sender", bytes as f64 / seconds / size as f64),
            Reading::count("orders carried out in 10 s", orders as f64),
            Reading::heap("controller's memory", controller_bytes),
            Reading::micros("plan read", parsed),
            Reading::micros("controller: decisions a second", steered / seconds),
            Reading::each("controller: decisions on an answer that comes alone", alone),
            Reading::micros("controller: lines sealed and opened a second", sealed / seconds),
            Reading::each("agent: micros a second", each(obeyed)),
        ])
    }
}

/// Agents hold no heap of their own: they lie in the one vector.
fn agents_bytes(size: usize) -> f64 {
    (size * size_of::<(Agent, Option<usize>)>()) as f64
}

fn change(digest: &str) -> Change {
    Change {
        digest: digest.to_owned(),
        program: Some("/opt/indigomast/indigomastd".into()),
        settings: None,
        program_digest: None,
        settings_digest: None,
        unheard: Unheard::Back,
        unheard_ms: 60_000.0,
        start_ms: 15_000.0,
        restarts: 5,
    }
}

fn plan(size: usize) -> String {
    let mut text = String::from("name = \"next\"\n[to]\nprogram = \"/opt/indigomast/indigomastd\"\n");
    for at in 0..size {
        let (high, low) = (at >> 8, at & 0xff);
        let zone = at % 10;
        _ = write!(
            text,
            "[[senders]]\nname = \"sender-{at}\"\nagent = \"127.1.{high}.{low}:7100\"\nzone = \"zone-{zone}\"\n"
        );
    }
    text.push_str("[[stages]]\nsenders = [");
    (0..size).for_each(|at| _ = write!(text, "\"sender-{at}\","));
    _ = write!(text, "]\n[limits]\naway = {}\n", (size / AWAY).max(1));
    text
}
