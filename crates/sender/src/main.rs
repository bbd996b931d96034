use std::process::ExitCode;

fn main() -> ExitCode {
    match indigomast_sender::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            eprintln!("indigomastd: {complaint}");
            ExitCode::FAILURE
        }
    }
}
