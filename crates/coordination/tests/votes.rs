//! Votes, persistence and leases of a single replica.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::member;
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::replica::{Effects, Replica, Role, Timing};
use pathbank_coordination::types::{Entry, Member, Membership, Message, Payload, StoreId};

fn voters() -> Vec<Member> {
    (0..3).map(|machine| member(machine, machine as u64 + 1)).collect()
}

fn durable() -> DurableState {
    DurableState { id: Some(StoreId(1)), initial: Membership::of(voters()), ..DurableState::default() }
}

fn replica(durable: DurableState, now: u64) -> Replica {
    Replica::new(member(0, 1), Timing::default(), durable, now, 3)
}

fn request_vote(replica: &mut Replica, now: u64, from: usize, term: u64) -> Effects {
    let request =
        Message::VoteRequest { term, pre: false, leadership_transfer: false, last_index: 0, last_term: 0 };
    replica.step(now, voters()[from].clone(), request)
}

fn granted(effects: &Effects) -> bool {
    effects.messages.iter().any(|sent| matches!(sent.message, Message::VoteReply { granted: true, .. }))
}

#[test]
fn a_vote_is_sent_after_it_is_persisted() {
    let mut replica = replica(durable(), 0);
    let effects = request_vote(&mut replica, 10, 1, 5);
    assert!(granted(&effects));
    assert!(effects.messages.iter().all(|sent| sent.after_save));
    let vote = Record::Vote { term: 5, voted_for: Some(StoreId(2)) };
    assert!(effects.records.contains(&vote));
}

#[test]
fn a_voter_votes_once_per_term_across_restarts() {
    let mut first = replica(durable(), 0);
    assert!(granted(&request_vote(&mut first, 10, 1, 5)));
    assert!(!granted(&request_vote(&mut first, 11, 2, 5)));
    assert!(granted(&request_vote(&mut first, 12, 1, 5)), "the same candidate may ask again");
    let mut second = replica(first.durable().clone(), 2_000);
    assert!(!granted(&request_vote(&mut second, 2_000 + 5_000, 2, 5)));
    assert!(granted(&request_vote(&mut second, 2_000 + 5_000, 2, 6)), "a later term has another vote");
}

#[test]
fn after_a_restart_no_vote_is_granted_within_a_possible_lease() {
    let mut voter = replica(DurableState { term: 4, ..durable() }, 1_000);
    let timing = Timing::default();
    assert!(timing.lease_ms < timing.election_timeout_ms);
    assert!(!granted(&request_vote(&mut voter, 1_000 + timing.election_timeout_ms - 1, 1, 5)));
    assert!(granted(&request_vote(&mut voter, 1_000 + timing.election_timeout_ms, 1, 5)));
}

#[test]
fn a_follower_with_a_live_leader_grants_no_vote() {
    let mut voter = replica(durable(), 0);
    let append = Message::Append {
        term: 3,
        previous_index: 0,
        previous_term: 0,
        entries: Vec::new(),
        commit: 0,
        sent_at: 500,
    };
    voter.step(500, voters()[1].clone(), append);
    assert!(!granted(&request_vote(&mut voter, 500 + Timing::default().election_timeout_ms - 1, 2, 9)));
    assert_eq!(voter.term(), 3, "and its term stays");
}

#[test]
fn a_learner_never_becomes_a_candidate() {
    let mut joiner = replica(DurableState { id: Some(StoreId(9)), ..DurableState::default() }, 0);
    (0..5_000).step_by(20).for_each(|now| assert!(joiner.tick(now).messages.is_empty()));
    assert_eq!(joiner.role(), Role::Follower);
}

