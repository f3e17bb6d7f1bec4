//! Many hosts with the same nodes: the sum of what they send, and the messages between them.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;
use common::*;
use pathbank::interface::*;
use pathbank::{Action, Event, Policy};

const HOSTS: u32 = 250;

fn many_host_settings() -> Settings {
    Settings {
        hosts: HOSTS,
        peers: true,
        probing: true,
        fall_multiple: 1.5,
        ..settings(vec![class(Repeats::Safe)])
    }
}

fn one_of_many_hosts(change: impl FnOnce(&mut Settings), nodes: Vec<NodeEntry>) -> Host {
    let mut settings = many_host_settings();
    change(&mut settings);
    Host::new(settings, nodes)
}

/// Many hosts with the same nodes and different seeds.
fn many_hosts(nodes: &[NodeEntry]) -> Vec<Host> {
    hosts_of_number(HOSTS, nodes)
}

fn hosts_of_number(hosts: u32, nodes: &[NodeEntry]) -> Vec<Host> {
    let host = |position: u32| {
        let settings = Settings { hosts, position, ..many_host_settings() };
        let policy = Policy::new(settings, u64::from(position).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut host = Host { policy, now: 100 * S, actions: Vec::new() };
        host.event(Event::Nodes { update: ListUpdate::Cached, nodes: nodes.to_vec() });
        host
    };
    (0..hosts).map(host).collect()
}

fn report(shard: u8, queue: u8, took_ms: u16) -> Vec<u8> {
    let [high, low] = took_ms.to_be_bytes();
    vec![1, 0, shard, queue, high, low]
}

fn answer(host: &mut Host, request: RequestId, queue: f64, latency: Micros) {
    let (attempt, result, over, used) = (0, AttemptResult::Served, true, None);
    let load = Load { queue: Some(queue) };
    host.event(Event::Outcome(Outcome { request, attempt, node: 10, result, latency, over, used, load }));
}

fn reports_sent(host: &Host) -> Vec<&Vec<u8>> {
    let reported = host.actions.iter().filter_map(|a| match a {
        Action::SendToPeer { peer: None, bytes } => Some(bytes),
        _ => None,
    });
    reported.collect()
}

fn probes(host: &Host) -> usize {
    host.actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count()
}

#[test]
fn many_hosts_together_send_a_cold_node_no_more_waiting_work_than_it_can_serve() {
    let cold = NodeEntry { started: 100 * S, ..node(10, 1) };
    let mut hosts = many_hosts(&[cold]);
    for (host, id) in hosts.iter_mut().zip(1..) {
        host.arrive(id, |r| r.time_left = 60 * S);
    }
    let sum = |hosts: &[Host]| hosts.iter().map(|h| 2 * h.sends().len()).sum::<usize>() as f64;
    let wait = |hosts: &mut [Host], time| hosts.iter_mut().for_each(|host| host.wait(time));
    assert!(sum(&hosts) <= 8.0, "most of it is held back");
    // The node serves 8 units within the fall time of 2 s; that grows as it warms up, to fourfold after 16 s.
    wait(&mut hosts, 2 * S);
    let first = sum(&hosts);
    assert!((2.0..=20.0).contains(&first), "{first} units in the first window");
    for second in 3..=8 {
        let before = sum(&hosts);
        wait(&mut hosts, S);
        let (sent, may) = (sum(&hosts) - before, 4.0 * (1.0 + 3.0 * f64::from(second) / 16.0));
        assert!(sent <= 2.5 * may, "{sent} units in second {second}, {may} can be served");
    }
    assert!(sum(&hosts) > first + 16.0, "work still flows");
}

/// Clients request 125 units per second of a warm node, each host 2 units every `tenths` tenths of a second.
/// Then a cold node takes over the shard. Returns the units sent to the cold node in each second.
fn units_sent_to_the_cold_node_by_second(mut hosts: Vec<Host>, tenths: impl Fn(u64) -> u64) -> Vec<f64> {
    let mut by_second = vec![0.0; 12];
    for tick in 0..300u64 {
        let restarted = 180;
        for (position, host) in (0u64..).zip(&mut hosts) {
            host.now += 100 * MS;
            if tick == restarted {
                let (gone, cold) = (NodeState::Gone, NodeEntry { started: host.now, ..node(11, 1) });
                let nodes = vec![NodeEntry { state: gone, ..node(10, 1) }, cold];
                host.event(Event::Nodes { update: ListUpdate::Changes, nodes });
            }
            let before = host.sends().len();
            let tenths = tenths(position);
            if tick % tenths == position % tenths {
                host.arrive(1000 * (tick + 1) + position, |_| {});
            }
            host.event(Event::Timer { token: u64::MAX });
            for (request, node) in host.sends().split_off(before) {
                if tick >= restarted {
                    by_second[(tick - restarted) as usize / 10] += 2.0;
                }
                host.outcome(request, 0, node, AttemptResult::Served);
            }
        }
    }
    by_second
}

/// Asserts that in each fall time of 2 s the node gets no more units than it can serve, and most of those.
fn assert_served_within_capacity(by_second: &[f64]) {
    let (mut all, mut total_capacity) = (0.0, 0.0);
    for (second, sent) in by_second.chunks(2).enumerate() {
        let sent: f64 = sent.iter().sum();
        // A warm node can serve 1.5 times the demand, a cold one a quarter of that, growing evenly over 16 s.
        // It survives 1.5 times its capacity for a while.
        let capacity = 2.0 * 1.5 * 1.5 * 125.0 * (0.25 + 0.75 * (2.0 * second as f64 + 1.0) / 16.0);
        (all, total_capacity) = (all + sent, total_capacity + capacity);
        // The initial credit is random, so somewhat more may come at the same time.
        assert!(sent <= 1.2 * capacity, "{sent} units in fall {second}, {capacity} can be served");
        let minimum = (0.6 * capacity).min(0.7 * 250.0);
        assert!(sent >= minimum, "{sent} units in fall {second}, at least {minimum} are expected");
    }
    assert!(all <= total_capacity, "{all} units in 12 s, {total_capacity} can be served");
}

#[test]
fn many_hosts_send_a_cold_node_what_it_can_serve_of_the_demand_and_no_more() {
    assert_served_within_capacity(&units_sent_to_the_cold_node_by_second(many_hosts(&[node(10, 1)]), |_| 40));
}

/// Half of the hosts have most of the demand. An even part of the units that a cold node always serves is 0.8
/// units per host and fall time.
#[test]
fn few_hosts_send_a_cold_node_what_it_can_serve_of_the_demand_and_no_more() {
    let tenths = |position| if position < 5 { 1 } else { 4 };
    assert_served_within_capacity(&units_sent_to_the_cold_node_by_second(
        hosts_of_number(10, &[node(10, 1)]),
        tenths,
    ));
}

/// Returns for each host the delay of its next call to the node list, after the same number of failures at
/// all hosts.
fn call_delays(hosts: u32, failures: usize) -> Vec<Micros> {
    let delay = |position: u32| {
        let settings = Settings { hosts, position, must_subscribe: true, ..many_host_settings() };
        let seed = u64::from(position).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut host = Host { policy: Policy::new(settings, seed), now: 100 * S, actions: Vec::new() };
        let mut next = |update| {
            host.event(Event::Nodes { update, nodes: Vec::new() });
            let call = host.actions.drain(..).rev().find_map(|a| match a {
                Action::Timer { after, token } => Some((after, Some(token))),
                Action::Subscribe => Some((0, None)),
                _ => None,
            });
            let (after, Some(token)) = call.expect("a call") else { return 0 };
            host.now += after;
            host.event(Event::Timer { token });
            assert_eq!(host.actions.drain(..).filter(|a| *a == Action::Subscribe).count(), 1);
            after
        };
        let first = next(ListUpdate::Cached);
        (0..failures).map(|_| next(ListUpdate::Failed)).last().unwrap_or(first)
    };
    (0..hosts).map(delay).collect()
}

#[test]
fn many_hosts_spread_their_calls_to_the_node_list_and_few_hosts_call_at_once() {
    for failures in [0, 1, 4] {
        let delays = call_delays(HOSTS, failures);
        for tenth in 0..200 {
            let within = |after: &&Micros| (**after / (100 * MS)) == tenth;
            let calls = delays.iter().filter(within).count();
            assert!(calls <= 12, "{calls} calls in tenth {tenth} of a second after {failures} failures");
        }
        assert!(delays.iter().all(|after| *after <= 20 * S), "every host calls again");
    }
    assert!(call_delays(3_000, 0).iter().all(|after| *after <= 10 * S), "with any number of hosts");
    assert_eq!(call_delays(3, 0), [0, 0, 0]);
    assert!(call_delays(3, 1).iter().all(|after| (500 * MS..=S).contains(after)));
}

#[test]
fn a_long_queue_is_reported_to_all_hosts_once() {
    let mut host = one_of_many_hosts(|_| {}, vec![node(10, 1)]);
    host.arrive(1, |_| {});
    answer(&mut host, 1, 0.0, 50 * MS);
    assert!(reports_sent(&host).is_empty(), "the node has no queue");
    host.now += S;
    for id in 2..=3 {
        host.arrive(id, |_| {});
        answer(&mut host, id, 40.0, 900 * MS);
    }
    assert_eq!(reports_sent(&host), [&report(1, 40, 900)]);
    let mut few = one_of_many_hosts(|s| s.hosts = 3, vec![node(10, 1)]);
    few.arrive(1, |_| {});
    answer(&mut few, 1, 40.0, 900 * MS);
    assert!(reports_sent(&few).is_empty(), "few hosts get enough answers of their own");
}

#[test]
fn requests_that_would_be_late_by_another_hosts_report_wait() {
    let mut host = one_of_many_hosts(|_| {}, vec![node(10, 1), node(11, 2)]);
    host.event(Event::Peer { from: 7, bytes: report(1, 60, 3000) });
    host.arrive(1, |_| {});
    host.arrive(2, |r| r.shard = Some(2));
    assert_eq!(host.sends(), [(2, 11)]);
    // Without further reports, the queue is assumed to shrink.
    host.wait(3 * S + S / 2);
    assert_eq!(host.sent(1), 0, "it is late by now, and the node's admitted fraction still below 1");
    host.arrive(3, |r| r.time_left = 4 * S);
    host.wait(3 * S);
    assert_eq!(host.sent(3), 1);
}

#[test]
fn a_fraction_of_the_hosts_returns_to_a_node_with_a_long_queue_but_all_send_reserved_work() {
    let mut hosts = many_hosts(&[node(10, 1)]);
    for (host, id) in hosts.iter_mut().zip(1..) {
        host.now += S;
        host.event(Event::Peer { from: 7, bytes: report(1, 60, 600) });
        host.now += 100 * MS;
        // Plan 1 has no reserve; a request of 0 units passes its rate limit.
        host.arrive(2 * id, |r| r.volume_hosts = 2.0);
        host.arrive(2 * id + 1, |r| (r.plan, r.units) = (1, 0.0));
    }
    let sent = |odd: u64| {
        let went = |h: &&Host| h.sends().iter().any(|(id, _)| id % 2 == odd);
        hosts.iter().filter(went).count()
    };
    assert_eq!(sent(0), 250, "inside the reserve");
    assert!((50..200).contains(&sent(1)), "{} outside it", sent(1));
}

#[test]
fn a_message_of_unknown_form_or_from_an_unknown_host_is_ignored() {
    let mut host = one_of_many_hosts(|_| {}, vec![node(10, 1)]);
    let odd = [
        vec![],
        vec![1],
        vec![9, 0, 1, 200, 20, 0],
        [report(1, 200, 9000), vec![0]].concat(),
        report(5, 9, 9),
    ];
    for bytes in odd {
        host.event(Event::Peer { from: 7, bytes });
    }
    host.event(Event::Peer { from: HOSTS, bytes: report(1, 200, 9000) });
    host.arrive(1, |_| {});
    assert_eq!(host.sent(1), 1);
}

#[test]
fn if_only_probes_report_load_many_hosts_probe_before_new_objects() {
    let mut host = one_of_many_hosts(|s| s.reports = Reports::Probes, vec![node(10, 1), node(11, 2)]);
    host.arrive(1, |_| {});
    assert_eq!((host.sent(1), probes(&host)), (1, 0), "reserved work for a shard is sent at once");
    host.arrive(2, |r| r.shard = None);
    assert_eq!(probes(&host), 1);
    let probed = host.actions.iter().find_map(|a| match a {
        Action::Probe { node } => Some(*node),
        _ => None,
    });
    let (node, result, latency, load) =
        (probed.unwrap(), AttemptResult::Served, MS, Load { queue: Some(1.0) });
    host.event(Event::Probed { node, result, latency, load });
    assert_eq!(host.sent(2), 1);
    let bad = Load { queue: None };
    host.event(Event::Probed { node: 99, result: AttemptResult::TimedOut, latency: 250 * MS, load: bad });
}

#[test]
fn new_objects_of_many_hosts_spread_over_nodes_without_reports() {
    let nodes: Vec<NodeEntry> = (0..10).map(|i| node(10 + u32::from(i), i)).collect();
    let mut hosts = many_hosts(&nodes);
    let mut at = std::collections::BTreeMap::<NodeId, usize>::new();
    for (host, id) in hosts.iter_mut().zip(1..) {
        // Each host has an answer of one node only, the slow one.
        host.arrive(1000 + id, |r| r.shard = Some(0));
        host.outcome(1000 + id, 0, 10, AttemptResult::Served);
        host.arrive(id, |r| r.shard = None);
        let (_, node) = host.sends().into_iter().find(|(request, _)| *request == id).expect("sent");
        *at.entry(node).or_default() += 1;
    }
    assert!(at.values().all(|n| *n < 75), "an even part is 25: {at:?}");
}

#[test]
fn timeouts_and_refusals_for_a_full_queue_are_reported_to_all_hosts() {
    for (result, reported) in [(AttemptResult::TimedOut, 2000), (AttemptResult::Overloaded, 1000)] {
        let mut host = one_of_many_hosts(|_| {}, vec![node(10, 1)]);
        host.arrive(1, |_| {});
        host.now += 3 * S;
        let (attempt, over, used, load) = (0, false, None, Load::default());
        let latency = 3 * S;
        host.event(Event::Outcome(Outcome {
            request: 1,
            attempt,
            node: 10,
            result,
            latency,
            over,
            used,
            load,
        }));
        assert_eq!(
            reports_sent(&host),
            [&report(1, 255, reported)],
            "{result:?}: two shortest targets at most, or one"
        );
    }
}

#[test]
fn one_of_many_hosts_tries_an_unresponsive_node_again_later_than_one_of_few() {
    let tried_again = |hosts: u32, after: Micros| {
        let mut host = one_of_many_hosts(|s| s.hosts = hosts, vec![node(10, 1)]);
        host.arrive(1, |_| {});
        host.now += S;
        host.outcome(1, 0, 10, AttemptResult::TimedOut);
        host.wait(after);
        host.sent(1) > 1
    };
    assert!(tried_again(3, S), "a quarter of the fall time has passed");
    assert!(!tried_again(HOSTS, 2 * S), "250 hosts that try every half second are 500 requests a second");
}

#[test]
fn many_hosts_survive_odd_lists_and_extreme_values() {
    let full = |nodes: Vec<NodeEntry>| Event::Nodes { update: ListUpdate::Full, nodes };
    let mut host = one_of_many_hosts(|s| s.must_subscribe = true, vec![node(10, 1)]);
    host.event(full(Vec::new()));
    host.arrive(1, |_| {});
    assert_eq!(host.sent(1), 0, "an empty list has no node");
    // The node returns with a start time in the future: it must be cold from now on, not warm because the
    // time wrapped.
    host.event(full(vec![NodeEntry { started: host.now + 3600 * S, ..node(10, 1) }]));
    host.wait(10 * MS);
    assert_eq!(host.sent(1), 0, "the node is cold and the demand for its shard unknown");
    host.event(full(vec![node(10, 1)]));
    for _ in 0..40 {
        host.event(Event::Nodes { update: ListUpdate::Failed, nodes: Vec::new() });
    }
    host.arrive(2, |_| {});
    host.outcome(1, 0, 10, AttemptResult::Served);
    assert!(host.actions.iter().all(|a| !matches!(a, Action::Timer { after, .. } if *after > 20 * S)));
    // With zero or extreme values, a cold node gets one request at a time and a rate limit still admits
    // requests.
    for (slow_start_units, slow_start_fraction, volume_hosts) in
        [(0.0, 0.25, 0.0), (8.0, 0.0, f64::NAN), (0.0, 0.0, 1e30), (0.0, 0.25, f64::INFINITY)]
    {
        let cold = NodeEntry { started: 100 * S, ..node(10, 1) };
        let mut host = one_of_many_hosts(
            |s| {
                (s.slow_start_units, s.slow_start_fraction, s.fall) =
                    (slow_start_units, slow_start_fraction, 0)
            },
            vec![cold],
        );
        for id in 1..=5 {
            host.arrive(id, |r| r.volume_hosts = volume_hosts);
        }
        assert_eq!(host.sends().len(), 1, "{slow_start_units} {slow_start_fraction}");
        let mut warm = one_of_many_hosts(|_| {}, vec![node(10, 1)]);
        warm.arrive(1, |r| {
            (r.plan, r.units, r.volume_hosts, r.time_left) = (1, 0.05, volume_hosts, 20 * S);
        });
        warm.wait(2 * S);
        assert_eq!(
            warm.sent(1),
            1,
            "one host's part of 10 units a second over all 250 hosts: {volume_hosts}"
        );
    }
}

/// Many hosts send to a node for 8 s. After a silence the node restarts, and `last` sends further requests.
fn hosts_after_restart(silence: Micros, last: impl Fn(&mut Host, RequestId)) -> Vec<Host> {
    let mut hosts = many_hosts(&[node(10, 1)]);
    for (host, id) in hosts.iter_mut().zip(1..) {
        for request in 0..8 {
            host.arrive(10 * id + request, |_| {});
            host.outcome(10 * id + request, 0, 10, AttemptResult::Served);
            host.now += S;
        }
        host.wait(silence);
        let nodes = vec![NodeEntry { started: host.now, ..node(10, 1) }];
        host.event(Event::Nodes { update: ListUpdate::Changes, nodes });
        last(host, 10 * id + 8);
    }
    hosts
}

#[test]
fn the_demand_for_an_idle_shard_is_dropped_and_its_cold_node_gets_the_even_part() {
    let sent_cold = |silence: Micros| {
        let hosts = hosts_after_restart(silence, |host, id| host.arrive(id, |_| {}));
        hosts.iter().filter(|host| host.sends().len() > 8).count()
    };
    assert!(sent_cold(S) > 100, "the node can serve more than half of the demand at once");
    assert!(sent_cold(31 * S) <= 4, "the demand for the shard is no longer known");
}

#[test]
fn many_hosts_send_a_cold_node_reserved_work_first_even_if_it_arrived_last() {
    let hosts = hosts_after_restart(S, |host, id| {
        host.arrive(id, |r| r.plan = 1);
        host.arrive(id + 1, |_| {});
    });
    let sent = |which: u64| {
        let went = |host: &&Host| host.sends().iter().any(|(id, _)| id % 10 == which);
        hosts.iter().filter(went).count()
    };
    assert_eq!(sent(8), 0, "outside the reserve, more credit is needed");
    assert!(sent(9) > 100, "{} inside it", sent(9));
}
