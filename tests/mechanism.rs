//! Tests of MQFQ-Sticky dispatch, on the policy alone.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;
use common::*;
use pathbank::Event;
use pathbank::interface::*;

/// A host with one class and one node.
fn one_node_host() -> Host {
    Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)])
}

/// Fills the node's tokens with requests of volume 1, from id 1000 on, and returns their number.
fn fill(host: &mut Host) -> u64 {
    let mut id = 1000;
    loop {
        host.arrive(id, |r| r.volume = 1);
        if host.sent(id) == 0 {
            host.event(Event::ClientLeft { request: id });
            return id - 1000;
        }
        id += 1;
    }
}

#[test]
fn a_host_has_few_requests_in_flight_at_a_node() {
    let mut host = one_node_host();
    for id in 1..=30 {
        host.arrive(id, |_| {});
    }
    assert!((1..=4).contains(&host.sends().len()));
}

#[test]
fn a_free_token_goes_to_the_oldest_request_of_the_longest_queue() {
    let mut host = one_node_host();
    fill(&mut host);
    host.arrive(1, |r| r.volume = 2);
    for id in 2..=4 {
        host.arrive(id, |r| r.volume = 3);
    }
    host.outcome(1000, 0, 10, AttemptResult::Served);
    assert_eq!(host.sends().last(), Some(&(2, 10)));
}

#[test]
fn a_throttled_flow_yields_but_still_uses_otherwise_free_tokens() {
    let mut host = one_node_host();
    let mut served = 0;
    for id in 1..=60 {
        host.arrive(id, |r| r.volume = 1);
    }
    host.arrive(100, |r| r.volume = 2);
    while host.sent(100) == 0 {
        let (id, node) = host.sends()[served];
        host.outcome(id, 0, node, AttemptResult::Served);
        served += 1;
        assert!(served < 20, "the long queue is never throttled");
    }
    // Only the throttled flow is left: its requests are still sent.
    while served < 30 {
        let (id, node) = host.sends()[served];
        host.outcome(id, 0, node, AttemptResult::Served);
        served += 1;
    }
}

#[test]
fn backlogged_flows_are_served_by_weight() {
    let mut unequal = settings(vec![class(Repeats::Safe)]);
    unequal.plans[1].limit = 0.0;
    unequal.plans[0].reserve = 0.0;
    let mut host = Host::new(unequal, vec![node(10, 1)]);
    for id in 1..=240 {
        host.arrive(id, |r| (r.volume, r.plan) = (id % 2, (id % 2) as usize));
    }
    for turn in 0..120 {
        let (id, node) = host.sends()[turn];
        host.outcome(id, 0, node, AttemptResult::Served);
    }
    let heavy = host.sends().iter().take(120).filter(|(id, _)| id % 2 == 1).count();
    // Two thirds of 120 requests, give or take T (8 units, 4 requests at weight 1, 8 at weight 2).
    assert!((68..=92).contains(&heavy), "{heavy}");
}

#[test]
fn a_flow_that_was_idle_gets_no_service_for_the_time_it_missed() {
    let patient = Class { target: 40 * S, ..class(Repeats::Safe) };
    let mut host = Host::new(settings(vec![patient]), vec![node(10, 1)]);
    host.arrive(1, |r| r.volume = 2);
    host.outcome(1, 0, 10, AttemptResult::Served);
    for id in 10..=120 {
        host.arrive(id, |r| (r.volume, r.time_left) = (1, 40 * S));
    }
    let mut served = 1;
    host.now += S / 10;
    while served < 30 {
        let (id, node) = host.sends()[served];
        host.outcome(id, 0, node, AttemptResult::Served);
        served += 1;
    }
    host.now += S;
    for id in 200..=270 {
        host.arrive(id, |r| (r.volume, r.time_left) = (2, 40 * S));
    }
    let before = host.sends().len();
    while host.sends().len() < before + 24 {
        let (id, node) = host.sends()[served];
        host.outcome(id, 0, node, AttemptResult::Served);
        served += 1;
    }
    let back = host.sends()[before..].iter().filter(|(id, _)| *id >= 200).count();
    assert!((6..=18).contains(&back), "{back} of 24: an even part, give or take T");
}

