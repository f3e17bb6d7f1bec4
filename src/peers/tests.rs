use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn only_datagrams_of_other_hosts_within_the_rate_limit_are_accepted() {
    let now = Instant::now();
    let mut peers = Peers::new(vec![at(1), at(2), at(3)], None, 1, now);
    for (from, length, heard) in [
        (at(1), 1, Ok(0)),
        (at(3), 256, Ok(2)),
        (at(2), 8, Err(DropReason::UnknownSender)),
        (at(9), 8, Err(DropReason::UnknownSender)),
        (at(1), 0, Err(DropReason::Empty)),
        (at(1), 257, Err(DropReason::TooLong)),
    ] {
        assert_eq!(peers.accept(now, from, length), heard, "{from} {length}");
    }
    let heard = (0..200).filter(|_| peers.accept(now, at(1), 8).is_ok()).count();
    assert_eq!(heard, BURST as usize - 1, "a flood is limited to the burst, one of which was used");
    assert_eq!(peers.accept(now, at(3), 8), Ok(2), "other hosts are not limited by it");
    assert_eq!(peers.accept(now + Duration::from_millis(11), at(1), 8), Ok(0));
    assert_eq!(peers.counts, Counts { sent: 0, heard: 53, strangers: 2, malformed: 2, too_many: 151 });
}

#[test]
fn a_message_goes_to_its_targets_and_never_to_this_host() {
    let now = Instant::now();
    for (to, all, targets) in [
        (Some(0), None, Ok(vec![at(1)])),
        (Some(1), None, Err(DropReason::NoRecipient)),
        (Some(7), None, Err(DropReason::NoRecipient)),
        (None, None, Ok(vec![at(1), at(3)])),
        (None, Some(at(8)), Ok(vec![at(8)])),
    ] {
        let mut peers = Peers::new(vec![at(1), at(2), at(3)], all, 1, now);
        assert_eq!(peers.targets(now, to, 8), targets, "{to:?} {all:?}");
    }
    let mut peers = Peers::new(vec![at(1), at(2)], None, 0, now);
    assert_eq!(peers.targets(now, None, 257), Err(DropReason::TooLong));
    assert_eq!((0..200).filter(|_| peers.targets(now, None, 8).is_ok()).count(), BURST as usize);
    assert_eq!(
        Peers::new(vec![at(1)], None, 0, now).targets(now, None, 8),
        Err(DropReason::NoRecipient),
        "no other host"
    );
}
