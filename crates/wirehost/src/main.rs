//! Reads batches of events from standard input and answers each on standard output.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the decisions is told on the wire; a trace beside it would only bury that.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            eprintln!("indigomast-wirehost: {complaint}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut hosts = host::Hosts::default();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", number + 1))?;
        let reply = hosts.answer(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("reply: {e}"))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}
