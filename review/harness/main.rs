//! Plays one case of the review: `review N`, from the root of the repository. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

#[path = "../1/case.rs"]
mod case_1;
#[path = "../2/case.rs"]
mod case_2;
#[path = "../3/case.rs"]
mod case_3;
mod kit;

use std::path::Path;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let folder = Path::new("review").join(&case);
    let (record, log) = (folder.join("record.txt"), folder.join("sender.log"));
    _ = std::fs::remove_file(&log);
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "1" => case_1::play(&record, &log),
        "2" => case_2::play(&record, &log),
        "3" => case_3::play(&record, &log),
        _ => kit::cannot("there is no such case"),
    });
    std::process::exit(played.unwrap_or(2));
}
