use super::*;

#[test]
fn a_port_that_is_taken_meanwhile_ends_the_run_with_a_word() {
    let (sender, _words) = crossbeam_channel::unbounded();
    let endpoint = EndpointId(0);
    let mut listeners = Listeners::open([endpoint].into_iter(), None, &Mailbox(sender)).expect("a free port");
    let address = listeners.addresses()[&endpoint];
    listeners.listens(endpoint, false).expect("it closes");
    // Whoever gets it first keeps it; the closing takes a moment.
    let taker = (0..1000).find_map(|_| {
        thread::sleep(Duration::from_millis(1));
        TcpListener::bind(address).ok()
    });
    let _taker = taker.expect("the port is given back");
    let complaint = listeners.listens(endpoint, true).expect_err("the port is taken");
    assert!(complaint.contains(&address.to_string()), "{complaint}");
}
