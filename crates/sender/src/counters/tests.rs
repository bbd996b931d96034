use super::*;

#[test]
fn the_age_of_the_list_is_told_once_there_is_one() {
    let counters = Counters::default();
    assert!(!counters.to_string().contains("list_age_ms"));
    counters.list.holds(41, Instant::now() - Duration::from_secs(3));
    let lines = counters.to_string();
    assert!(lines.contains("list_revision 41\n"), "{lines}");
    let age = lines.lines().find_map(|line| line.strip_prefix("list_age_ms "));
    assert!(age.and_then(|age| age.parse::<u64>().ok()).is_some_and(|age| age >= 3000), "{lines}");
}
