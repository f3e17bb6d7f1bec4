//! Clients that don't behave, before the real programs on loopback addresses: no process ends, memory and
//! descriptors stay under what the settings allow, and ordinary requests and operators' calls are answered
//! beside the crowd and after it.
//!
//! The crowd and the bounds follow from the settings in `case`; one case runs at a time.
//! `PATHBANK_TEST_LOGS=1` shows what the processes log. `PATHBANK_SOAK_SEEDS=1..50` plays more seeds of the soak,
//! `PATHBANK_SOAK_EDGES=20` starts so many edges.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod case;
#[path = "../common/mod.rs"]
mod common;
mod crowd;
mod meter;
mod soak;
mod strangers;

use case::{
    Case, MAX_BODY_BYTES, MEMORY_MB, ONE_AT_A_TIME, configuration, long_configuration, send_body,
    start_endless_events, start_long_answers,
};
use common::until;
use crowd::{Crowd, Reads, Script, begins_answer};
use meter::MIB;
use std::sync::PoisonError;
use strangers::Strangers;

/// So many bodies at the limit are three times what the process may hold.
const BODIES: usize = 3 * MEMORY_MB as usize * MIB as usize / MAX_BODY_BYTES;
/// A body in chunks of one byte; each chunk costs its holder some forty bytes.
const TINY_CHUNK_BODY_BYTES: usize = 96 * 1_024;
/// So many of these bodies, held chunk by chunk, are more than the process may hold.
const TINY_CHUNK_BODIES: usize = 32;
const TINY_CHUNK_MEMORY_MB: u64 = 32;
/// Far over the limit.
const FAR_OVER_LIMIT_BYTES: usize = 64 * MAX_BODY_BYTES;
/// Under the longest head that is read.
const LONG_HEAD_BYTES: usize = 60 * 1_024;
/// Fewer than an edge takes by `limits.max_fds`; with heads of that length, more than the process may hold.
const CONNECTIONS: usize = 2_000;
/// Streams that run at once; with what is sent behind their requests, more than the process may hold.
const STREAMS: usize = 700;
/// What a client sends behind its request.
const SURPLUS_BYTES: usize = 1_024 * 1_024;
/// The longest body of an operator's call.
const OPERATOR_BODY_BYTES: usize = 16 * 1_024 * 1_024;
/// So many operators' bodies are four times what a core may hold.
const OPERATOR_BODIES: usize = 4 * MEMORY_MB as usize * MIB as usize / OPERATOR_BODY_BYTES;
/// The longest message between processes.
const FRAME_BYTES: usize = 32 * 1_024 * 1_024;
/// Model servers that were never there, with so many models each; together, more than a core may hold.
const HEARTBEATS: usize = 400;
const HEARTBEAT_MODELS: usize = 800;
const HEARTBEAT_CLIENTS: usize = 4;
/// Under the longest event that a stream may have.
const LONG_EVENT_BYTES: usize = 960 * 1_024;
/// Together, more than an edge may hold.
const LONG_EVENTS: usize = 180;
/// More than the kernel takes of an answer whose client does not read.
const LONG_ANSWER_BYTES: usize = 6 * 1_024 * 1_024;
/// Twice as many exchanges with model servers as an edge with this memory carries at once.
const LONG_ANSWERS: usize = 400;
/// The deadline of requests whose answers are read slowly, milliseconds.
const SHORT_DEADLINE_MS: u64 = 4_000;
const SLOW_READERS: usize = 20;
/// A configuration that is more than the kernel takes of an answer, ...
const LONG_CONFIGURATION_BYTES: usize = 3 * 1_024 * 1_024;
/// ... and so many of them are three times what a core may hold.
const CONFIGURATION_READS: usize = 3 * MEMORY_MB as usize * MIB as usize / LONG_CONFIGURATION_BYTES;
/// A change that does not fit into what every link holds in advance.
const CHANGE_BYTES: usize = 512 * 1_024;
/// Strangers on the internal port of each core.
const STRANGERS: usize = 12;
/// What a stranger sends in short messages.
const FLOOD_BYTES: usize = 64 * 1_024 * 1_024;
const MODEL_HEADERS: &str = "X-Pathbank-Model: m1\r\nX-Pathbank-Token-Count: 10,10\r\n";
const STOPS_SHORT_BY: usize = 16;

fn crowd_of(count: usize, script: impl Fn() -> Script) -> Vec<Script> {
    (0..count).map(|_| script()).collect()
}

#[test]
fn a_body_at_the_limit_is_served_in_calm() {
    let case = Case::started();
    until("a body at the limit is served", || {
        send_body(&case, "at-limit", MAX_BODY_BYTES).is_some_and(|(status, _)| status == 200)
    });
    let (status, _) = send_body(&case, "over-limit", MAX_BODY_BYTES + 1).expect("an answer");
    assert_eq!(status, 413, "a body over the limit");
}

