use super::*;
use crate::agree::document::{DocumentChange, Value};

const S: Micros = 1_000_000;

/// Three voters on busy machines in virtual time. Each is blocked while it appends the one large entry.
struct BusyCluster {
    voters: Vec<Voter>,
    /// When each voter can handle its next message.
    busy_until: [Micros; 3],
    /// Messages by the time of sending, sender and receiver.
    in_flight: Vec<(Micros, VoterId, VoterId, Message)>,
    /// How long appending the large entry takes.
    append_time: Micros,
    draw: fastrand::Rng,
}

fn large_edit() -> Edit {
    let changes = BTreeMap::from([("tries".to_string(), Some(Value::Attempts(1)))]);
    let parts = BTreeMap::from([("plan".to_string(), DocumentChange { base: 0, changes })]);
    Edit { id: 1, parts, who: "ops".into(), why: "a large edit".into(), at_ms: 0 }
}

impl BusyCluster {
    fn new(seed: u64, append_time: Micros) -> BusyCluster {
        let mut draw = fastrand::Rng::with_seed(seed);
        let ids: Voters = (0..3).map(|id| (id, String::new())).collect();
        let voter =
            |id| Voter::new(id, &ids, Timings::default(), PersistentState::default(), 0, draw.u64(..));
        let voters = (0..3).map(voter).collect();
        BusyCluster { voters, busy_until: [0; 3], in_flight: Vec::new(), append_time, draw }
    }

    /// Sends a voter's messages when the voter has handled the current one.
    fn send(&mut self, now: Micros, id: VoterId, out: Output) {
        let is_large = |save: &PersistentChange| {
            matches!(save, PersistentChange::Append(_, Entry { command: Command::Edit(_), .. }))
        };
        let at = now + if out.save.iter().any(is_large) { self.append_time } else { 1_000 };
        self.busy_until[id as usize] = at;
        for (to, message) in out.send {
            let Recipient::Voter(to) = to else { continue };
            self.in_flight.push((at, id, to, message));
        }
    }

    /// When some voter first knows that the large entry is committed, within that time. The client proposes the entry
    /// to every new leader.
    fn committed_at(&mut self, within: Micros) -> Option<Micros> {
        let mut proposed_in = 0;
        for now in (0..within).step_by(1_000) {
            for id in 0..3 {
                if self.busy_until[id as usize] > now {
                    continue;
                }
                let draw = self.draw.u64(..);
                let due = |(at, _, to, _): &(Micros, VoterId, VoterId, Message)| *to == id && *at <= now;
                let voter = &mut self.voters[id as usize];
                let out = if let Some(place) = self.in_flight.iter().position(due) {
                    let (_, from, _, message) = self.in_flight.remove(place);
                    voter.step(now, draw, (from, next_incarnation(0, 0)), message)
                } else if voter.is_leader() && voter.term() > proposed_in {
                    proposed_in = voter.term();
                    voter.propose(now, large_edit()).unwrap()
                } else if now >= voter.next_tick_at() {
                    voter.tick(now, draw)
                } else {
                    continue;
                };
                if voter.state().result(1).is_some() {
                    return Some(now);
                }
                self.send(now, id, out);
            }
        }
        None
    }
}

#[test]
fn an_entry_that_delays_its_leader_beyond_the_election_timeout_is_committed() {
    let timeout = Timings::default().election_timeout;
    for (append_time, within) in [(timeout / 10, 3 * S), (3 * timeout, 30 * S)] {
        for seed in 0..40 {
            let committed_at = BusyCluster::new(seed, append_time).committed_at(within);
            assert!(
                committed_at.is_some(),
                "seed {seed}: an entry that takes {append_time} us is not committed"
            );
        }
    }
}

#[test]
fn the_election_timeout_is_doubled_only_while_terms_are_rapid() {
    let times = Timings::default();
    let mut voter = Voter::new(0, &Voters::new(), times, PersistentState::default(), 0, 0);
    let heartbeat = |term| Message::AppendRequest {
        term,
        previous_index: 0,
        previous_term: 0,
        entries: Vec::new(),
        commit: 0,
    };
    // A term, when the voter learns of it, and the expected multiple of the election timeout.
    for (term, at, multiple) in [
        (1, S, 1),
        (1, 2 * S, 1),
        (2, 2 * S, 2),
        (3, 4 * S, 4),
        (4, 5 * S, 4),
        (4, 20 * S, 1),
        (5, 20 * S, 1),
    ] {
        voter.step(at, 0, (1, next_incarnation(0, 0)), heartbeat(term));
        assert_eq!(
            voter.current_election_timeout(at),
            multiple * times.election_timeout,
            "term {term} at {at}"
        );
        assert_eq!(voter.next_tick_at(), at + multiple * times.election_timeout, "term {term} at {at}");
    }
}
