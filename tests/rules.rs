//! Tests of the policy alone: one for each of the seven rules and for each further condition for sending.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;
use common::*;
use pathbank::interface::*;
use pathbank::{Action, Event};

fn draining(id: NodeId, shard: u16) -> Event {
    let nodes = vec![NodeEntry { state: NodeState::Draining, ..node(id, shard) }];
    Event::Nodes { update: ListUpdate::Changes, nodes }
}

#[test]
fn each_request_gets_one_final_answer_and_no_attempt_after_it() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![]);
    host.arrive(1, |_| {});
    let timer = host.actions.iter().find_map(|a| match a {
        Action::Timer { after, token: 1 } => Some(*after),
        _ => None,
    });
    let after = timer.expect("a timer for the request");
    assert!(after <= 4 * S && after > 3 * S);
    host.now += after;
    host.event(Event::Timer { token: 1 });
    assert!(host.refused(1));
    host.event(Event::Nodes { update: ListUpdate::Full, nodes: vec![node(10, 1)] });
    host.event(Event::Timer { token: 1 });
    assert_eq!(host.sent(1), 0);
    assert_eq!(host.actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count(), 1);
}

#[test]
fn an_unsent_request_is_refused_early_with_a_retry_time() {
    let with_hint = Settings { max_retry_after: Some(S), ..settings(vec![class(Repeats::Unsafe)]) };
    let mut host = Host::new(with_hint, vec![node(10, 1)]);
    host.arrive(1, |r| r.shard = Some(2));
    host.arrive(2, |_| {});
    host.now += 700 * MS;
    for id in [1, 2] {
        host.event(Event::Timer { token: id });
    }
    assert!(host.actions.contains(&Action::Refuse { request: 1, retry_in: S }));
    assert_eq!(host.sent(2), 1);
    assert!(!host.refused(2) && !host.failed(2), "a node is serving it");
}

#[test]
fn an_attempt_in_flight_at_the_deadline_fails_when_it_times_out() {
    let mut host = Host::new(settings(vec![class(Repeats::Unsafe)]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    host.now += 4 * S;
    host.event(Event::Timer { token: 1 });
    assert!(!host.failed(1) && !host.refused(1), "the attempt has not timed out yet");
    host.outcome(1, 0, 10, AttemptResult::TimedOut);
    assert!(host.failed(1) && !host.refused(1));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let mut host = Host::new(settings(vec![class(Repeats::Unsafe)]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    host.outcome(1, 0, 10, AttemptResult::Reset);
    host.wait(3 * S);
    assert_eq!(host.sent(1), 1);
    assert!(host.failed(1) && !host.refused(1));
    host.arrive(2, |_| {});
    host.outcome(2, 0, 10, AttemptResult::Overloaded);
    host.wait(3 * S);
    assert_eq!(host.sent(2), 2, "an overloaded node did not run it");
}

#[test]
fn a_keyed_repeat_stays_within_its_scope_and_window() {
    for (scope, stays) in [(Scope::All, true), (Scope::Zone, false)] {
        let keyed = Class { scope, ..class(Repeats::Keyed) };
        let mut host = Host::new(settings(vec![keyed]), vec![node(10, 1)]);
        host.arrive(1, |r| r.shard = None);
        host.event(draining(10, 1));
        let elsewhere = NodeEntry { zone: 1, ..node(11, 2) };
        host.event(Event::Nodes { update: ListUpdate::Changes, nodes: vec![elsewhere] });
        host.outcome(1, 0, 10, AttemptResult::Error);
        assert_eq!(host.sends().contains(&(1, 11)), stays, "{scope:?}");
    }
    let mut host = Host::new(settings(vec![class(Repeats::Keyed)]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    host.now += 3 * S;
    host.outcome(1, 0, 10, AttemptResult::Error);
    assert_eq!(host.sent(1), 1, "the window has passed");
    assert!(host.failed(1) && !host.refused(1));
}

#[test]
fn a_draining_or_missing_node_gets_nothing_new() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1), node(11, 2)]);
    host.event(draining(10, 1));
    host.event(Event::Nodes { update: ListUpdate::Full, nodes: vec![node(12, 3)] });
    host.arrive(1, |_| {});
    host.arrive(2, |r| r.shard = Some(2));
    assert!(host.sends().is_empty());
    host.arrive(3, |r| r.shard = Some(3));
    assert_eq!(host.sends(), [(3, 12)]);
}

#[test]
fn a_node_in_slow_start_gets_at_most_this_hosts_part_of_its_capacity() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![]);
    let cold = NodeEntry { started: host.now, ..node(10, 1) };
    host.event(Event::Nodes { update: ListUpdate::Changes, nodes: vec![cold] });
    for id in 1..=20 {
        host.arrive(id, |_| {});
        if host.sent(id) > 0 {
            host.outcome(id, 0, 10, AttemptResult::Served);
        }
    }
    // The node serves 8 units within the window for two hosts: this host's part is two requests of two units.
    assert_eq!(host.sends().len(), 2);
}

