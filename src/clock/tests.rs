use super::*;

#[test]
fn the_clock_shows_unix_time_and_converts_to_instants() {
    let clock = Clock::start();
    let unix = micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap());
    assert!(clock.now().abs_diff(unix) < 60_000_000);
    let at = clock.now();
    assert_eq!(clock.instant(at + 5) - clock.instant(at), Duration::from_micros(5));
    assert!(clock.now() >= at);
}
