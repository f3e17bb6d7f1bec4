//! Many calls with faults drawn from a seed, and a checker of what clients and node saw of them.

use super::cases::{Stage, status_is};
use super::client::{Ask, Client, Ended};
use super::node::{Fault, Node, PARTS, Seen};
use super::wait;
use crate::config::fnv;
use crate::grpc::status;
use crate::rehearsal::stage::Setup;
use crate::rehearsal::{Outcome, check};
use futures_util::StreamExt;
use futures_util::stream;
use std::collections::BTreeMap;
use std::path::Path;

const SEED: u64 = 20_261_201;
const CALLS: usize = 2_000;
const AT_ONCE: usize = 24;
const MOST_ATTEMPTS: usize = 3;

/// The same fault for the same attempt of the same call, whenever it comes.
fn fault(seed: u64, call: &str, attempt: usize) -> Option<Fault> {
    let mut random = fastrand::Rng::with_seed(seed ^ fnv(format!("{call}/{attempt}").as_bytes()));
    let only = |code, not_processed| Some(Fault::TrailersOnly { code, not_processed });
    match random.u32(0..100) {
        0..60 => None,
        60..64 => Some(Fault::RefuseStream),
        64..68 => only("14", true),
        68..72 => only("13", false),
        72..75 => only("14", false),
        75..78 => only("5", false),
        78..81 => only("77", false),
        81..84 => Some(Fault::NoTrailers),
        84..87 => Some(Fault::ResetAfterHeaders),
        87..91 => Some(Fault::ResetAfter(random.usize(0..3))),
        91..93 => Some(Fault::CutAfter(random.usize(0..3))),
        93..95 => Some(Fault::CutEarly),
        95..97 => Some(Fault::StatusAfter(random.usize(0..3), "10")),
        _ => Some(Fault::GoAway),
    }
}

fn ask(seed: u64, number: usize) -> Ask {
    let mut random = fastrand::Rng::with_seed(seed ^ (number as u64) << 20);
    let service = ["Safe", "Keyed", "Once"][random.usize(0..3)];
    let method = ["Unary", "ClientStream", "ServerStream", "Bidi"][random.usize(0..4)];
    let streams = matches!(method, "ClientStream" | "Bidi");
    let count = if streams { random.usize(1..5) } else { 1 };
    let messages = (0..count).map(|_| vec![b'm'; random.usize(0..3_000)]).collect();
    let mut ask = Ask::new(&format!("/kit.{service}/{method}")).messages(messages);
    ask.id = format!("r{number}");
    ask.with("x-volume", &format!("v{}", random.usize(0..20)))
}

pub fn play(program: &Path) -> Outcome {
    let node = Node::scripted(Box::new(|call, attempt| fault(SEED, call, attempt)))?;
    let stage = Stage::start(program, Setup::default(), node.address, "")?;
    let clients = (0..4).map(|_| stage.client()).collect::<Outcome<Vec<Client>>>()?;
    let asks: Vec<Ask> = (0..CALLS).map(|number| ask(SEED, number)).collect();
    let mut calls = BTreeMap::new();
    // In parts, so that none of them can be stuck unseen.
    for part in asks.chunks(CALLS / 10) {
        let run = stream::iter(part.iter().enumerate())
            .map(|(i, ask)| {
                let client = &clients[i % clients.len()];
                async move { (ask.id.clone(), (ask.path.clone(), client.run(ask).await)) }
            })
            .buffer_unordered(AT_ONCE)
            .collect::<Vec<_>>();
        calls.extend(wait(run)?);
    }
    let seen: Vec<Seen> = node.seen.try_iter().collect();
    let served = audit(&calls, &seen)?;
    check(served > CALLS / 2, format!("only {served} of {CALLS} calls were served"))?;
    // All tokens are back.
    let plain = Ask { id: "last".into(), ..Ask::new("/kit.Safe/Unary") };
    let got = stage.client()?.call(&plain)?;
    check(got.statuses == 1, format!("the last call ended with {got:?}"))
}

#[derive(Default)]
struct AtNode {
    attempts: usize,
    /// The attempts that may have run: theirs came whole, or began to come, and the node did not refuse them.
    ran: Vec<usize>,
    refused: Vec<usize>,
}

/// Holds what both ends saw against the rules; returns how many calls were served.
pub fn audit(calls: &BTreeMap<String, (String, Ended)>, seen: &[Seen]) -> Outcome<usize> {
    let mut nodes: BTreeMap<&str, AtNode> = BTreeMap::new();
    for event in seen {
        match event {
            Seen::Began { call, .. } => nodes.entry(call).or_default().attempts += 1,
            Seen::Whole { call, attempt } => nodes.entry(call).or_default().ran.push(*attempt),
            Seen::Refused { call, attempt } => nodes.entry(call).or_default().refused.push(*attempt),
            _ => {}
        }
    }
    let mut served = 0;
    for (id, (path, ended)) in calls {
        let none = AtNode::default();
        let at_node = nodes.get(id.as_str()).unwrap_or(&none);
        let what = format!("{id} {path}");
        let code = ended
            .code()
            .ok_or(())
            .or_else(|()| check(false, format!("{what}: no status, but {ended:?}")).map(|()| u32::MAX))?;
        status_is(ended, code, &what)?;
        check(code <= 16, format!("{what}: status {code} is beyond the table"))?;
        check(at_node.attempts <= MOST_ATTEMPTS, format!("{what}: {} attempts", at_node.attempts))?;
        // All messages are of one attempt, and that was the last.
        let last = at_node.attempts.checked_sub(1);
        for (i, message) in ended.messages.iter().enumerate() {
            let begins = format!("{id}/{}/{i}:", last.unwrap_or(usize::MAX));
            check(
                message.starts_with(&begins),
                format!("{what}: message {i} is of another attempt than the last of {}", at_node.attempts),
            )?;
        }
        if path.starts_with("/kit.Once/") {
            check(at_node.ran.len() <= 1, format!("{what}: ran in attempts {:?}", at_node.ran))?;
            let harmless = matches!(code, status::UNAVAILABLE | status::RESOURCE_EXHAUSTED);
            check(!harmless || at_node.ran.is_empty(), format!("{what}: refused, but it has run"))?;
        }
        // Clients retry on these by themselves: nothing of an answer may be out.
        if matches!(code, status::UNAVAILABLE | status::RESOURCE_EXHAUSTED) {
            check(ended.messages.is_empty(), format!("{what}: refused after some messages"))?;
            check(ended.pushback().is_some_and(|after| after >= 0), format!("{what}: refused with no time"))?;
        }
        if code == status::OK {
            served += 1;
            check(!at_node.ran.is_empty(), format!("{what}: served, but it never ran"))?;
            if path.ends_with("/ServerStream") {
                check(ended.messages.len() == PARTS, format!("{what}: {} messages", ended.messages.len()))?;
            }
        }
    }
    Ok(served)
}

#[cfg(test)]
mod tests;
