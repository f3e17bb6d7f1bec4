//! Tests of the scheduling rules of MQFQ-Sticky.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_fair_queue::{Anticipation, Candidate, FairQueue, FlowState, Settings, choose};

type Queue = FairQueue<&'static str, u32, u64>;

const SERVER: u32 = 1;
const OTHER: u32 = 2;

fn queue() -> Queue {
    FairQueue::new(Settings { overrun_sizes: 2.0, anticipation: Anticipation { gaps: 2.0, first: 1_000 } })
}

fn push(queue: &mut Queue, now: u64, flow: &'static str, server: u32, ids: &[u64], size: f64) {
    ids.iter().for_each(|id| queue.push(now, flow, server, *id, size));
}

#[test]
fn a_server_takes_the_oldest_request_of_its_longest_queue() {
    let mut queue = queue();
    push(&mut queue, 0, "a", SERVER, &[1], 1.0);
    push(&mut queue, 0, "b", SERVER, &[2, 3], 1.0);
    push(&mut queue, 0, "c", OTHER, &[4, 5, 6], 1.0);
    assert_eq!(queue.take(0, &SERVER), Some(2), "flow c's queue is at the other server");
}

#[test]
fn ties_go_to_the_flow_with_fewest_in_flight() {
    let mut queue = queue();
    push(&mut queue, 0, "a", SERVER, &[1, 2], 1.0);
    push(&mut queue, 0, "b", SERVER, &[3], 1.0);
    assert_eq!(queue.take(0, &SERVER), Some(1));
    assert_eq!(queue.take(0, &SERVER), Some(3), "equal queues, but flow a has one in flight");
    queue.complete(&"a");
    assert_eq!(queue.take(0, &SERVER), Some(2));
}

#[test]
fn the_size_is_added_to_the_virtual_time_and_a_flow_too_far_ahead_is_throttled() {
    let mut queue = queue();
    push(&mut queue, 0, "greedy", SERVER, &[1, 2, 3, 4, 5, 6], 1.0);
    push(&mut queue, 0, "modest", SERVER, &[10], 1.0);
    let taken: Vec<u64> = (0..4).filter_map(|_| queue.take(0, &SERVER)).collect();
    assert_eq!(
        taken,
        [1, 2, 3, 10],
        "after three requests of size 1 the greedy flow is more than T = 2 ahead"
    );
    assert_eq!(queue.virtual_time(&"greedy"), Some(3.0));
    assert_eq!(queue.virtual_time(&"modest"), Some(1.0));
}

#[test]
fn a_server_with_only_throttled_work_serves_the_lowest_virtual_time() {
    let mut queue = queue();
    push(&mut queue, 0, "ahead", SERVER, &[1, 2, 3, 4, 5, 6], 1.0);
    push(&mut queue, 0, "elsewhere", OTHER, &[10], 1.0);
    let taken: Vec<u64> = (0..5).filter_map(|_| queue.take(0, &SERVER)).collect();
    assert_eq!(
        taken,
        [1, 2, 3, 4, 5],
        "the other flow's request is at another server, so the throttled flow is served"
    );
}

#[test]
fn a_reactivated_flow_takes_the_global_virtual_time() {
    let mut queue = queue();
    push(&mut queue, 0, "idle", SERVER, &[1], 1.0);
    assert_eq!(queue.take(0, &SERVER), Some(1));
    push(&mut queue, 5_000, "busy", SERVER, &[2, 3, 4, 5], 10.0);
    (0..3).for_each(|_| assert!(queue.take(5_000, &SERVER).is_some()));
    push(&mut queue, 5_000, "idle", SERVER, &[6], 1.0);
    let (back, global) = (queue.virtual_time(&"idle").unwrap(), queue.global_virtual_time());
    assert!(
        back >= global.min(31.0) && back > 1.0,
        "virtual time of the reactivated flow: {back}, global: {global}"
    );
}

#[test]
fn a_recently_emptied_flow_limits_the_global_virtual_time() {
    let mut queue = queue();
    push(&mut queue, 0, "emptied", SERVER, &[1], 1.0);
    assert_eq!(queue.take(0, &SERVER), Some(1));
    push(&mut queue, 10, "other", SERVER, &[2, 3], 5.0);
    assert!(queue.take(10, &SERVER).is_some());
    assert!(queue.take(500, &SERVER).is_some());
    assert!(
        queue.global_virtual_time() <= 1.0,
        "the emptied flow is active for 1 s, as it has no inter-arrival time"
    );
    push(&mut queue, 1_500, "other", SERVER, &[4], 5.0);
    assert!(queue.take(1_500, &SERVER).is_some());
    assert!(queue.global_virtual_time() > 1.0, "the emptied flow is no longer active after 1 s");
}

