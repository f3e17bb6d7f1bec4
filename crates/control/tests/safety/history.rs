//! What operators saw, and whether one register could have answered so.
//!
//! The committed log gives the one order of all changes that were taken, so the check is exact: each call is at one place of
//! that order or has a range of places, and a call that began after another one had ended must not be before it.

use std::collections::BTreeMap;

/// What a call wanted.
#[derive(Clone, Debug, PartialEq)]
pub enum Wanted {
    /// The configuration.
    Read,
    /// A change of this number on a base.
    Change { id: u64, base: u64 },
}

/// What it got in the end.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    /// The configuration of this change; 0: none yet.
    Read(u64),
    /// The change is in force.
    Acknowledged,
    /// Another version than its base is current.
    Refused,
    /// No clear answer.
    Nothing,
}

/// A call from its first try to its answer.
#[derive(Clone, Debug)]
pub struct Call {
    pub wanted: Wanted,
    pub began: u64,
    pub ended: u64,
    pub got: Got,
}

/// Checks a history against the changes in the order in which they were committed. `versions`: each change's version.
pub fn check(calls: &[Call], order: &[u64], versions: &BTreeMap<u64, u64>) -> Result<(), String> {
    let place_of: BTreeMap<u64, usize> =
        [(0, 0)].into_iter().chain(order.iter().enumerate().map(|(at, id)| (*id, at + 1))).collect();
    let version_at = |place: usize| match place.checked_sub(1) {
        Some(at) => versions[&order[at]],
        None => 0,
    };
    let mut placed: Vec<(&Call, usize, bool)> = Vec::new();
    for call in calls {
        match (&call.wanted, &call.got) {
            (Wanted::Change { id, .. }, Got::Acknowledged) => {
                let place = place_of.get(id).ok_or(format!("acknowledged and lost: {call:?}"))?;
                placed.push((call, *place, true));
            }
            (Wanted::Change { id, .. }, Got::Refused) if place_of.contains_key(id) => {
                return Err(format!("refused and in force: {call:?}"));
            }
            (Wanted::Read, Got::Read(id)) => {
                let place = place_of.get(id).ok_or(format!("read and never committed: {call:?}"))?;
                placed.push((call, *place, false));
            }
            _ => {}
        }
    }
    check_order(&placed)?;
    let refusals = calls.iter().filter(|call| call.got == Got::Refused);
    for call in refusals {
        let Wanted::Change { base, .. } = call.wanted else { continue };
        let before = placed.iter().filter(|(other, ..)| other.ended < call.began);
        let earliest = before.map(|(_, place, _)| *place).max().unwrap_or(0);
        let after = placed.iter().filter(|(other, ..)| other.began > call.ended);
        let latest = after.map(|(_, place, is_change)| place - usize::from(*is_change)).min();
        let latest = latest.unwrap_or(order.len());
        if !(earliest..=latest).any(|place| version_at(place) != base) {
            return Err(format!("refused although its base was current all the while: {call:?}"));
        }
    }
    Ok(())
}

fn check_order(placed: &[(&Call, usize, bool)]) -> Result<(), String> {
    let mut by_beginning: Vec<&(&Call, usize, bool)> = placed.iter().collect();
    by_beginning.sort_by_key(|(call, ..)| call.began);
    let mut by_end = by_beginning.clone();
    by_end.sort_by_key(|(call, ..)| call.ended);
    let mut ended = by_end.into_iter().peekable();
    let mut newest: Option<&(&Call, usize, bool)> = None;
    for later in by_beginning {
        while let Some(earlier) = ended.next_if(|(call, ..)| call.ended < later.0.began) {
            newest = newest.filter(|known| known.1 >= earlier.1).or(Some(earlier));
        }
        let (call, place, is_change) = later;
        let floor = newest.map_or(0, |newest| newest.1 + usize::from(*is_change));
        if *place < floor && newest.is_some_and(|newest| newest.0.ended < call.began) {
            return Err(format!(
                "older than what had been answered: {call:?} after {:?}",
                newest.map(|n| n.0)
            ));
        }
    }
    Ok(())
}
