//! A view of which heads run, kept by the heads themselves by gossip (after SWIM). No I/O and no clock:
//! datagrams, times and a seed are passed in, what is to be sent comes out. `docs/design/fleet.md` has the
//! promise and why it holds.
//!
//! A view is an opinion: no rule of a protocol may rest on it.
//!
//! ```
//! use pathbank_coordination::gossip::member::{Member, Times};
//!
//! let times = Times::default();
//! let mut one = Member::new(0, 2, times, 0, 1_700_000_000, 1);
//! let mut other = Member::new(1, 2, times, 0, 1_700_000_000, 2);
//! let mut now = 0;
//! while one.view().count() < 2 {
//!     now += times.period;
//!     for said in one.tick(now).send {
//!         for answer in other.hear(now, said).send {
//!             one.hear(now, answer);
//!         }
//!     }
//! }
//! assert_eq!(one.view().running().collect::<Vec<_>>(), [0, 1]);
//! ```

pub mod datagram;
pub mod member;
pub mod view;

/// Microseconds of the head's own monotonic clock.
pub type Micros = u64;
/// A head's place in the list of heads that every head is given.
pub type Number = u16;

/// One incarnation of a head: when it started, in seconds of its clock, and how often it has spoken up
/// against a verdict since. Of two lives the greater one is the later one, whatever the clock said: whoever
/// hears of an own one that is greater takes the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(u64);

impl Incarnation {
    /// So many bits are told.
    pub const BITS: u32 = 48;
    const MOST: u64 = (1 << Incarnation::BITS) - 1;

    /// An incarnation that began at this time of day, seconds.
    pub fn began(seconds: u64) -> Incarnation {
        Incarnation((seconds.clamp(1, u64::from(u32::MAX))) << 16)
    }

    /// An incarnation by its bits, as it is told.
    pub fn of(bits: u64) -> Incarnation {
        Incarnation(bits & Incarnation::MOST)
    }

    /// Its bits, as it is told.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Lives in which a head only spoke up have the start of the one before.
    pub fn start(self) -> u64 {
        self.0 >> 16
    }

    /// The life that a head takes to speak up against a verdict on this one.
    pub fn next(self) -> Incarnation {
        Incarnation((self.0 + 1).min(Incarnation::MOST))
    }

    /// Nothing was ever heard of that head.
    pub fn none(self) -> bool {
        self.0 == 0
    }
}

/// What is thought of a head in one incarnation, from what weighs least to what weighs most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It runs, and has not heard all that the others know.
    #[default]
    Joining,
    /// It runs.
    Alive,
    /// It did not answer. Unless it speaks up, it is dead before long.
    Suspect,
    /// It has not spoken up in time.
    Dead,
    /// It said so itself.
    Left,
}

impl State {
    /// All of them, in the order of their bytes on the wire.
    pub const ALL: [State; 5] = [State::Joining, State::Alive, State::Suspect, State::Dead, State::Left];

    /// It takes part: it may be asked, and told.
    pub fn runs(self) -> bool {
        matches!(self, State::Joining | State::Alive | State::Suspect)
    }

    /// Its name, for operators.
    pub fn name(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// What is known of a head: of two, the greater one counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// Its latest life that was heard of.
    pub incarnation: Incarnation,
    /// What is thought of it in that incarnation.
    pub state: State,
}

/// What a head tells of itself, with everything that it says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct About {
    /// The version of the node list that it holds.
    pub list: u32,
    /// The last edit that it has in force; 0 where it takes part in no agreement.
    pub revision: u32,
    /// It takes no new clients.
    pub draining: bool,
    /// From 0, none, to 3.
    pub pressure: u8,
}

/// Why a head is thought of as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It spoke itself.
    Heard,
    /// This head asked it in vain, and had others ask.
    Unanswered,
    /// It had been suspect for as long as it may be.
    Silent,
    /// Another one said so.
    Told(Number),
}

/// What came to be thought of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The head.
    pub member: Number,
    /// What was known of it.
    pub before: Record,
    /// What is known now.
    pub now: Record,
    /// Why it is.
    pub why: Why,
}
