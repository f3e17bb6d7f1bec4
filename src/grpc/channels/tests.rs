use super::*;

const MS: Micros = 1_000;
const LIMITS: Limits = Limits {
    most: 4,
    per_node: 2,
    streams: 3,
    idle: 1_000 * MS,
    keepalive: 200 * MS,
    patience: 100 * MS,
    backoff: 50 * MS,
    most_backoff: 400 * MS,
};

fn opened(channels: &mut Channels<u8>, now: Micros, node: u8, allowed: usize) -> ChannelId {
    let Grant::Open { id, .. } = channels.want(now, &node) else { panic!("no channel for {node}") };
    channels.connected(now, id, allowed);
    id
}

#[test]
fn streams_fill_one_channel_then_another_opens_and_then_calls_wait() {
    let mut channels = Channels::new(LIMITS);
    let Grant::Open { id: first, close: None } = channels.want(0, &1) else { panic!() };
    assert_eq!(channels.want(0, &1), Grant::Wait, "one that connects is waited for");
    channels.connected(0, first, 100);
    (0..3).for_each(|_| assert_eq!(channels.want(0, &1), Grant::Use(first)));
    let second = opened(&mut channels, 0, 1, 2);
    (0..2).for_each(|_| assert_eq!(channels.want(0, &1), Grant::Use(second)));
    assert_eq!(channels.want(0, &1), Grant::Wait, "the peer's bound is less than ours");
    channels.released(5, first);
    channels.released(5, first);
    assert_eq!(channels.want(5, &1), Grant::Use(first), "the one with the fewest streams");
    assert_eq!(channels.streams(), 4);
}

#[test]
fn a_peer_that_lowers_its_bound_gets_no_more_until_enough_have_ended() {
    let mut channels = Channels::new(Limits { per_node: 1, ..LIMITS });
    let id = opened(&mut channels, 0, 1, 3);
    (0..3).for_each(|_| assert_eq!(channels.want(0, &1), Grant::Use(id)));
    channels.allowed(id, 1);
    for _ in 0..2 {
        assert_eq!(channels.want(0, &1), Grant::Wait);
        channels.released(0, id);
    }
    assert_eq!(channels.want(0, &1), Grant::Wait, "one runs, one is allowed");
    channels.released(0, id);
    assert_eq!(channels.want(0, &1), Grant::Use(id));
    channels.allowed(id, 0);
    channels.released(0, id);
    assert_eq!(channels.want(0, &1), Grant::Wait);
    channels.allowed(id, 1);
    assert_eq!(channels.want(0, &1), Grant::Use(id));
}

#[test]
fn the_bound_on_all_channels_takes_the_longest_idle_and_never_one_in_use() {
    let mut channels = Channels::new(LIMITS);
    let ids: Vec<ChannelId> = (1..=4).map(|node| opened(&mut channels, u64::from(node), node, 9)).collect();
    assert_eq!(channels.want(10, &1), Grant::Use(ids[0]));
    let Grant::Open { id, close } = channels.want(11, &5) else { panic!() };
    assert_eq!(close, Some(ids[1]));
    channels.connected(11, id, 9);
    for node in [3, 4, 5] {
        assert!(matches!(channels.want(12, &node), Grant::Use(_)));
    }
    assert_eq!(channels.want(13, &6), Grant::Refuse, "all are in use, and none is at that node");
    assert_eq!((channels.len(), channels.streams()), (4, 4));
}

#[test]
fn a_goaway_lets_streams_finish_and_new_ones_go_elsewhere() {
    let mut channels = Channels::new(LIMITS);
    let first = opened(&mut channels, 0, 1, 9);
    assert_eq!(channels.want(0, &1), Grant::Use(first));
    assert_eq!(channels.want(0, &1), Grant::Use(first));
    assert!(!channels.goaway(first));
    let second = opened(&mut channels, 1, 1, 9);
    assert_eq!(channels.want(1, &1), Grant::Use(second));
    assert!(!channels.released(2, first));
    assert!(channels.released(2, first), "with its last stream it goes");
    assert!(!channels.released(2, first), "once");
    channels.released(3, second);
    assert!(channels.goaway(second), "without streams at once");
    assert!(channels.is_empty());
}

#[test]
fn failed_connections_are_tried_again_after_longer_and_longer() {
    let (mut channels, mut now) = (Channels::new(LIMITS), 0);
    for wait in [50, 100, 200, 400, 400] {
        let Grant::Open { id, .. } = channels.want(now, &1) else { panic!("not tried at {now}") };
        channels.failed(now, id);
        assert_eq!(channels.want(now + wait * MS - 1, &1), Grant::Refuse);
        now += wait * MS;
    }
    let id = opened(&mut channels, now, 1, 9);
    channels.broke(id);
    let Grant::Open { id, .. } = channels.want(now, &1) else { panic!("one that had come up is no failure") };
    channels.failed(now, id);
    assert!(matches!(channels.want(now + 50 * MS, &1), Grant::Open { .. }), "and the wait begins anew");
}

#[test]
fn a_channel_on_which_a_stream_waits_takes_others_only_where_no_other_can() {
    let mut channels = Channels::new(LIMITS);
    let first = opened(&mut channels, 0, 1, 9);
    assert_eq!(channels.want(0, &1), Grant::Use(first));
    channels.blocked(0, first);
    let Grant::Open { id: second, .. } = channels.want(0, &1) else { panic!("no other channel") };
    assert_eq!(channels.want(0, &1), Grant::Wait, "the other one is on its way");
    channels.connected(0, second, 9);
    (0..3).for_each(|_| assert_eq!(channels.want(0, &1), Grant::Use(second)));
    assert_eq!(channels.want(0, &1), Grant::Use(first), "no other can be had");
    assert_eq!(channels.tick(99 * MS), []);
    assert_eq!(channels.tick(100 * MS), [Duty::Stalled(first)]);
    assert_eq!(channels.tick(101 * MS), [], "told once");
    channels.unblocked(first);
    assert!(!channels.released(102 * MS, second) && !channels.released(102 * MS, second));
    assert_eq!(channels.want(102 * MS, &1), Grant::Use(second), "the fewest streams again");
    channels.blocked(110 * MS, second);
    assert_eq!(channels.want(110 * MS, &1), Grant::Use(first));
    assert!(!channels.tick(150 * MS).contains(&Duty::Stalled(second)), "its time begins anew");
}

#[test]
fn idle_channels_go_and_silent_ones_are_asked_and_then_given_up() {
    let mut channels = Channels::new(LIMITS);
    let (idle, silent) = (opened(&mut channels, 0, 1, 9), opened(&mut channels, 0, 2, 9));
    assert_eq!(channels.want(0, &2), Grant::Use(silent));
    assert_eq!(channels.tick(199 * MS), []);
    assert_eq!(channels.tick(200 * MS), [Duty::Ping(silent)]);
    assert_eq!(channels.tick(250 * MS), [], "asked once");
    channels.heard(260 * MS, silent);
    assert_eq!(channels.tick(300 * MS), []);
    assert_eq!(channels.tick(460 * MS), [Duty::Ping(silent)]);
    assert_eq!(channels.tick(560 * MS), [Duty::Break(silent)]);
    assert_eq!(channels.tick(999 * MS), []);
    assert_eq!(channels.tick(1_000 * MS), [Duty::Close(idle)]);
    assert!(channels.is_empty());
    assert!(!channels.released(1_001 * MS, silent), "a stream of a channel that is gone");
}
