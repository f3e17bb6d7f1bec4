use super::*;

const MS: Micros = 1_000;
const LIMITS: ChannelLimits = ChannelLimits {
    max_channels: 4,
    max_per_node: 2,
    max_streams: 3,
    idle_timeout: 1_000 * MS,
    ping_after: 200 * MS,
    ping_timeout: 100 * MS,
    backoff: 50 * MS,
    max_backoff: 400 * MS,
};

fn opened(channels: &mut Channels<u8>, now: Micros, node: u8, max_streams: usize) -> ChannelId {
    let Grant::Open { id, .. } = channels.request_stream(now, &node) else {
        panic!("no channel was opened to node {node}")
    };
    channels.connected(now, id, max_streams);
    id
}

#[test]
fn a_second_channel_opens_when_the_first_is_full_and_then_calls_wait() {
    let mut channels = Channels::new(LIMITS);
    let Grant::Open { id: first, close: None } = channels.request_stream(0, &1) else { panic!() };
    assert_eq!(channels.request_stream(0, &1), Grant::Wait, "calls wait for a channel that is connecting");
    channels.connected(0, first, 100);
    (0..3).for_each(|_| assert_eq!(channels.request_stream(0, &1), Grant::Use(first)));
    let second = opened(&mut channels, 0, 1, 2);
    (0..2).for_each(|_| assert_eq!(channels.request_stream(0, &1), Grant::Use(second)));
    assert_eq!(channels.request_stream(0, &1), Grant::Wait, "the node allows fewer streams than the limit");
    channels.release_stream(5, first);
    channels.release_stream(5, first);
    assert_eq!(channels.request_stream(5, &1), Grant::Use(first), "the channel with the fewest streams");
    assert_eq!(channels.streams(), 4);
}

#[test]
fn a_node_that_lowers_its_stream_limit_gets_no_stream_until_enough_have_ended() {
    let mut channels = Channels::new(ChannelLimits { max_per_node: 1, ..LIMITS });
    let id = opened(&mut channels, 0, 1, 3);
    (0..3).for_each(|_| assert_eq!(channels.request_stream(0, &1), Grant::Use(id)));
    channels.set_max_streams(id, 1);
    for _ in 0..2 {
        assert_eq!(channels.request_stream(0, &1), Grant::Wait);
        channels.release_stream(0, id);
    }
    assert_eq!(channels.request_stream(0, &1), Grant::Wait, "one stream is open and one is allowed");
    channels.release_stream(0, id);
    assert_eq!(channels.request_stream(0, &1), Grant::Use(id));
    channels.set_max_streams(id, 0);
    channels.release_stream(0, id);
    assert_eq!(channels.request_stream(0, &1), Grant::Wait);
    channels.set_max_streams(id, 1);
    assert_eq!(channels.request_stream(0, &1), Grant::Use(id));
}

#[test]
fn at_the_limit_of_all_channels_only_the_longest_idle_one_is_closed() {
    let mut channels = Channels::new(LIMITS);
    let ids: Vec<ChannelId> = (1..=4).map(|node| opened(&mut channels, u64::from(node), node, 9)).collect();
    assert_eq!(channels.request_stream(10, &1), Grant::Use(ids[0]));
    let Grant::Open { id, close } = channels.request_stream(11, &5) else { panic!() };
    assert_eq!(close, Some(ids[1]));
    channels.connected(11, id, 9);
    for node in [3, 4, 5] {
        assert!(matches!(channels.request_stream(12, &node), Grant::Use(_)));
    }
    assert_eq!(
        channels.request_stream(13, &6),
        Grant::Refuse,
        "all channels are in use, and none is to this node"
    );
    assert_eq!((channels.len(), channels.streams()), (4, 4));
}

#[test]
fn after_a_goaway_open_streams_finish_and_new_ones_use_another_channel() {
    let mut channels = Channels::new(LIMITS);
    let first = opened(&mut channels, 0, 1, 9);
    assert_eq!(channels.request_stream(0, &1), Grant::Use(first));
    assert_eq!(channels.request_stream(0, &1), Grant::Use(first));
    assert!(!channels.goaway_received(first));
    let second = opened(&mut channels, 1, 1, 9);
    assert_eq!(channels.request_stream(1, &1), Grant::Use(second));
    assert!(!channels.release_stream(2, first));
    assert!(channels.release_stream(2, first), "a draining channel closes with its last stream");
    assert!(!channels.release_stream(2, first), "a channel closes once");
    channels.release_stream(3, second);
    assert!(channels.goaway_received(second), "a channel without streams closes at once");
    assert!(channels.is_empty());
}