#[test]
fn new_objects_go_where_most_tokens_are_free() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1), node(11, 2)]);
    host.arrive(1, |_| {});
    host.arrive(2, |r| r.shard = None);
    assert_eq!(host.sends(), [(1, 10), (2, 11)]);
}

#[test]
fn late_work_takes_a_token_of_an_idle_node_once_its_last_slow_answer_is_old() {
    let mut host = one_node_host();
    let served = |host: &mut Host, id, latency| {
        let result = AttemptResult::Served;
        let (used, load) = (None, Load::default());
        let done = Outcome { request: id, attempt: 0, node: 10, result, latency, over: true, used, load };
        host.event(Event::Outcome(done));
    };
    host.arrive(5, |_| {});
    for (id, latency) in [(1, 10 * MS), (2, 200 * MS), (3, 200 * MS)] {
        host.arrive(id, |_| {});
        served(&mut host, id, latency);
    }
    host.now += 6 * S / 5;
    host.arrive(6, |_| {});
    served(&mut host, 6, 200 * MS);
    host.outcome(5, 0, 10, AttemptResult::Error);
    assert_eq!(host.sent(5), 1, "a late retry does not go to a node that has just answered slowly");
    host.wait(S / 2);
    assert_eq!(host.sent(5), 1, "and for the shortest target after that");
    host.wait(S / 2);
    assert_eq!(host.sent(5), 2, "but it is sent before its client's time is up");
}

#[test]
fn work_in_time_is_served_before_late_work() {
    let mut host = one_node_host();
    let filled = fill(&mut host);
    for id in 1..=9 {
        host.arrive(id, |r| r.volume = 3);
    }
    host.wait(3 * S / 2);
    host.arrive(20, |r| r.volume = 4);
    for id in 0..filled {
        host.outcome(1000 + id, 0, 10, AttemptResult::Served);
    }
    let after = host.sends()[filled as usize].0;
    assert_eq!(after, 20, "the late queue is longer, but worth a hundredth");
}

#[test]
fn with_equal_tokens_new_objects_go_to_the_node_with_the_lowest_latency() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1), node(11, 2)]);
    host.arrive(1, |r| r.shard = Some(1));
    host.arrive(2, |r| r.shard = Some(2));
    for (request, node, latency) in [(1, 10, 300 * MS), (2, 11, 50 * MS)] {
        let (attempt, result, over, used) = (0, AttemptResult::Served, true, None);
        host.event(Event::Outcome(Outcome {
            request,
            attempt,
            node,
            result,
            latency,
            over,
            used,
            load: Load::default(),
        }));
    }
    host.arrive(3, |r| r.shard = None);
    assert_eq!(host.sends().last(), Some(&(3, 11)));
}

#[test]
fn state_of_removed_nodes_and_idle_volumes_is_dropped() {
    let mut host = Host::new(settings(vec![Class { in_order: true, ..class(Repeats::Safe) }]), vec![]);
    let mut sizes = Vec::new();
    for round in 0..40 {
        let (id, node_id) = (u64::from(round), round);
        host.event(Event::Nodes { update: ListUpdate::Full, nodes: vec![node(node_id, 1)] });
        for (plan, request) in [(0, 2 * id), (1, 2 * id + 1)] {
            host.arrive(request, |r| (r.volume, r.key, r.plan) = (request, request + 1, plan));
            host.wait(S);
            host.outcome(request, 0, node_id, AttemptResult::Served);
        }
        host.wait(40 * S);
        sizes.push(format!("{:?}", host.policy).len());
    }
    assert_eq!(host.sends().len(), 80);
    assert!(sizes[39] < sizes[1] + 200, "{sizes:?}");
}

#[test]
fn a_volume_ahead_of_the_global_virtual_time_is_kept() {
    let mut host = one_node_host();
    for id in 1..=20 {
        host.arrive(id, |r| r.volume = 1);
    }
    for served in 0..20 {
        let (id, node) = host.sends()[served];
        host.outcome(id, 0, node, AttemptResult::Served);
    }
    let ahead = format!("{:?}", host.policy).contains("flow_of: {1: ");
    host.wait(40 * S);
    assert!(ahead && format!("{:?}", host.policy).contains("flow_of: {1: "));
}

