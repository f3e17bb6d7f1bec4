//! The example frames of the protocol's documentation, and the errors for malformed input.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::config::settings::settings;
use pathbank::interface::*;
use pathbank::wire::{Decoder, Record, Reply};
use pathbank::{Action, Event};

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
}

fn batch(records: &str) -> Vec<u8> {
    let mut frame = vec![0; 4];
    frame.extend(bytes("0000000000805c5a"));
    frame.extend(bytes(records));
    let length = frame.len() as u32;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    frame
}

#[test]
fn an_empty_batch_is_decoded_and_gets_an_empty_reply() {
    let frame = bytes("0000000c 0000000000805c5a");
    assert_eq!(Decoder::default().batch(&frame).unwrap(), (0x805c5a, vec![]));
    assert_eq!(Reply::default().finish(), bytes("00000008 00000000"));
}

#[test]
fn events_of_two_instances_are_decoded_and_their_actions_encoded() {
    let frame = bytes(
        "00000053 0000000000805c5a 1b 0003
         12 000d41b15d3a91c4 40400000 2b8e6401d9f37c10 91f03b7c55d20a64 01 00 40000000 0003a980 00000000 00000000
         16 000000000000004d 1b 0005 15 000bff440e6f2b19",
    );
    let (_, records) = Decoder::default().batch(&frame).unwrap();
    let request = Request {
        id: 0xd41b15d3a91c4,
        volume: 0x2b8e6401d9f37c10,
        key: 0x91f03b7c55d20a64,
        class: 0,
        plan: 0,
        units: 2.0,
        volume_hosts: 3.0,
        time_left: 240_000,
        repeat: false,
        shard: Some(0),
    };
    let expected = [
        Record::Event { instance: 3, event: Event::Request(request) },
        Record::Event { instance: 3, event: Event::Timer { token: 77 } },
        Record::Event { instance: 5, event: Event::ClientLeft { request: 0xbff440e6f2b19 } },
    ];
    assert!(records.into_iter().map(|(_, record)| record).eq(expected));

    let mut reply = Reply::default();
    let send = Action::Send { request: 0xd41b15d3a91c4, node: 0x3124a07, time_out: 80_000, write_by: 0 };
    reply.action(3, &send);
    reply.action(3, &Action::Timer { after: 500_000, token: 77 });
    reply.action(5, &Action::Log("two servers known".into()));
    let expected = "00000040 00000005 1c 0003 10 000d41b15d3a91c4 03124a07 00013880
         14 0007a120 000000000000004d 1c 0005 18 0011 74776f2073657276657273206b6e6f776e";
    assert_eq!(reply.finish(), bytes(expected));
}

#[test]
fn the_other_example_events_are_decoded() {
    let records = "1b 0003
        1a 0000 00000002
        03124a07 0000 00 0000 01 3f800000 0000000000000000
        2c9011f2 0001 00 0000 01 3fc00000 00000000005d1420
        11 0000000000000029 0000 01
        13 000d41b15d3a91c4 03124a07 00 00002422
        14 000d41b15d3a91c4 00004844 0003 00 01 0056 00 03124a07 02 3f1eb85240400000
        17 2c9011f2 00 00000578 02 3f1eb85240400000
        18 0002 0004 68692037
        19";
    let (_, records) = Decoder::default().batch(&batch(records)).unwrap();
    let ready = |node, zone, started| NodeEntry { node, zone, shard: 0, state: NodeState::Ready, started };
    let nodes = vec![ready(0x3124a07, 0, 0), ready(0x2c9011f2, 1, 0x5d1420)];
    let outcome = Outcome {
        request: 0xd41b15d3a91c4,
        attempt: 0,
        node: 0x3124a07,
        result: AttemptResult::Served,
        latency: 0x4844,
        over: true,
        used: Some(0.85),
        load: Load::default(),
    };
    let events = [
        Event::Nodes { update: ListUpdate::Cached, nodes },
        Event::AnswerBegan { request: 0xd41b15d3a91c4, attempt: 0 },
        Event::Outcome(outcome),
        Event::Probed {
            node: 0x2c9011f2,
            result: AttemptResult::Served,
            latency: 0x578,
            load: Load::default(),
        },
        Event::Peer { from: 2, bytes: b"hi 7".to_vec() },
    ];
    let mut expected: Vec<_> = events.into_iter().map(|event| Record::Event { instance: 3, event }).collect();
    expected.push(Record::Stop { instance: 3 });
    assert!(records.into_iter().map(|(_, record)| record).eq(expected));
}

