//! Retention of recent peers while hundreds of machines are replaced.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_coordination::recent_peers::RecentPeers;

#[test]
fn the_newest_peers_are_kept_beyond_the_limit() {
    let mut recent_peers = RecentPeers::default();
    for machine in 0..400_u64 {
        assert!(recent_peers.record(machine * 100, &format!("10.0.{machine}.1:7000")), "machine {machine}");
    }
    let addresses: Vec<&str> = recent_peers.addresses().collect();
    assert!(addresses.contains(&"10.0.399.1:7000") && !addresses.contains(&"10.0.0.1:7000"));
    assert!(addresses.len() <= 64);
}

#[test]
fn a_peer_that_keeps_sending_is_kept() {
    let mut recent_peers = RecentPeers::default();
    recent_peers.record(0, "old");
    for machine in 0..400_u64 {
        recent_peers.record(machine * 100, &format!("10.0.{machine}.1:7000"));
        recent_peers.record(machine * 100, "old");
    }
    assert!(recent_peers.addresses().any(|address| address == "old"));
    recent_peers.expire(60_000);
    assert_eq!(
        recent_peers.addresses().collect::<Vec<_>>().len(),
        64,
        "the others were heard less than 30 s ago"
    );
    recent_peers.expire(90_000);
    assert_eq!(recent_peers.addresses().count(), 0);
}
