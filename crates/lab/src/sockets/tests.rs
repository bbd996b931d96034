use super::*;
use std::path::Path;

/// Guards against a run that counts though the rig stood still: what came in the meantime may be taken up before what was due,
/// and carries that out with it.
#[test]
fn a_word_that_is_taken_up_first_does_not_hide_that_the_rig_stood_still() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/short.toml");
    let scenario = Scenario::load(&file).expect("a scenario");
    let daemon = Command { program: "/nowhere".into(), arguments: Vec::new() };
    let options = Options {
        daemons: vec![daemon],
        change: None,
        faults: None,
        folder: std::env::temp_dir().join(format!("indigomast-lab-{}-stood-still", std::process::id())),
        keep: false,
        stop: Arc::default(),
    };
    let world = World::new(&scenario, 1, SLACK, CROSSING);
    let (mut stage, _words, _folder) =
        Stage::set_up(&scenario, 1, &options, world).expect("nothing is started");
    // A second of traffic is due, and a word lies there that has just come.
    stage.epoch = Instant::now().checked_sub(Duration::from_secs(1)).expect("the system runs for longer");
    let (sender, words) = unbounded();
    Mailbox(sender.clone()).tell(Seen::Ready { sender: 0 });
    let stop = Arc::clone(&options.stop);
    stage.play(&words, &options.stop, &mut |_| stop.store(true, Ordering::Relaxed));
    assert!(stage.lateness.max() >= 900_000, "{} us late at the most", stage.lateness.max());
}
