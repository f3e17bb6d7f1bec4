//! Single replicas and what they promise: votes, saves, leases.

mod common;

use common::member;
use pathbank_coordination::record::{Durable, Record};
use pathbank_coordination::replica::{Effects, Replica, Role, Timing};
use pathbank_coordination::types::{Member, Membership, Message, StoreId};

fn voters() -> Vec<Member> {
    (0..3).map(|machine| member(machine, machine as u64 + 1)).collect()
}

fn durable() -> Durable {
    Durable { id: Some(StoreId(1)), initial: Membership::of(voters()), ..Durable::default() }
}

fn replica(durable: Durable, now: u64) -> Replica {
    Replica::new(member(0, 1), Timing::default(), durable, now, 3)
}

fn ask(replica: &mut Replica, now: u64, from: usize, term: u64) -> Effects {
    let request = Message::VoteRequest { term, pre: false, handover: false, last_index: 0, last_term: 0 };
    replica.hear(now, voters()[from].clone(), request)
}

fn granted(effects: &Effects) -> bool {
    effects.messages.iter().any(|sent| matches!(sent.message, Message::VoteReply { granted: true, .. }))
}

#[test]
fn a_vote_leaves_only_once_it_is_saved() {
    let mut replica = replica(durable(), 0);
    let effects = ask(&mut replica, 10, 1, 5);
    assert!(granted(&effects));
    assert!(effects.messages.iter().all(|sent| sent.after_save));
    let vote = Record::Vote { term: 5, voted_for: Some(StoreId(2)) };
    assert!(effects.records.contains(&vote));
}

#[test]
fn a_term_has_one_vote_also_after_a_restart() {
    let mut first = replica(durable(), 0);
    assert!(granted(&ask(&mut first, 10, 1, 5)));
    assert!(!granted(&ask(&mut first, 11, 2, 5)));
    assert!(granted(&ask(&mut first, 12, 1, 5)), "the same candidate may ask again");
    let mut second = replica(first.durable().clone(), 2_000);
    assert!(!granted(&ask(&mut second, 2_000 + 5_000, 2, 5)));
    assert!(granted(&ask(&mut second, 2_000 + 5_000, 2, 6)), "a later term has another");
}

#[test]
fn after_a_restart_no_vote_is_given_for_as_long_as_a_leader_may_hold_its_lease() {
    let mut voter = replica(Durable { term: 4, ..durable() }, 1_000);
    let timing = Timing::default();
    assert!(timing.lease < timing.election);
    assert!(!granted(&ask(&mut voter, 1_000 + timing.election - 1, 1, 5)));
    assert!(granted(&ask(&mut voter, 1_000 + timing.election, 1, 5)));
}

#[test]
fn while_its_leader_lives_a_follower_gives_no_vote() {
    let mut voter = replica(durable(), 0);
    let append = Message::Append {
        term: 3,
        previous_index: 0,
        previous_term: 0,
        entries: Vec::new(),
        commit: 0,
        sent_at: 500,
    };
    voter.hear(500, voters()[1].clone(), append);
    assert!(!granted(&ask(&mut voter, 500 + Timing::default().election - 1, 2, 9)));
    assert_eq!(voter.term(), 3, "and its term stays");
}

#[test]
fn a_replica_outside_the_group_never_stands_for_election() {
    let mut joiner = replica(Durable { id: Some(StoreId(9)), ..Durable::default() }, 0);
    (0..5_000).step_by(20).for_each(|now| assert!(joiner.tick(now).messages.is_empty()));
    assert_eq!(joiner.role(), Role::Follower);
}

#[test]
fn a_replica_whose_disk_takes_nothing_leads_nobody() {
    let mut alone = Durable { id: Some(StoreId(1)), ..Durable::default() };
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
fn a_group_that_changes_needs_a_majority_of_both() {
    let mut after = voters();
    after[2] = member(2, 9);
    let joint = Membership { voters: after, outgoing: voters() };
    let agree = |stores: [u64; 2]| joint.has_quorum(|id| stores.contains(&id.0));
    assert!(agree([1, 2]));
    assert!(!agree([1, 9]), "no majority of the old group");
    assert!(!agree([1, 3]), "nor of the new one");
    assert_eq!(joint.members().count(), 4);
}