#[test]
fn a_leader_with_a_failing_disk_steps_down() {
    let mut alone = DurableState { id: Some(StoreId(1)), ..DurableState::default() };
    alone.initial = Membership::of(vec![member(0, 1)]);
    let mut replica = replica(alone, 0);
    replica.tick(2_000);
    assert_eq!(replica.role(), Role::Leader);
    replica.set_impaired(2_100, true);
    (2_100..9_000).step_by(20).for_each(|now| drop(replica.tick(now)));
    assert_eq!(replica.role(), Role::Follower);
    replica.set_impaired(9_000, false);
    replica.tick(12_000);
    assert_eq!(replica.role(), Role::Leader);
}

#[test]
fn a_joint_membership_needs_a_majority_of_both_groups() {
    let mut after = voters();
    after[2] = member(2, 9);
    let joint = Membership { voters: after, outgoing: voters() };
    let agree = |stores: [u64; 2]| joint.has_quorum(|id| stores.contains(&id.0));
    assert!(agree([1, 2]));
    assert!(!agree([1, 9]), "no majority of the old group");
    assert!(!agree([1, 3]), "nor of the new one");
    assert_eq!(joint.members().count(), 4);
}

fn send_heartbeat(replica: &mut Replica, now: u64, term: u64, commit: u64) {
    let message = Message::Append {
        term,
        previous_index: 2,
        previous_term: 4,
        entries: Vec::new(),
        commit,
        sent_at: now,
    };
    replica.step(now, voters()[1].clone(), message);
}

fn restarted_with_two_entries() -> Replica {
    let mut log = DurableState { term: 4, ..durable() };
    for index in 1..=2 {
        log.apply(Record::Entry(Entry { index, term: 4, payload: Payload::Command(vec![1]) }));
    }
    replica(log, 0)
}

/// After a power loss of all machines, a new leader does not know yet how far the log is committed. A
/// follower that has applied every entry up to the leader's commit index may still lack acknowledged entries.
#[test]
fn a_follower_is_not_current_before_its_leader_commits_in_its_term() {
    let leader_timeout = 1_500;
    let mut follower = restarted_with_two_entries();
    send_heartbeat(&mut follower, 1_000, 5, 1);
    assert!(!follower.is_current(1_010, leader_timeout), "entry 1 is of an earlier term");
    send_heartbeat(&mut follower, 1_050, 5, 2);
    assert!(!follower.is_current(1_060, leader_timeout));
    let leader_start = Entry { index: 3, term: 5, payload: Payload::LeaderStart("core-1".into()) };
    let message = Message::Append {
        term: 5,
        previous_index: 2,
        previous_term: 4,
        entries: vec![leader_start],
        commit: 3,
        sent_at: 1_100,
    };
    follower.step(1_100, voters()[1].clone(), message);
    assert!(follower.is_current(1_110, leader_timeout));
    assert!(!follower.is_current(1_100 + leader_timeout, leader_timeout), "nor is one that hears no leader");
}

#[test]
fn a_silent_leader_is_not_reported() {
    let mut follower = restarted_with_two_entries();
    send_heartbeat(&mut follower, 1_000, 5, 1);
    assert_eq!(follower.leader_within(2_499, 1_500).map(|leader| leader.id), Some(StoreId(2)));
    assert_eq!(follower.leader_within(2_500, 1_500), None);
}

#[test]
fn a_leader_without_a_quorum_is_not_current_after_its_lease() {
    let mut leader = replica(durable(), 0);
    leader.tick(2_000);
    let grant = |term, pre| Message::VoteReply { term, pre, granted: true };
    leader.step(2_010, voters()[1].clone(), grant(1, true));
    leader.step(2_020, voters()[1].clone(), grant(1, false));
    leader.on_persisted(2_025, 1);
    let reply = Message::AppendReply { term: 1, accepted: true, index: 1, sent_at: 2_020 };
    leader.step(2_030, voters()[1].clone(), reply);
    assert!(leader.is_established_leader() && leader.is_current(2_319, 1_500));
    assert!(!leader.is_current(2_320, 1_500), "0.3 s after what a majority answered was sent");
    assert!(leader.is_established_leader(), "although it has not stepped down yet");
}