#[test]
fn the_other_example_actions_are_encoded() {
    let id = 0xd41b15d3a91c4;
    let cases = [
        (Action::Cancel { request: id, attempt: 0 }, "13 000d41b15d3a91c4 00"),
        (Action::Refuse { request: 0xbff440e6f2b19, retry_in: 250_000 }, "11 000bff440e6f2b19 0003d090"),
        (Action::Fail { request: id }, "12 000d41b15d3a91c4"),
        (Action::Probe { node: 0x2c9011f2 }, "15 2c9011f2"),
        (Action::SendToPeer { peer: None, bytes: b"hi 7".to_vec() }, "17 ffff 0004 68692037"),
        (Action::Subscribe, "1a 01"),
    ];
    for (action, expected) in cases {
        let mut reply = Reply::default();
        reply.action(3, &action);
        assert_eq!(reply.finish()[8..], bytes(&format!("1c 0003 {expected}")), "{action:?}");
    }
}

#[test]
fn errors_in_malformed_frames_give_the_offset() {
    let fails = |frame: &[u8]| Decoder::default().batch(frame).unwrap_err();
    let unknown = fails(&batch("1b 0003 7f"));
    assert_eq!((unknown.at, unknown.message.as_str()), (15, "unknown event code 127"));
    assert!(fails(&batch("1b 0003 11 0000000000000029 0004 01")).message.contains("list 4"));
    assert!(fails(&batch("1b 0003 15 00")).message.contains("8 bytes wanted"));
    assert!(fails(&bytes("0000000d 0000000000805c5a")).message.contains("length 13"));
    assert_eq!(fails(&batch("16 000000000000004d")).at, 12);
}

#[test]
fn unknown_settings_are_skipped_and_missing_ones_are_named() {
    let text = "balancers=3\nposition=1\nmembership_mode=subscribe\npolicy_limits.send_cap=4\nnew.key=7\n\
        profiles.count=1\nprofiles.0.target=500000\nprofiles.0.hard_limit=4000000\nprofiles.0.worth=2.0\n\
        profiles.0.idempotency=deduplicated\nprofiles.0.dedup_scope=cell\nprofiles.0.window=10000000\n";
    let read = settings(text).unwrap();
    assert_eq!((read.hosts, read.position, read.must_subscribe), (3, 1, true));
    assert_eq!((read.classes[0].repeats, read.classes[0].scope), (Repeats::Keyed, Scope::Shard));
    assert_eq!((read.budget, read.plans.len(), read.slow_start_units), (None, 0, 0.0));
    let missing = settings(&text.replace("balancers=3\n", "")).unwrap_err();
    assert_eq!(missing.to_string(), "settings: balancers is missing");
    let unreadable = settings(&text.replace("=4000000", "=soon")).unwrap_err();
    assert!(unreadable.0.contains("profiles.0.hard_limit"));
}

/// Returns the load that an instance decodes from `report` after it was started with `fields`.
fn load_after(fields: &str, report: &str) -> Load {
    let text = format!("report.fields={fields}");
    let hex: String = text.bytes().map(|b| format!("{b:02x}")).collect();
    let start = format!("1b 0003 10 0000000000000001 {:08x} {hex}", text.len());
    let probed = format!("17 2c9011f2 00 00000578 {report}");
    let (_, records) = Decoder::default().batch(&batch(&format!("{start} {probed}"))).unwrap();
    match records.into_iter().last() {
        Some((_, Record::Event { event: Event::Probed { load, .. }, .. })) => load,
        other => panic!("expected the end of a probe, got {other:?}"),
    }
}

#[test]
fn a_load_report_is_read_by_its_announced_fields_or_ignored() {
    let queue = |fields, report| load_after(fields, report).queue;
    assert_eq!(queue("utilization,backlog", "02 3f1eb852 40400000"), Some(3.0));
    assert_eq!(queue("backlog", "01 40400000"), Some(3.0));
    assert_eq!(queue("utilization", "01 40400000"), None, "no queue among the fields");
    assert_eq!(queue("utilization,backlog", "01 40400000"), None, "shorter than announced");
    assert_eq!(queue("backlog", "00"), None, "absent");
    for bad in ["7fc00000", "7f800000", "ff800000", "c0400000"] {
        let report = format!("01 {bad}");
        assert_eq!(load_after("backlog", &report).queue, None, "NaN, infinite or negative: {bad}");
    }
}
