use super::*;
use std::collections::BTreeSet;
use std::thread;

#[test]
fn a_second_address_is_none_that_connections_get() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = range.split_whitespace().next().and_then(|word| word.parse::<u16>().ok()).unwrap_or(0);
    for _ in 0..200 {
        let control = free_address().expect("some port is free");
        assert!(control.port() < first || first <= LEAST_PORT, "{control} is from {first} on");
    }
}

/// An address is given out before anybody listens there, so the next one asked for has to be another, whoever asks.
#[test]
fn no_address_is_given_out_twice_in_a_row() {
    let draw = || (0..150).map(|_| free_address().expect("some port is free")).collect::<Vec<_>>();
    let drawn: Vec<SocketAddr> = thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(draw)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("it draws")).collect()
    });
    let different: BTreeSet<_> = drawn.iter().collect();
    assert_eq!(different.len(), drawn.len());
}
