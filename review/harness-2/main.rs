//! The cases 6 to 10 of the second review: `harness CASE RECORD`. Stand-ins and checks need nothing but the standard library.

mod common;
mod lists;
mod moves;
mod routes;
mod staged;

use std::path::Path;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record] = &words[..] else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(common::NOT_RUN);
    };
    common::begin(Path::new(record));
    match case.as_str() {
        "routes-apart" => routes::run(),
        "stale-controller" => staged::stale_controller(),
        "unheard" => staged::unheard(),
        "keeper-killed" => staged::keeper_killed(),
        "held-list" => lists::run(),
        "moved-discovery" => moves::run(),
        other => common::end(common::NOT_RUN, &format!("there is no case {other}")),
    }
}