#[test]
fn removed_requests_are_not_taken_and_reassigned_ones_keep_their_order() {
    let mut queue = queue();
    push(&mut queue, 0, "a", SERVER, &[1, 2], 1.0);
    push(&mut queue, 0, "a", OTHER, &[3], 1.0);
    assert!(queue.remove(0, 1));
    assert!(!queue.remove(0, 1));
    queue.reassign(2, OTHER);
    assert_eq!(queue.take(0, &SERVER), None);
    assert_eq!(queue.take(0, &OTHER), Some(2), "request 2 arrived before request 3");
    assert_eq!(queue.queued_at(&OTHER), 1);
    assert_eq!(queue.len(), 1);
}

// ---- the public parts: `choose` and `FlowState` ----

fn candidate(flow: u8, virtual_time: f64, length: usize, in_flight: usize, oldest: u64) -> Candidate<u8> {
    Candidate { flow, virtual_time, length, in_flight, oldest }
}

#[test]
fn the_longest_queue_goes_first_then_fewest_in_flight_then_the_oldest_request() {
    let longest = [candidate(1, 0.0, 2, 0, 1), candidate(2, 0.0, 3, 9, 9)];
    assert_eq!(choose(&longest, 5.0), Some(2));
    let fewest = [candidate(1, 0.0, 3, 4, 1), candidate(2, 0.0, 3, 1, 9)];
    assert_eq!(choose(&fewest, 5.0), Some(2));
    let oldest = [candidate(1, 0.0, 3, 1, 7), candidate(2, 0.0, 3, 1, 2)];
    assert_eq!(choose(&oldest, 5.0), Some(2));
    assert_eq!(choose::<u8>(&[], 5.0), None);
}

#[test]
fn a_throttled_flow_is_skipped_unless_all_flows_are_throttled() {
    let one = [candidate(1, 6.0, 9, 0, 1), candidate(2, 5.0, 1, 0, 2)];
    assert_eq!(choose(&one, 5.0), Some(2));
    let all = [candidate(1, 8.0, 9, 0, 1), candidate(2, 6.0, 1, 0, 2)];
    assert_eq!(choose(&all, 5.0), Some(2), "the lowest virtual time");
}

#[test]
fn an_emptied_flow_stays_active_for_multiples_of_its_interarrival_time() {
    let anticipation = Anticipation { gaps: 2.0, first: 1_000 };
    assert!(!FlowState::default().is_active(1, anticipation), "no request has arrived");
    let mut flow = FlowState::first_arrival(100, 7.0);
    flow.enqueued();
    flow.dequeued(110);
    assert!(flow.is_active(1_109, anticipation) && !flow.is_active(1_110, anticipation));
    flow.arrive(300, 50.0, anticipation);
    assert_eq!(flow.virtual_time, 7.0, "the flow was still active");
    flow.enqueued();
    flow.dispatched(3.0);
    flow.dequeued(300);
    assert_eq!((flow.virtual_time, flow.in_flight), (10.0, 1));
    assert!(
        flow.is_active(699, anticipation) && !flow.is_active(700, anticipation),
        "two inter-arrival times of 200"
    );
    flow.completed();
    assert_eq!(flow.in_flight, 0);
    flow.arrive(900, 50.0, anticipation);
    assert_eq!(flow.virtual_time, 50.0, "the flow was idle and takes the global virtual time");
}

#[test]
fn an_ineligible_request_keeps_its_order_and_is_skipped() {
    let mut queue: FairQueue<&str, u32, u64> = FairQueue::new(Settings::default());
    [(1, "a"), (2, "a"), (3, "a"), (4, "b")]
        .into_iter()
        .for_each(|(id, flow)| queue.push(0, flow, 1, id, 1.0));
    // The oldest request of the longest queue is not eligible, so the next one of that queue is taken.
    assert_eq!(queue.take_where(0, &1, |id| id != 1), Some(2));
    // A queue without an eligible request is skipped.
    assert_eq!(queue.take_where(0, &1, |id| id == 4), Some(4));
    assert_eq!(queue.take_where(0, &1, |_| false), None);
    assert_eq!(queue.take(0, &1), Some(1), "request 1 is still the oldest once it is eligible");
}
