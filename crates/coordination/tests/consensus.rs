//! Each rule of Raft in [`pathbank_coordination::consensus`], without a replica.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_coordination::consensus::election::{LogPosition, Role, VoteRequest, VoteTally, VoterState};
use pathbank_coordination::consensus::lease::grantor_wait;
use pathbank_coordination::consensus::log_tail::{LogEntry, LogTail};
use pathbank_coordination::consensus::quorum::{has_majority, majority, majority_match_index, may_commit};
use pathbank_coordination::consensus::replication_progress::ReplicationProgress;
use pathbank_coordination::consensus::{Index, Term};
use test_case::test_case;

#[derive(Clone, Debug, PartialEq)]
struct Entry(Term);

impl LogEntry for Entry {
    fn term(&self) -> Term {
        self.0
    }
}

fn log(base: Index, terms: &[Term]) -> LogTail<Entry> {
    let mut log = LogTail::after(base, 1);
    terms.iter().zip(base + 1..).for_each(|(term, index)| log.insert(index, Entry(*term)));
    log
}

fn voter_state() -> VoterState<u32> {
    VoterState {
        term: 5,
        voted_for: None,
        role: Role::Follower,
        has_live_leader: false,
        log: LogPosition { term: 4, index: 10 },
    }
}

fn request() -> VoteRequest<u32> {
    VoteRequest { candidate: 7, term: 5, pre: false, log: LogPosition { term: 4, index: 10 } }
}

#[test_case(1, 1; "one alone")]
#[test_case(2, 2; "both of two")]
#[test_case(3, 2; "two of three")]
#[test_case(4, 3; "three of four")]
#[test_case(5, 3; "three of five")]
fn a_majority_is_more_than_half(voters: usize, needed: usize) {
    assert_eq!(majority(voters), needed);
    assert!(has_majority(0..voters, |voter| voter < needed));
    assert!(!has_majority(0..voters, |voter| voter + 1 < needed));
}

#[test]
fn an_empty_group_has_no_majority() {
    assert!(!has_majority(std::iter::empty::<u32>(), |_| true));
    assert_eq!(majority_match_index([]), 0);
}

#[test_case(&[5, 3, 9], 5; "the middle of three")]
#[test_case(&[5, 3, 9, 7], 5; "what three of four have")]
#[test_case(&[4], 4; "one alone")]
fn the_majority_match_index_is_the_highest_that_a_majority_has(match_indexes: &[Index], expected: Index) {
    assert_eq!(majority_match_index(match_indexes.iter().copied()), expected);
}

#[test_case(9, 8, Some(5), 5, true; "an entry of its own term")]
#[test_case(9, 8, Some(4), 5, false; "an entry of an earlier term is committed by a later one only")]
#[test_case(8, 8, Some(5), 5, false; "committed before")]
#[test_case(9, 8, None, 5, false; "an entry that is not there")]
fn a_leader_commits_by_an_entry_of_its_own_term(
    candidate: Index,
    committed: Index,
    term_of: Option<Term>,
    term: Term,
    may: bool,
) {
    assert_eq!(may_commit(candidate, committed, term_of, term), may);
}

#[test_case(voter_state(), request(), true; "a free vote and a log as up to date")]
#[test_case(VoterState { voted_for: Some(7), ..voter_state() }, request(), true; "the same vote again")]
#[test_case(VoterState { voted_for: Some(8), ..voter_state() }, request(), false; "voted for another one")]
#[test_case(VoterState { role: Role::Candidate, ..voter_state() }, request(), false; "a candidate itself")]
#[test_case(VoterState { term: 6, ..voter_state() }, request(), false; "a later term")]
#[test_case(VoterState { log: LogPosition { term: 4, index: 11 }, ..voter_state() }, request(), false; "a longer log")]
#[test_case(VoterState { log: LogPosition { term: 5, index: 1 }, ..voter_state() }, request(), false; "a later last entry")]
#[test_case(VoterState { log: LogPosition { term: 3, index: 99 }, ..voter_state() }, request(), true; "an older last entry")]
#[test_case(VoterState { has_live_leader: true, ..voter_state() }, request(), true; "a live leader prevents pre-votes alone")]
fn a_vote_is_granted(voter_state: VoterState<u32>, request: VoteRequest<u32>, granted: bool) {
    assert_eq!(voter_state.grants(&request), granted);
}