/// Counts the requests sent after a silence: a node goes silent with request 1 in flight, then answers
/// `first_answered`. If that is request 2, the connection of request 1 failed before.
fn sends_after_silence(first_answered: RequestId) -> usize {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    host.wait(3 * S);
    host.arrive(2, |_| {});
    if first_answered == 2 {
        host.outcome(1, 0, 10, AttemptResult::ConnectFailed);
        host.event(Event::ClientLeft { request: 1 });
        host.wait(S);
    }
    host.outcome(first_answered, 0, 10, AttemptResult::Served);
    for id in 3..=20 {
        host.arrive(id, |_| {});
        if host.sent(id) > 0 {
            host.outcome(id, 0, 10, AttemptResult::Served);
        }
    }
    host.sends().iter().filter(|(id, _)| *id > 2).count()
}

#[test]
fn a_node_that_answers_a_new_request_after_a_long_silence_begins_slow_start() {
    assert!(sends_after_silence(2) <= 2);
}

#[test]
fn a_node_that_answers_an_old_request_does_not_begin_slow_start() {
    assert_eq!(sends_after_silence(1), 18);
}

#[test]
fn lost_requests_hold_no_tokens_and_are_sent_again_once() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    for id in 2..=10 {
        host.now += 40 * MS;
        host.arrive(id, |_| {});
        host.outcome(id, 0, 10, AttemptResult::Served);
    }
    let cancelled = |host: &Host| host.actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    host.arrive(11, |_| {});
    host.arrive(12, |_| {});
    host.arrive(13, |_| {});
    host.wait(10 * MS);
    assert_eq!(cancelled(&host), 1);
    host.outcome(1, 0, 10, AttemptResult::Cancelled);
    host.outcome(11, 0, 10, AttemptResult::Served);
    host.outcome(12, 0, 10, AttemptResult::Served);
    host.wait(10 * MS);
    assert_eq!(host.sent(1), 2);
    assert!(!host.actions.iter().any(|a| matches!(a, Action::Log(_))), "the node is not unresponsive");
}

#[test]
fn a_host_that_was_stalled_does_not_mark_its_nodes_unresponsive() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    for id in 1..=9 {
        host.arrive(id, |_| {});
    }
    host.now += 3 * S;
    host.arrive(10, |_| {});
    assert!(!host.actions.iter().any(|a| matches!(a, Action::Log(_))), "this host itself was stalled");
}