#[test]
fn large_bodies_that_stop_short_of_their_end() {
    let mut case = Case::started();
    let script = || Script::with_length("/app/x", MAX_BODY_BYTES, MAX_BODY_BYTES - STOPS_SHORT_BY);
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(BODIES, script), Reads::Everything);
}

#[test]
fn large_bodies_that_are_whole() {
    let mut case = Case::started();
    let script = || Script::with_length("/app/x", MAX_BODY_BYTES, MAX_BODY_BYTES);
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(BODIES, script), Reads::Everything);
}

#[test]
fn large_chunks_that_stop_short_of_their_end() {
    let mut case = Case::started();
    let script = || Script::chunked("/app/x", 32 * 1_024, MAX_BODY_BYTES);
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(BODIES, script), Reads::Everything);
}

#[test]
fn tiny_chunks_that_stop_short_of_their_end() {
    let mut case = Case::with_memory(TINY_CHUNK_MEMORY_MB);
    let script = || Script::chunked("/app/x", 1, TINY_CHUNK_BODY_BYTES);
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(TINY_CHUNK_BODIES, script), Reads::Everything);
}

#[test]
fn bodies_far_over_the_limit() {
    let mut case = Case::started();
    let announced = || Script::with_length("/app/x", FAR_OVER_LIMIT_BYTES, FAR_OVER_LIMIT_BYTES);
    let chunked = || Script::chunked("/app/x", 32 * 1_024, FAR_OVER_LIMIT_BYTES);
    let scripts = [crowd_of(BODIES / 2, announced), crowd_of(BODIES / 2, chunked)].concat();
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, scripts, Reads::Everything);
}

#[test]
fn heads_that_do_not_end() {
    let mut case = Case::started();
    let (edge, ingress) = (case.edge(), case.system.ingress);
    let scripts = crowd_of(CONNECTIONS, || Script::endless_head(LONG_HEAD_BYTES));
    case.bears(edge, ingress, scripts, Reads::Nothing);
}

#[test]
fn bytes_behind_a_request_whose_answer_is_a_stream() {
    let mut case = Case::started();
    let (edge, ingress) = (case.edge(), case.system.ingress);
    let script = || Script::with_surplus("/llm/x", MODEL_HEADERS, b"hello", SURPLUS_BYTES);
    case.bears(edge, ingress, crowd_of(STREAMS, script), Reads::Nothing);
}

#[test]
fn answers_that_are_not_read() {
    let mut case = Case::started();
    // The stand-in's answer holds the request's body.
    let script = || Script::with_length("/again/x", MAX_BODY_BYTES, MAX_BODY_BYTES);
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(BODIES, script), Reads::Nothing);
}

#[test]
fn heads_that_do_not_end_at_the_readiness_address() {
    let mut case = Case::started();
    let (edge, readiness) = (case.edge(), case.system.readiness);
    let scripts = crowd_of(CONNECTIONS, || Script::endless_head(LONG_HEAD_BYTES));
    case.bears(edge, readiness, scripts, Reads::Nothing);
}

#[test]
fn operators_bodies_that_stop_short_of_their_end() {
    let mut case = Case::started();
    let path = "/api/config/replace";
    let script = || Script::with_length(path, OPERATOR_BODY_BYTES, OPERATOR_BODY_BYTES - STOPS_SHORT_BY);
    let (core, control) = (case.core(), case.system.control[0]);
    case.bears(core, control, crowd_of(OPERATOR_BODIES, script), Reads::Everything);
}

#[test]
fn operators_bodies_that_are_whole() {
    let mut case = Case::started();
    let script = || Script::with_length("/api/config/replace", OPERATOR_BODY_BYTES, OPERATOR_BODY_BYTES);
    let (core, control) = (case.core(), case.system.control[0]);
    case.bears(core, control, crowd_of(OPERATOR_BODIES, script), Reads::Everything);
}

#[test]
fn operators_bodies_in_tiny_chunks() {
    let mut case = Case::with_memory(TINY_CHUNK_MEMORY_MB);
    let script = || Script::chunked("/api/config/replace", 1, TINY_CHUNK_BODY_BYTES);
    let (core, control) = (case.core(), case.system.control[0]);
    case.bears(core, control, crowd_of(TINY_CHUNK_BODIES, script), Reads::Everything);
}

#[test]
fn events_of_a_model_server_that_do_not_end() {
    let mut case = Case::started();
    let endless = || Script::with_surplus("/endless/x", MODEL_HEADERS, b"hello", 0);
    start_endless_events(&case.system, LONG_EVENT_BYTES);
    until("a stream begins", || begins_answer(case.system.ingress, &endless()));
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(LONG_EVENTS, endless), Reads::Everything);
}