#[test]
fn requests_on_a_silent_connection_do_not_block_their_node() {
    let patient = Class { target: 30 * S, ..class(Repeats::Safe) };
    let mut host = Host::new(settings(vec![patient]), vec![node(10, 1)]);
    // None of the requests that fill the node is ever answered.
    fill(&mut host);
    for id in [1, 2] {
        host.arrive(id, |r| r.time_left = 40 * S);
    }
    assert_eq!((host.sent(1), host.sent(2)), (0, 0));
    // In small steps: a long one would count as a stall of the host itself, not as silence of the node.
    for _ in 0..60 {
        host.wait(25 * MS);
    }
    assert_eq!(host.sent(1) + host.sent(2), 1, "a silent node gets one request at a time");
    let id = if host.sent(1) == 1 { 1 } else { 2 };
    host.outcome(id, 0, 10, AttemptResult::Served);
    assert_eq!(host.sent(3 - id), 1);
}

#[test]
fn failed_connections_eject_a_node_and_broken_ones_do_not() {
    for (result, ejects) in [(AttemptResult::Reset, false), (AttemptResult::ConnectFailed, true)] {
        let mut host = one_node_host();
        host.arrive(1, |_| {});
        host.outcome(1, 0, 10, AttemptResult::Served);
        host.arrive(2, |_| {});
        for attempt in 0..3 {
            host.outcome(2, attempt, 10, result);
            host.wait(25 * MS);
        }
        host.arrive(3, |_| {});
        assert_eq!(host.sent(3) == 0, ejects, "{result:?}");
    }
}

/// Returns the time until a node is tried again, in steps of 5 ms: a node that refuses a connection or,
/// otherwise, one that doesn't answer the requests that fill its tokens.
fn tried_again_after(target: Micros, fall: Micros, refuses: bool) -> Micros {
    let class = Class { target, deadline: 4 * target, ..class(Repeats::Safe) };
    let mut host = Host::new(Settings { fall, ..settings(vec![class]) }, vec![node(10, 1)]);
    let time_left = 4 * target;
    if refuses {
        host.arrive(1, |r| r.time_left = time_left);
        host.outcome(1, 0, 10, AttemptResult::ConnectFailed);
    } else {
        for id in 1..=8 {
            host.arrive(id, |r| r.time_left = time_left);
        }
    }
    let (before, start) = (host.sends().len(), host.now);
    while host.sends().len() == before {
        assert!(host.now < start + 4 * target, "the node was not tried again within the client's time");
        host.wait(5 * MS);
        host.arrive(100 + host.now / MS, |r| r.time_left = time_left);
    }
    host.now - start
}

#[test]
fn a_silent_or_refusing_node_is_tried_again_while_its_clients_wait() {
    // The fall time decides where targets are long, the shortest target where they are short.
    for (target, fall, silent, refusing) in [
        (4 * S, S, 500 * MS, 250 * MS),
        (400 * MS, S, 500 * MS, 200 * MS),
        (60 * MS, 2 * S, 90 * MS, 30 * MS),
    ] {
        for (refuses, expected) in [(false, silent), (true, refusing)] {
            let after = tried_again_after(target, fall, refuses);
            assert!((expected..=expected + 15 * MS).contains(&after), "{target} {fall} {refuses}: {after}");
        }
    }
}

/// Requests of one volume with a rate limit of 10 units per second and a burst of 20. An even part for one of
/// two hosts is 5 and 10.
fn limited(host: &mut Host, ids: std::ops::Range<u64>) {
    for id in ids {
        host.arrive(id, |r| (r.volume, r.plan, r.units) = (1, 1, 2.0));
    }
}

#[test]
fn a_request_that_the_rate_limit_cannot_admit_in_time_is_refused_at_once() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1), node(11, 2)]);
    host.wait(10 * S);
    // Ten units are available, and three more before the other requests would be given up.
    limited(&mut host, 1..12);
    let refused: Vec<u64> = (1..12).filter(|id| host.refused(*id)).collect();
    assert_eq!(refused, (7..12).collect::<Vec<_>>(), "{:?}", host.sends());
    // A volume without a limit waits for its turn.
    for id in 20..40 {
        host.arrive(id, |r| (r.volume, r.plan) = (2, 0));
        assert!(!host.refused(id));
    }
}

