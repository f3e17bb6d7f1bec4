use super::*;
use crate::agree::document::{DocumentChange, Value};

const S: Micros = 1_000_000;

/// Three voters on busy machines in virtual time: what brings the one large entry holds its voter up.
struct Busy {
    voters: Vec<Voter>,
    /// Until when each does nothing else, and what waits for it meanwhile.
    until: [Micros; 3],
    mail: Vec<(Micros, VoterId, VoterId, Message)>,
    cost: Micros,
    draw: fastrand::Rng,
}

fn large() -> Edit {
    let changes = BTreeMap::from([("tries".to_string(), Some(Value::Attempts(1)))]);
    let parts = BTreeMap::from([("plan".to_string(), DocumentChange { base: 0, changes })]);
    Edit { id: 1, parts, who: "ops".into(), why: "a large one".into(), at_ms: 0 }
}

impl Busy {
    fn new(seed: u64, cost: Micros) -> Busy {
        let mut draw = fastrand::Rng::with_seed(seed);
        let ids: Voters = (0..3).map(|id| (id, String::new())).collect();
        let voter =
            |id| Voter::new(id, &ids, Timings::default(), PersistentState::default(), 0, draw.u64(..));
        Busy { voters: (0..3).map(voter).collect(), until: [0; 3], mail: Vec::new(), cost, draw }
    }

    /// What it says leaves once it has done with it.
    fn done(&mut self, now: Micros, id: VoterId, out: Output) {
        let is_large = |save: &PersistentChange| {
            matches!(save, PersistentChange::Append(_, Entry { command: Command::Edit(_), .. }))
        };
        let at = now + if out.save.iter().any(is_large) { self.cost } else { 1_000 };
        self.until[id as usize] = at;
        for (to, message) in out.send {
            let Recipient::Voter(to) = to else { continue };
            self.mail.push((at, id, to, message));
        }
    }

    /// When the entry counts at some voter, within that time; its client asks every voter in turn, as the
    /// program does.
    fn counts(&mut self, within: Micros) -> Option<Micros> {
        let mut proposed_in = 0;
        for now in (0..within).step_by(1_000) {
            for id in 0..3 {
                if self.until[id as usize] > now {
                    continue;
                }
                let draw = self.draw.u64(..);
                let due = |(at, _, to, _): &(Micros, VoterId, VoterId, Message)| *to == id && *at <= now;
                let voter = &mut self.voters[id as usize];
                let out = if let Some(place) = self.mail.iter().position(due) {
                    let (_, from, _, message) = self.mail.remove(place);
                    voter.step(now, draw, (from, next_incarnation(0, 0)), message)
                } else if voter.is_leader() && voter.term() > proposed_in {
                    proposed_in = voter.term();
                    voter.propose(now, large()).unwrap()
                } else if now >= voter.next_tick_at() {
                    voter.tick(now, draw)
                } else {
                    continue;
                };
                if voter.state().result(1).is_some() {
                    return Some(now);
                }
                self.done(now, id, out);
            }
        }
        None
    }
}

#[test]
fn an_entry_that_delays_its_leader_beyond_the_election_timeout_is_committed() {
    let wait = Timings::default().election_timeout;
    for (cost, within) in [(wait / 10, 3 * S), (3 * wait, 30 * S)] {
        for seed in 0..40 {
            let counted = Busy::new(seed, cost).counts(within);
            assert!(counted.is_some(), "seed {seed}: an entry that takes {cost} us never counts");
        }
    }
}

#[test]
fn the_election_timeout_is_doubled_only_while_terms_are_rapid() {
    let times = Timings::default();
    let mut voter = Voter::new(0, &Voters::new(), times, PersistentState::default(), 0, 0);
    let beat = |term| Message::AppendRequest {
        term,
        previous_index: 0,
        previous_term: 0,
        entries: Vec::new(),
        commit: 0,
    };
    // A term, when it is heard of, and how many times the usual wait is waited for its leader.
    for (term, at, waits) in [
        (1, S, 1),
        (1, 2 * S, 1),
        (2, 2 * S, 2),
        (3, 4 * S, 4),
        (4, 5 * S, 4),
        (4, 20 * S, 1),
        (5, 20 * S, 1),
    ] {
        voter.step(at, 0, (1, next_incarnation(0, 0)), beat(term));
        assert_eq!(voter.current_election_timeout(at), waits * times.election_timeout, "term {term} at {at}");
        assert_eq!(voter.next_tick_at(), at + waits * times.election_timeout, "term {term} at {at}");
    }
}
