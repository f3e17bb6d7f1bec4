//! Two processes of one head, while one takes over from the other: what each may use, and when the new one may begin.
//! Decides from what is seen of the other; knows no files.
//!
//! To everybody outside they are one head. While both live each keeps to half of what is the head's, and the new one
//! begins only once the old one has said that it does so. What a store of a limit held is not handed over: the old one
//! goes on with no more than half of it, and the new one begins with nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The other process looks every `LOOK`; one that has not answered after this hangs, or is another program's. What it
/// spends is then not known, and the new one goes on with its half.
const NO_WORD: Duration = Duration::from_secs(3);
/// How often each looks for the other.
pub const LOOK: Duration = Duration::from_millis(50);
/// A look may come while the other one is being looked at: it is gone only when it was not seen so often in a row.
const GONE: u32 = 2;

/// What is seen of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    pub lives: bool,
    /// It says that it keeps to its half.
    pub halved: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Another one lives and may still spend all; nothing is accepted.
    Arriving,
    Together,
    Alone,
}

/// What this process does from here on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stand {
    pub accept: bool,
    /// It keeps to half, and says so.
    pub halved: bool,
}

#[derive(Debug)]
pub struct Pair {
    state: State,
    since: Instant,
    missed: u32,
}

impl Pair {
    pub fn new(now: Instant) -> Pair {
        Pair { state: State::Arriving, since: now, missed: 0 }
    }

    pub fn look(&mut self, now: Instant, other: Seen) -> Stand {
        self.missed = if other.lives { 0 } else { self.missed + 1 };
        self.state = match self.state {
            _ if self.missed >= GONE => State::Alone,
            State::Arriving if other.lives && other.halved || now >= self.since + NO_WORD => State::Together,
            State::Alone if other.lives => State::Together,
            state => state,
        };
        Stand { accept: self.state != State::Arriving, halved: self.state != State::Alone }
    }
}

/// The part of its bounds that this process may use: all of them, or half.
#[derive(Clone, Debug, Default)]
pub struct Part(Arc<AtomicBool>);

impl Part {
    pub fn halve(&self, halved: bool) {
        self.0.store(halved, Ordering::Relaxed);
    }

    pub fn of(&self, bound: usize) -> usize {
        if self.0.load(Ordering::Relaxed) { (bound / 2).max(1) } else { bound }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOBODY: Seen = Seen { lives: false, halved: false };
    const WHOLE: Seen = Seen { lives: true, halved: false };
    const HALF: Seen = Seen { lives: true, halved: true };

    /// `accept` as `a`, `halved` as `h`.
    fn word(stand: Stand) -> String {
        format!("{}{}", if stand.accept { "a" } else { "-" }, if stand.halved { "h" } else { "-" })
    }

    #[test]
    fn nobody_begins_before_the_other_has_halved_and_nobody_has_all_while_two_live() {
        for (name, looks) in [
            ("alone", &[(0, NOBODY, "-h"), (1, NOBODY, "a-"), (9_999, NOBODY, "a-")][..]),
            ("takes over", &[(0, WHOLE, "-h"), (50, WHOLE, "-h"), (100, HALF, "ah"), (150, NOBODY, "ah")]),
            ("is left alone", &[(0, HALF, "ah"), (50, NOBODY, "ah"), (100, NOBODY, "a-")]),
            (
                "one look fails",
                &[(0, HALF, "ah"), (50, NOBODY, "ah"), (100, HALF, "ah"), (150, NOBODY, "ah")],
            ),
            (
                "no word",
                &[(0, WHOLE, "-h"), (2_999, WHOLE, "-h"), (3_000, WHOLE, "ah"), (9_000, WHOLE, "ah")],
            ),
            ("both arrive", &[(0, HALF, "ah"), (50, HALF, "ah")]),
            (
                "is taken over, and the new one dies",
                &[
                    (0, NOBODY, "-h"),
                    (1, NOBODY, "a-"),
                    (500, HALF, "ah"),
                    (550, NOBODY, "ah"),
                    (600, NOBODY, "a-"),
                ],
            ),
        ] {
            let start = Instant::now();
            let mut pair = Pair::new(start);
            for (at, other, wanted) in looks {
                let stand = pair.look(start + Duration::from_millis(*at), *other);
                assert_eq!(word(stand), *wanted, "{name} at {at}");
            }
        }
    }

    #[test]
    fn whatever_two_processes_see_of_each_other_in_any_order_they_never_have_more_than_one_heads() {
        // Each look is at what the other one's last look made public.
        for order in 0..1u32 << 12 {
            let start = Instant::now();
            let mut pairs = [Pair::new(start), Pair::new(start)];
            let mut public = [Stand { accept: false, halved: true }; 2];
            let mut alive = [true, false];
            for step in 0..12 {
                let who = (order >> step & 1) as usize;
                if !alive[who] {
                    // It starts: it is seen as living, and has said nothing of a half yet.
                    alive[who] = true;
                    public[who] = Stand { accept: false, halved: false };
                    continue;
                }
                let other = 1 - who;
                let seen = Seen { lives: alive[other], halved: alive[other] && public[other].halved };
                public[who] = pairs[who].look(start + LOOK * step, seen);
                let spends = |i: usize| match public[i] {
                    Stand { accept: true, halved: false } => 2,
                    Stand { accept: true, halved: true } => 1,
                    _ => 0,
                };
                assert!(spends(0) + spends(1) <= 2, "{order:012b} step {step}: {public:?}");
            }
        }
    }
}
