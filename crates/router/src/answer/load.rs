//! The load that a model server states in its answers.

use super::fields::whole_number;

/// `X-Pathbank-Instance-Load`: requests running, requests waiting, and slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

impl InstanceLoad {
    /// Parses the header. `None`: it does not consist of three numbers, or more requests run than there are
    /// slots.
    pub fn parse(text: &str) -> Option<InstanceLoad> {
        let mut numbers = text.split(',').map(|number| u32::try_from(whole_number(number.trim())?).ok());
        let load =
            InstanceLoad { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? };
        let is_plausible = numbers.next().is_none() && load.running <= load.slots;
        is_plausible.then_some(load)
    }
}
