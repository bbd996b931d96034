use super::*;

#[test]
fn a_second_address_is_none_that_connections_get() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = range.split_whitespace().next().and_then(|word| word.parse::<u16>().ok()).unwrap_or(0);
    for _ in 0..200 {
        let control = free_address().expect("some port is free");
        assert!(control.port() < first || first <= LEAST_PORT, "{control} is from {first} on");
    }
}
