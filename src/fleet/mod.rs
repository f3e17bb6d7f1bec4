//! A view of which heads run, kept by the heads themselves. No I/O and no clock: datagrams, times and a seed are passed
//! in, what is to be sent comes out. `docs/design/fleet.md` has the promise and why it holds.
//!
//! A view is an opinion: no rule of the protocol may rest on it.

pub mod datagram;
pub mod member;
pub mod view;

/// Microseconds of the head's own monotonic clock.
pub type Micros = u64;
/// A head's place in the list of heads that every head is given.
pub type Number = u16;

/// One life of a head: when it started, in seconds of its clock, and how often it has spoken up against a verdict since. Of
/// two lives the greater one is the later one, whatever the clock said: whoever hears of an own one that is greater takes the
/// next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life(u64);

impl Life {
    /// So many bits are told.
    pub const BITS: u32 = 48;
    const MOST: u64 = (1 << Life::BITS) - 1;

    pub fn began(seconds: u64) -> Life {
        Life((seconds.clamp(1, u64::from(u32::MAX))) << 16)
    }

    pub fn of(bits: u64) -> Life {
        Life(bits & Life::MOST)
    }

    pub fn bits(self) -> u64 {
        self.0
    }

    /// Lives in which a head only spoke up have the start of the one before.
    pub fn start(self) -> u64 {
        self.0 >> 16
    }

    pub fn next(self) -> Life {
        Life((self.0 + 1).min(Life::MOST))
    }

    /// Nothing was ever heard of that head.
    pub fn none(self) -> bool {
        self.0 == 0
    }
}

/// What is thought of a head in one life, from what weighs least to what weighs most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It runs, and has not heard all that the others know.
    #[default]
    Joining,
    Alive,
    /// It did not answer. Unless it speaks up, it is dead before long.
    Suspect,
    Dead,
    /// It said so itself.
    Left,
}

impl State {
    pub const ALL: [State; 5] = [State::Joining, State::Alive, State::Suspect, State::Dead, State::Left];

    /// It takes part: it may be asked, and told.
    pub fn runs(self) -> bool {
        matches!(self, State::Joining | State::Alive | State::Suspect)
    }

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
    pub life: Life,
    pub state: State,
}

/// What a head tells of itself, with everything that it says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct About {
    /// The version of the node list that it holds.
    pub list: u32,
    /// The last edit that it has in force; 0 where it takes part in no agreement.
    pub revision: u32,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub member: Number,
    pub before: Record,
    pub now: Record,
    pub why: Why,
}