#[test]
fn two_processes_of_a_host_together_keep_to_its_part_of_a_rate_limit() {
    let fresh = || Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    let (mut old, mut new) = (fresh(), fresh());
    let mut sent = Vec::new();
    for step in 0..200 {
        // The old process's bucket is full when the new process starts, after 10 s; 3 s later the old one
        // ends.
        match step {
            100 => [&mut old, &mut new]
                .into_iter()
                .for_each(|host| host.event(Event::CapacityShare { share: 0.5 })),
            130 => new.event(Event::CapacityShare { share: 1.0 }),
            _ => {}
        }
        for (host, lives) in [(&mut old, (95..130).contains(&step)), (&mut new, step >= 100)] {
            host.wait(100 * MS);
            if lives {
                limited(host, 10 * step..10 * step + 4);
                let seen = host.sends();
                for (request, node) in seen {
                    host.outcome(request, 0, node, AttemptResult::Served);
                }
            }
        }
        sent.push(2.0 * (old.sends().len() + new.sends().len()) as f64);
    }
    // Within any period: the even part of burst and rate, and one request.
    for (from, to) in (90..200).flat_map(|from| (from + 1..200).map(move |to| (from, to))) {
        let most = 10.0 + 5.0 * (to - from) as f64 / 10.0 + 2.0;
        assert!(sent[to] - sent[from] <= most, "{} units from {from} to {to}", sent[to] - sent[from]);
    }
    assert!(
        sent[199] - sent[130] > 25.0,
        "the remaining process has the host's whole part again: {}",
        sent[199] - sent[130]
    );
}

#[test]
fn new_settings_apply_to_new_requests_and_not_to_pending_ones() {
    let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
    host.arrive(1, |_| {});
    let changed =
        Settings { max_attempts: 1, ..settings(vec![class(Repeats::Safe), class(Repeats::Unsafe)]) };
    host.event(Event::Settings(Box::new(changed)));
    host.arrive(2, |r| (r.volume, r.class) = (2, 0));
    host.arrive(3, |r| (r.volume, r.class) = (3, 1));
    for (id, tries, refused, failed) in [(1, 2, false, false), (2, 1, true, false), (3, 1, false, true)] {
        host.outcome(id, 0, 10, AttemptResult::Error);
        host.wait(S / 100);
        assert_eq!((host.sent(id), host.refused(id), host.failed(id)), (tries, refused, failed), "{id}");
    }
}

#[test]
fn a_lowered_rate_limit_applies_to_waiting_requests_and_empties_the_bucket() {
    for lowered in [false, true] {
        let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
        host.wait(10 * S);
        let tokens = fill(&mut host);
        // Ten units are available for these requests, but no token is free.
        for id in 1..5 {
            host.arrive(id, |r| (r.volume, r.plan) = (9, 1));
        }
        if lowered {
            let mut changed = settings(vec![class(Repeats::Safe)]);
            (changed.plans[1].limit, changed.plans[1].limit_burst) = (f64::MIN_POSITIVE, 0.0);
            host.event(Event::Settings(Box::new(changed)));
            // Raised again at once: the units that were cut don't come back, the bucket fills at its rate.
            host.event(Event::Settings(Box::new(settings(vec![class(Repeats::Safe)]))));
        }
        for id in 0..tokens {
            host.outcome(1000 + id, 0, 10, AttemptResult::Served);
        }
        let sent: usize = (1..5).map(|id| host.sent(id)).sum();
        assert_eq!(sent as u64, if lowered { 0 } else { tokens });
    }
}

#[test]
fn an_answer_that_has_begun_does_not_make_its_node_unresponsive() {
    for began in [false, true] {
        let mut host = Host::new(settings(vec![class(Repeats::Safe)]), vec![node(10, 1)]);
        // More requests than the node has tokens: the others wait.
        for id in 1..10 {
            host.arrive(id, |r| r.time_left = 60 * S);
        }
        for (request, _) in host.sends().into_iter().filter(|_| began) {
            host.event(Event::AnswerBegan { request, attempt: 0 });
        }
        // In steps that are too short to count as a stall of the host itself.
        for _ in 0..100 {
            host.wait(40 * MS);
        }
        let unresponsive =
            host.actions.iter().any(|a| matches!(a, Action::Log(text) if text.contains("mute")));
        assert_eq!((unresponsive, host.policy.node_counts(host.now)), (!began, (1, usize::from(!began))));
    }
}
