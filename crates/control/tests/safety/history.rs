//! Histories of operators' calls, and the check that they are linearizable as calls to one register.
//!
//! The committed log gives the order of all accepted changes, so the check is exact: each call has one
//! position or a range of positions in that order, and a call that began after another one had ended must not
//! precede it.

use std::collections::BTreeMap;

/// The operation of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Read the configuration.
    Read,
    /// Apply the change of this number on a base.
    Change { id: u64, base: u64 },
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The configuration that this change brought; 0: there is none yet.
    Read(u64),
    /// The change is in force.
    Acknowledged,
    /// The change was rejected: another version than its base is current.
    Rejected,
    /// The answer does not say whether the change is in force, or there was none.
    Nothing,
}

/// A call from its first attempt to its answer.
#[derive(Clone, Debug)]
pub struct Call {
    pub operation: Operation,
    pub began: u64,
    pub ended: u64,
    pub outcome: Outcome,
}

/// Checks a history against the changes in the order in which they were committed. `versions`: each change's
/// version.
pub fn check(calls: &[Call], order: &[u64], versions: &BTreeMap<u64, u64>) -> Result<(), String> {
    let position_of: BTreeMap<u64, usize> =
        [(0, 0)].into_iter().chain(order.iter().enumerate().map(|(at, id)| (*id, at + 1))).collect();
    let version_at = |position: usize| match position.checked_sub(1) {
        Some(at) => versions[&order[at]],
        None => 0,
    };
    let mut positioned: Vec<(&Call, usize, bool)> = Vec::new();
    for call in calls {
        match (&call.operation, &call.outcome) {
            (Operation::Change { id, .. }, Outcome::Acknowledged) => {
                let position = position_of.get(id).ok_or(format!("acknowledged and lost: {call:?}"))?;
                positioned.push((call, *position, true));
            }
            (Operation::Change { id, .. }, Outcome::Rejected) if position_of.contains_key(id) => {
                return Err(format!("refused and in force: {call:?}"));
            }
            (Operation::Read, Outcome::Read(id)) => {
                let position = position_of.get(id).ok_or(format!("read and never committed: {call:?}"))?;
                positioned.push((call, *position, false));
            }
            _ => {}
        }
    }
    check_order(&positioned)?;
    let refusals = calls.iter().filter(|call| call.outcome == Outcome::Rejected);
    for call in refusals {
        let Operation::Change { base, .. } = call.operation else { continue };
        let before = positioned.iter().filter(|(other, ..)| other.ended < call.began);
        let earliest = before.map(|(_, position, _)| *position).max().unwrap_or(0);
        let after = positioned.iter().filter(|(other, ..)| other.began > call.ended);
        let latest = after.map(|(_, position, is_change)| position - usize::from(*is_change)).min();
        let latest = latest.unwrap_or(order.len());
        if !(earliest..=latest).any(|position| version_at(position) != base) {
            return Err(format!("refused although its base was current all the while: {call:?}"));
        }
    }
    Ok(())
}

fn check_order(positioned: &[(&Call, usize, bool)]) -> Result<(), String> {
    let mut by_beginning: Vec<&(&Call, usize, bool)> = positioned.iter().collect();
    by_beginning.sort_by_key(|(call, ..)| call.began);
    let mut by_end = by_beginning.clone();
    by_end.sort_by_key(|(call, ..)| call.ended);
    let mut ended = by_end.into_iter().peekable();
    let mut newest: Option<&(&Call, usize, bool)> = None;
    for later in by_beginning {
        while let Some(earlier) = ended.next_if(|(call, ..)| call.ended < later.0.began) {
            newest = newest.filter(|known| known.1 >= earlier.1).or(Some(earlier));
        }
        let (call, position, is_change) = later;
        let floor = newest.map_or(0, |newest| newest.1 + usize::from(*is_change));
        if *position < floor && newest.is_some_and(|newest| newest.0.ended < call.began) {
            return Err(format!(
                "an answer is older than the one before: {call:?} after {:?}",
                newest.map(|n| n.0)
            ));
        }
    }
    Ok(())
}
