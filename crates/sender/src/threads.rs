//! Threads with small stacks, and what happens when one that the sender can't do without ends.

use crossbeam_channel::Sender;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::{Builder, JoinHandle};

pub fn spawn(name: &str, stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(stack).spawn(work)
}

/// Whether the work came to its end. What one connection's bytes set off must not reach further than its thread.
pub fn survives(work: impl FnOnce()) -> bool {
    catch_unwind(AssertUnwindSafe(work)).is_ok()
}

/// How an actor that lives as long as its sender ended.
pub struct Ended {
    pub name: &'static str,
    pub panicked: bool,
}

/// Starts an actor for the sender's whole life; `ended` is told when it ends, whatever the cause.
pub fn actor(
    name: &'static str,
    stack: usize,
    ended: &Sender<Ended>,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    let ended = ended.clone();
    let whole = move || {
        // The panic's own words have gone to standard error already.
        let panicked = !survives(work);
        _ = ended.send(Ended { name, panicked });
    };
    spawn(name, stack, whole).map(drop)
}
