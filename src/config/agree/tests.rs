use super::*;

const GOOD: &str = "enabled = true\ncluster = \"fleet-a\"\n[voters]\n7 = \"127.0.0.1:7100\"\n";

#[test]
fn a_file_is_read_completely_or_rejected_by_its_key() {
    assert_eq!(Agreement::read("").unwrap(), None);
    assert_eq!(Agreement::read(&GOOD.replace("true", "false")).unwrap(), None);
    let read = Agreement::read(GOOD).unwrap().unwrap();
    assert_eq!((read.times, read.voter.clone()), (Timings::default(), None));
    let told = Voters::from([(7, "127.0.0.1:1".to_string()), (8, "127.0.0.1:2".to_string())]);
    let at = |id| read.address(id, &told);
    assert_eq!(
        (at(7).as_deref(), at(8).as_deref(), at(9)),
        (Some("127.0.0.1:7100"), Some("127.0.0.1:2"), None)
    );
    let seated = format!("listen = \"127.0.0.1:7100\"\ndirectory = \"/tmp/x\"\ndisk_mb = 2\n{GOOD}");
    let voter = Agreement::read(&seated).unwrap().unwrap().voter.unwrap();
    assert_eq!((voter.max_bytes, voter.max_connections), (2 << 20, DEFAULT_MAX_CONNECTIONS));
    for (keep, kept) in
        [("", Some(DEFAULT_KEEP_ENTRIES)), ("keep_entries = 5\n", Some(5)), ("keep_entries = 0\n", None)]
    {
        let voter = Agreement::read(&format!("{keep}{seated}")).unwrap().unwrap().voter.unwrap();
        assert_eq!(voter.keep_entries, kept, "{keep}");
    }
    for (change, key) in [
        (GOOD.replace("fleet-a", ""), "cluster"),
        (GOOD.replace("fleet-a", "a b"), "cluster"),
        (GOOD.replace("7 =", "x ="), "voters.x"),
        (GOOD.replace("7 =", "\"07\" = \"127.0.0.1:1\"\n7 ="), "voters"),
        (GOOD.replace("7 = \"127.0.0.1:7100\"\n", ""), "voters"),
        (GOOD.replace("127.0.0.1:7100", "nowhere"), "agreement"),
        (format!("listen = \"127.0.0.1:1\"\n{GOOD}"), "directory"),
        (format!("directory = \"/tmp\"\n{GOOD}"), "listen"),
        (format!("keep_entries = -1\n{GOOD}"), "keep_entries"),
        (format!("{GOOD}[times]\nlease_ms = 1\n"), "lease_ms"),
        (format!("{GOOD}[times]\nlong_lease_ms = 900\n"), "long_lease_ms"),
        (format!("{GOOD}[times]\nelection_ms = 200\n"), "election_ms"),
        (format!("{GOOD}[times]\nbeat_ms = 0\n"), "beat_ms"),
        (format!("{GOOD}[times]\ndrift_ppm = 900000\n"), "drift_ppm"),
        (format!("{GOOD}[times]\nleas_ms = 1000\n"), "leas_ms"),
    ] {
        let problem = Agreement::read(&change).expect_err(&change).to_string();
        assert!(problem.contains(key), "{key}: {problem}");
    }
}