#[test_case(voter_state(), 6, true; "a later term")]
#[test_case(voter_state(), 5, false; "the term that it is in")]
#[test_case(VoterState { has_live_leader: true, ..voter_state() }, 6, false; "it has a live leader")]
#[test_case(VoterState { voted_for: Some(8), ..voter_state() }, 6, true; "its vote in this term does not bind a pre-vote")]
fn a_pre_vote_is_granted(voter_state: VoterState<u32>, term: Term, granted: bool) {
    assert_eq!(voter_state.grants(&VoteRequest { pre: true, term, ..request() }), granted);
}

#[test]
fn votes_count_for_the_role_that_requested_them() {
    let mut tally = VoteTally::with_own_vote(1);
    assert!(!tally.record(2, true, Role::Candidate), "a pre-vote's answer");
    assert!(!tally.record(2, false, Role::Leader));
    assert!(tally.record(2, false, Role::Candidate));
    assert!(!tally.record(2, false, Role::Candidate), "the same vote again");
    assert!(tally.contains(&1) && tally.contains(&2) && !tally.contains(&3));
}

#[test]
fn only_entries_after_the_base_are_read() {
    let log = log(10, &[1, 2]);
    assert_eq!(log.position(), LogPosition { term: 2, index: 12 });
    let terms: Vec<_> = (9..=13).map(|index| log.term_at(index)).collect();
    assert_eq!(terms, [None, Some(1), Some(1), Some(2), None]);
    assert_eq!((log.entry(10), log.entry(11)), (None, Some(&Entry(1))));
    assert_eq!(
        (log.entries_after(11).len(), log.entries_after(3).len(), log.entries_after(99).len()),
        (1, 2, 0)
    );
}

#[test]
fn an_inserted_entry_replaces_all_after_it_and_leaves_no_gap() {
    let mut log = log(0, &[1, 1, 1]);
    log.insert(2, Entry(2));
    assert_eq!(log.position(), LogPosition { term: 2, index: 2 });
    log.insert(9, Entry(2));
    assert_eq!(log.last_index(), 2);
}

#[test]
fn compaction_keeps_the_term_of_the_base() {
    let mut log = log(0, &[1, 2, 3]);
    log.compact_to(2);
    assert_eq!((log.base(), log.len()), (LogPosition { term: 2, index: 2 }, 1));
    log.compact_to(99);
    assert_eq!(log.len(), 1, "an index that is not there changes nothing");
    log.reset(50, 9);
    assert_eq!((log.position(), log.is_empty()), (LogPosition { term: 9, index: 50 }, true));
}

#[test_case(0, 1, &[1, 2], 2; "all present")]
#[test_case(0, 1, &[1, 5], 1; "another one in its place")]
#[test_case(0, 3, &[3, 3], 0; "new ones after it")]
#[test_case(3, 1, &[9, 9], 2; "committed entries are never replaced")]
fn entries_that_the_log_has_already_are_skipped(
    committed: Index,
    previous: Index,
    terms: &[Term],
    present: usize,
) {
    let entries: Vec<Entry> = terms.iter().map(|term| Entry(*term)).collect();
    assert_eq!(log(0, &[1, 1, 2]).matching_prefix(committed, previous, &entries), present);
}

#[test]
fn next_index_never_falls_to_what_matched() {
    let mut progress = ReplicationProgress::after(20);
    assert_eq!(progress, ReplicationProgress { next_index: 21, match_index: 0 });
    progress.on_rejected(11);
    assert_eq!(progress.next_index, 11);
    progress.on_accepted(12);
    assert_eq!(progress, ReplicationProgress { next_index: 13, match_index: 12 });
    progress.on_rejected(5);
    assert_eq!(progress.next_index, 13, "a late rejection");
    progress.next_index = 30;
    progress.on_accepted(11);
    assert_eq!(
        progress,
        ReplicationProgress { next_index: 30, match_index: 12 },
        "a late answer; what was sent ahead is not sent again"
    );
    progress.resend_after_match();
    assert_eq!(progress.next_index, 13);
}

#[test_case(1_000, 0, 1_000; "clocks alike")]
#[test_case(1_000, 100_000, 1_223; "a tenth fast and a tenth slow")]
#[test_case(u64::MAX / 2, 10_000, u64::MAX / 2 / 99 * 101 + 102; "no overflow")]
fn a_grantor_waits_for_the_slowest_holder(lease: u64, drift_ppm: u64, expected: u64) {
    assert!(grantor_wait(lease, drift_ppm).abs_diff(expected) <= 1 + expected / 1_000_000);
}
