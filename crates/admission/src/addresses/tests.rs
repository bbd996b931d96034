use super::*;

#[test]
fn networks_are_read_whole_or_not_at_all() {
    for (text, inside, outside) in [
        ("10.1.0.0/16", "10.1.255.3", "10.2.0.1"),
        ("127.0.0.9", "127.0.0.9", "127.0.0.8"),
        ("0.0.0.0/0", "255.1.2.3", "::1"),
        ("2001:db8::/32", "2001:db8:1::5", "2001:db9::1"),
        ("127.0.0.0/8", "::ffff:127.3.2.1", "::ffff:128.0.0.1"),
    ] {
        let network: Network = text.parse().expect(text);
        assert!(network.contains(inside.parse().unwrap()), "{text}");
        assert!(!network.contains(outside.parse().unwrap()), "{text}");
    }
    for wrong in ["10.1", "10.1.0.0/33", "10.1.0.0/x", "10.1.0.1/16", "::/129", ""] {
        assert!(wrong.parse::<Network>().is_err(), "{wrong}");
    }
    let complaint = "10.1.0.1/16".parse::<Network>().unwrap_err();
    assert!(complaint.contains("10.1.0.0/16"), "{complaint}");
}

#[test]
fn a_flood_of_addresses_forgets_strangers_and_nobody_else() {
    let mut table = Addresses::default();
    let at = |n: u32| Moment::from_millis(f64::from(n));
    let of = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a00_0000 + n));
    table.change(at(0), of(1), 5.0, 10, |record| record.valid_at = Some(at(0)));
    table.change(at(0), of(2), 5.0, 10, |record| record.open = 1);
    for n in 10..10_000 {
        table.change(at(n), of(n), 5.0, 10, |_| ());
    }
    assert_eq!(table.len(), 12);
    assert!(table.is_known(at(10_000), of(1), Span::millis(60_000)));
    assert!(!table.is_known(at(70_000), of(1), Span::millis(60_000)), "not for ever");
    assert_eq!(table.get(of(2)).map(|record| record.open), Some(1));
}