#[test]
fn requests_of_a_key_keep_their_order_and_wait_after_an_attempt_that_may_still_run() {
    let ordered = Class { in_order: true, ..class(Repeats::Safe) };
    let mut host = Host::new(Settings { key_hold: 500 * MS, ..settings(vec![ordered]) }, vec![node(10, 1)]);
    for id in 1..=3 {
        host.arrive(id, |r| r.key = 9);
    }
    assert_eq!(host.sends(), [(1, 10)]);
    host.outcome(1, 0, 10, AttemptResult::Served);
    assert_eq!(host.sends(), [(1, 10), (2, 10)]);
    host.event(Event::ClientLeft { request: 2 });
    assert_eq!(host.sent(3), 0, "an attempt of the previous request is in flight");
    host.outcome(2, 0, 10, AttemptResult::Cancelled);
    host.wait(400 * MS);
    assert_eq!(host.sent(3), 0, "the key is blocked");
    host.wait(200 * MS);
    assert_eq!(host.sent(3), 1);
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = Some(AttemptBudget { floor: 1.0, ratio: 0.5, window: 10 * S });
    let safe = settings(vec![class(Repeats::Safe)]);
    let mut host = Host::new(Settings { budget, ..safe }, vec![node(10, 1)]);
    for id in 1..=2 {
        host.arrive(id, |_| {});
    }
    for id in 1..=2 {
        host.outcome(id, 0, 10, AttemptResult::Error);
        host.outcome(id, 1, 10, AttemptResult::Error);
    }
    // Two accepted requests allow 1 + 0.5 x 2 retries.
    assert_eq!(host.sends().len(), 2 + 2);
}

#[test]
fn a_host_keeps_to_its_part_of_a_rate_limit_and_starts_with_an_empty_bucket() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    let start = host.now;
    host.arrive(1, |r| (r.volume, r.plan) = (5, 1));
    assert!(host.sends().is_empty(), "use before the start is unknown");
    for id in 2.. {
        if host.now >= start + 3 * S {
            break;
        }
        host.wait(10 * MS);
        host.arrive(id, |r| (r.volume, r.plan) = (5, 1));
        for (id, node) in host.sends() {
            host.outcome(id, 0, node, AttemptResult::Served);
        }
        // Half of 10 units per second, because two hosts share the volume.
        let units = 2.0 * host.sends().len() as f64;
        assert!(units <= 5.0 * (host.now - start) as f64 / S as f64 + 1e-6);
    }
    assert!(host.sends().len() >= 7);
}

/// A request is charged to the rate limit once it is written completely. An attempt whose connection failed
/// was not written: its earlier charge must not be used in addition to the units that are available when the
/// request is sent again.
#[test]
fn a_rate_limit_holds_while_connections_fail() {
    for (limit, nodes, outage) in
        [(10.0, 1, S), (40.0, 1, S), (40.0, 4, S), (40.0, 4, 3 * S), (100.0, 2, 2 * S)]
    {
        let mut limited = settings(vec![Class { deadline: 5 * S, target: S, ..class(Repeats::Safe) }]);
        (limited.hosts, limited.plans[1].limit, limited.plans[1].limit_burst) = (1, limit, 16.0);
        let list = (0..nodes).map(|n| node(10 + n, n as u16)).collect();
        let mut host = Host::new(limited, list);
        let (start, mut id, mut seen) = (host.now, 0, 0);
        // The operators' own token bucket: full at first.
        let (mut bucket, mut at, mut lowest) = (16.0_f64, start, 16.0_f64);
        let mut due: Vec<(Micros, RequestId, u32, NodeId, AttemptResult)> = Vec::new();
        let mut attempts = std::collections::BTreeMap::<RequestId, u32>::new();
        let mut counted = std::collections::BTreeSet::new();
        while host.now < start + 12 * S {
            host.wait(5 * MS);
            // Three times the rate limit arrives.
            if ((host.now - start) / (5 * MS)).is_multiple_of(4) {
                for _ in 0..(limit * 3.0 * 0.02 / 2.0).ceil() as u64 {
                    id += 1;
                    host.arrive(id, |r| {
                        (r.volume, r.plan, r.volume_hosts, r.time_left) = (1, 1, 1.0, 5 * S);
                        r.shard = Some((id % u64::from(nodes)) as u16);
                    });
                }
            }
            let (over, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, ..)| *at <= host.now);
            due = later;
            for (_, id, attempt, node, result) in over {
                host.outcome(id, attempt, node, result);
            }
            let sends = host.sends()[seen..].to_vec();
            seen += sends.len();
            for (id, node) in sends {
                let attempt = attempts.entry(id).or_default();
                // After two seconds, all connections fail during the outage.
                let outage_now = (start + 2 * S..start + 2 * S + outage).contains(&host.now);
                let (after, result) = if outage_now {
                    (250 * MS, AttemptResult::ConnectFailed)
                } else {
                    (20 * MS, AttemptResult::Served)
                };
                due.push((host.now + after, id, *attempt, node, result));
                *attempt += 1;
                if !outage_now && counted.insert(id) {
                    bucket = (bucket + limit * (host.now - at) as f64 / S as f64).min(16.0) - 2.0;
                    (at, lowest) = (host.now, lowest.min(bucket));
                }
            }
        }
        // The rule's tolerance: one request of the largest size and the units that the limit allows in 150
        // ms.
        let slack = 4.0 + 0.15 * limit;
        assert!(lowest >= -slack, "{limit} {nodes} {outage}: {lowest} of -{slack}");
        assert!(counted.len() >= 50, "{limit} {nodes} {outage}: only {} were served", counted.len());
    }
}

