use super::*;

#[test]
fn a_file_is_read_completely_or_rejected_by_its_key() {
    for off in ["", "enabled = false\nfleet = \"a\"\n"] {
        assert_eq!(FleetView::read(off).unwrap(), None);
    }
    let read = |text: &str| FleetView::read(&format!("enabled = true\n{text}"));
    let usual = FleetView { fleet: "a".into(), timing: GossipTiming::default() };
    assert_eq!(read("fleet = \"a\"\n").unwrap(), Some(usual));
    let set = read("fleet = \"a\"\nperiod_ms = 500\nhelpers = 0\n").unwrap().unwrap();
    assert_eq!(set.timing, GossipTiming { probe_interval_us: 500_000, indirect_probes: 0 });
    for (text, key) in [
        ("", "fleet"),
        ("fleet = \"a\"\nperiod_ms = 19\n", "period_ms"),
        ("fleet = \"a\"\nperiod_ms = 10001\n", "period_ms"),
        ("fleet = \"a\"\nhelpers = 11\n", "helpers"),
        ("fleet = \"a\"\nhelper = 1\n", "helper"),
        ("fleet = 7\n", "fleet"),
    ] {
        let problem = read(text).expect_err(text).to_string();
        assert!(problem.contains(key), "{key}: {problem}");
    }
}
