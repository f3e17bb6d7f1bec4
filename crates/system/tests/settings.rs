//! The settings file: how it is read, and the errors of invalid files.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_system::settings::Settings;
use test_case::test_case;

const FILE: &str = "node_name=core-1\nzone=z1\nip=10.0.0.1\nlisteners_map.control_plane=10.0.0.1:8407\n\
    internal_port_range=7660,7675\nseed_nodes=10.0.0.1:8407, 10.0.0.2:8407\nbootstrap=true\nnever.heard=of it\n\
    bounds.grace_s=8\nbounds.report_window_s=2.5\ncloud_api.duties=\n# a comment\n\n";

#[test]
fn a_file_is_read_and_unknown_keys_are_ignored() {
    let settings = Settings::parse(FILE).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.internal_port, 7_660);
    assert_eq!(settings.own_internal_address().to_string(), "10.0.0.1:7660");
    assert_eq!((settings.bounds.grace_ms, settings.bounds.report_window_ms), (8_000, 2_500));
    assert!(settings.cloud_api.duties.is_empty());
    assert!(settings.bootstrap && settings.ingress.is_none());
}

#[test_case("zone=z1", "", "zone is missing"; "a missing key")]
#[test_case("ip=10.0.0.1", "ip=nowhere", "ip: invalid value: nowhere"; "an invalid address")]
#[test_case("10.0.0.2:8407", "10.0.0.2", "seed_nodes: invalid value: 10.0.0.2"; "a seed without a port")]
#[test_case("bootstrap=true", "bootstrap=yes", "bootstrap: invalid value: yes"; "a value that is no boolean")]
#[test_case("zone=z1", "zone", "not a key=value line: zone"; "a line without a value")]
fn an_error_names_the_key_or_line(good: &str, bad: &str, message: &str) {
    let error = Settings::parse(&FILE.replace(good, bad)).unwrap_err();
    assert_eq!(error.to_string(), message);
}