#[test]
fn a_host_subscribes_at_once_and_again_after_a_failure() {
    let asks = Settings { must_subscribe: true, ..settings(vec![class(Repeats::Safe)]) };
    let mut host = Host::new(asks, vec![node(10, 1)]);
    assert_eq!(host.actions, [Action::Subscribe]);
    host.event(Event::Nodes { update: ListUpdate::Failed, nodes: vec![] });
    let Some(Action::Timer { after, token }) = host.actions.last().cloned() else { panic!("no timer") };
    assert!(after > 0 && after <= 2 * S);
    host.event(Event::Timer { token });
    assert_eq!(host.actions.last(), Some(&Action::Subscribe));
}

#[test]
fn unexpected_but_valid_events_have_no_effect() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    host.arrive(1, |r| (r.units, r.volume_hosts) = (0.0, f64::NAN));
    host.outcome(1, 0, 10, AttemptResult::Served);
    host.actions.clear();
    host.outcome(1, 0, 10, AttemptResult::TimedOut);
    host.outcome(99, 3, 77, AttemptResult::Served);
    host.event(Event::ClientLeft { request: 1 });
    host.event(Event::Timer { token: 1 });
    host.event(Event::AnswerBegan { request: 99, attempt: 0 });
    assert!(host.actions.is_empty(), "{:?}", host.actions);
}

#[test]
fn a_node_that_refuses_connections_is_ejected_for_a_while() {
    let mut host = Host::new(settings(vec![class(Repeats::Unsafe)]), vec![node(10, 1), node(11, 2)]);
    host.arrive(1, |_| {});
    host.outcome(1, 0, 10, AttemptResult::ConnectFailed);
    host.wait(10 * MS);
    for id in 2..=30 {
        host.arrive(id, |r| r.shard = None);
    }
    assert!(host.sends()[1..].iter().all(|(_, node)| *node == 11), "{:?}", host.sends());
    host.wait(S);
    assert_eq!(host.sent(1), 2, "it is tried again later");
    assert!(host.sends()[1..].iter().all(|(id, node)| *id == 1 || *node == 11));
}

#[test]
fn a_stream_that_has_begun_has_no_deadline_and_is_not_sent_again() {
    let streamed = Class { streamed: true, ..class(Repeats::Safe) };
    let mut host = Host::new(settings(vec![streamed]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    host.event(Event::AnswerBegan { request: 1, attempt: 0 });
    host.now += 5 * S;
    host.event(Event::Timer { token: 1 });
    assert!(!host.refused(1) && !host.failed(1));
    let broken = Outcome {
        request: 1,
        attempt: 0,
        node: 10,
        result: AttemptResult::Reset,
        latency: 5 * S,
        over: true,
        used: None,
        load: Load::default(),
    };
    host.event(Event::Outcome(broken));
    host.wait(S);
    assert_eq!(host.sends().len(), 1);
}