#[test]
fn heartbeats_of_many_model_servers() {
    let mut case = Case::started();
    let script = || Script::heartbeats(HEARTBEATS, HEARTBEAT_MODELS);
    let (core, control) = (case.core(), case.system.control[0]);
    case.bears(core, control, crowd_of(HEARTBEAT_CLIENTS, script), Reads::Everything);
}

#[test]
fn messages_of_strangers_that_stop_short_of_their_end() {
    let mut case = Case::started();
    let (core, internal) = (case.core(), case.system.local.internal[0]);
    let script = || Script {
        head: (FRAME_BYTES as u32).to_le_bytes().to_vec(),
        part: vec![0; 64 * 1_024],
        parts: FRAME_BYTES / (64 * 1_024) - 1,
        end: Vec::new(),
    };
    case.bears(core, internal, crowd_of(OPERATOR_BODIES, script), Reads::Nothing);
}

#[test]
fn long_answers_that_are_not_read_leave_room_for_ordinary_requests() {
    let mut case = Case::started();
    start_long_answers(&case.system, LONG_ANSWER_BYTES);
    let script = || Script::with_length("/long/x", 1, 1);
    until("a long answer begins", || begins_answer(case.system.ingress, &script()));
    let (edge, ingress) = (case.edge(), case.system.ingress);
    case.bears(edge, ingress, crowd_of(LONG_ANSWERS, script), Reads::Nothing);
}

#[test]
fn a_long_answer_that_is_read_slowly_ends_after_its_deadline() {
    let case = Case::started();
    start_long_answers(&case.system, LONG_ANSWER_BYTES);
    let script = || Script::in_a_hurry("/long/x", SHORT_DEADLINE_MS);
    until("a long answer begins", || begins_answer(case.system.ingress, &script()));
    until("the exchange of that client ends", || case.held_by_requests() == Some(0));
    let crowd = Crowd::start(case.system.ingress, crowd_of(SLOW_READERS, script), Reads::Slowly);
    until("exchanges begin", || case.held_by_requests() > Some(0));
    // Reading on, the crowd would hold them for minutes.
    until("the exchanges end", || case.held_by_requests() == Some(0));
    case.serves("beside");
    crowd.leave();
}

#[test]
fn answers_to_operators_that_are_not_read() {
    let mut case = Case::started();
    case.system.configure(3, &long_configuration(4, LONG_CONFIGURATION_BYTES));
    let (core, control) = (case.core(), case.system.control[0]);
    let scripts = crowd_of(CONFIGURATION_READS, || Script::get("/api/config/read"));
    case.bears(core, control, scripts, Reads::Nothing);
}

#[test]
fn introduced_strangers_that_stop_short_of_a_message_do_not_hold_up_changes() {
    let case = Case::with_cores(3, MEMORY_MB);
    let strangers = case.system.local.internal.iter().map(|internal| Strangers::slow(*internal, STRANGERS));
    let strangers: Vec<Strangers> = strangers.collect();
    strangers.iter().for_each(Strangers::until_sent);
    case.system.configure(3, &long_configuration(4, CHANGE_BYTES));
    case.serves("beside");
    strangers.into_iter().for_each(Strangers::leave);
    case.system.configure(4, &configuration(5));
}

#[test]
fn introduced_strangers_that_send_many_short_messages() {
    let mut case = Case::started();
    let (core, internal) = (case.core(), case.system.local.internal[0]);
    let script = || strangers::flood(FLOOD_BYTES);
    case.bears_while_sending(core, internal, crowd_of(STRANGERS, script));
}

/// What the soak plays without another word.
const SOAK_SEEDS: std::ops::Range<u64> = 1..4;
const SOAK_EDGES: u8 = 2;

fn soak_seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("PATHBANK_SOAK_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(SOAK_SEEDS, |(first, end)| first.parse().expect("a seed")..end.parse().expect("a seed"))
}

#[test]
fn crowds_beside_signals_restarts_and_changes() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let edges =
        std::env::var("PATHBANK_SOAK_EDGES").map_or(SOAK_EDGES, |text| text.parse().expect("a number"));
    let mut failed = Vec::new();
    for seed in soak_seeds() {
        let (found, summary) = soak::play(seed, edges);
        println!("{summary}");
        found.iter().for_each(|finding| println!("  {finding}"));
        if !found.is_empty() {
            failed.push(format!("seed {seed}: {}", found[0]));
        }
    }
    assert!(failed.is_empty(), "PATHBANK_SOAK_SEEDS=N..N+1 plays one again: {failed:#?}");
}