#[test]
fn the_backoff_doubles_with_each_failed_connection_and_ends_with_a_success() {
    let (mut channels, mut now) = (Channels::new(LIMITS), 0);
    for backoff in [50, 100, 200, 400, 400] {
        let Grant::Open { id, .. } = channels.request_stream(now, &1) else {
            panic!("no connection was tried at {now} µs")
        };
        channels.connect_failed(now, id);
        assert_eq!(channels.request_stream(now + backoff * MS - 1, &1), Grant::Refuse);
        now += backoff * MS;
    }
    let id = opened(&mut channels, now, 1, 9);
    channels.connection_lost(id);
    let Grant::Open { id, .. } = channels.request_stream(now, &1) else {
        panic!("an established channel that closes causes no backoff")
    };
    channels.connect_failed(now, id);
    assert!(
        matches!(channels.request_stream(now + 50 * MS, &1), Grant::Open { .. }),
        "the backoff starts again from its first value"
    );
}

#[test]
fn a_channel_with_a_blocked_stream_takes_others_only_if_no_other_channel_can() {
    let mut channels = Channels::new(LIMITS);
    let first = opened(&mut channels, 0, 1, 9);
    assert_eq!(channels.request_stream(0, &1), Grant::Use(first));
    channels.stream_blocked(0, first);
    let Grant::Open { id: second, .. } = channels.request_stream(0, &1) else {
        panic!("no second channel was opened")
    };
    assert_eq!(channels.request_stream(0, &1), Grant::Wait, "the second channel is connecting");
    channels.connected(0, second, 9);
    (0..3).for_each(|_| assert_eq!(channels.request_stream(0, &1), Grant::Use(second)));
    assert_eq!(
        channels.request_stream(0, &1),
        Grant::Use(first),
        "no other channel has room or can be opened"
    );
    assert_eq!(channels.tick(99 * MS), []);
    assert_eq!(channels.tick(100 * MS), [ChannelAction::Stalled(first)]);
    assert_eq!(channels.tick(101 * MS), [], "a stall is reported once");
    channels.stream_unblocked(first);
    assert!(!channels.release_stream(102 * MS, second) && !channels.release_stream(102 * MS, second));
    assert_eq!(
        channels.request_stream(102 * MS, &1),
        Grant::Use(second),
        "the channel with the fewest streams, as before"
    );
    channels.stream_blocked(110 * MS, second);
    assert_eq!(channels.request_stream(110 * MS, &1), Grant::Use(first));
    assert!(
        !channels.tick(150 * MS).contains(&ChannelAction::Stalled(second)),
        "the time of a stall starts with its blocked stream"
    );
}

#[test]
fn idle_channels_close_and_silent_ones_are_pinged_and_then_broken() {
    let mut channels = Channels::new(LIMITS);
    let (idle, silent) = (opened(&mut channels, 0, 1, 9), opened(&mut channels, 0, 2, 9));
    assert_eq!(channels.request_stream(0, &2), Grant::Use(silent));
    assert_eq!(channels.tick(199 * MS), []);
    assert_eq!(channels.tick(200 * MS), [ChannelAction::Ping(silent)]);
    assert_eq!(channels.tick(250 * MS), [], "a silent channel is pinged once");
    channels.bytes_received(260 * MS, silent);
    assert_eq!(channels.tick(300 * MS), []);
    assert_eq!(channels.tick(460 * MS), [ChannelAction::Ping(silent)]);
    assert_eq!(channels.tick(560 * MS), [ChannelAction::Break(silent)]);
    assert_eq!(channels.tick(999 * MS), []);
    assert_eq!(channels.tick(1_000 * MS), [ChannelAction::Close(idle)]);
    assert!(channels.is_empty());
    assert!(!channels.release_stream(1_001 * MS, silent), "a stream of a channel that has been removed");
}
