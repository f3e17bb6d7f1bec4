//! Orders of a former leader, which its machine's kernel goes on sending, beside those of its successor.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../common/mod.rs"]
mod common;
mod lossy_server;

use common::{System, document, until};
use lossy_server::{ArrivedOrder, LossyServer};
use pathbank_system::local::Process;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use test_case::test_case;

const MODEL: &[(&str, &str)] = &[("X-Pathbank-Model", "m1"), ("X-Pathbank-Token-Count", "10,10")];
/// Less than the kernel goes on for.
const LOSSES_LAST: Duration = Duration::from_millis(1_000);
/// How long the kernel goes on at most, the successor's election and its first order, on a busy machine.
const NEXT_LEADER_ACTS_WITHIN: Duration = Duration::from_secs(10);
/// A leader that hands over sees its last order answered first, 1.4 s after it was written at most: the kernel's next
/// transmission. Its successor does not wait any more.
const HAND_OVER_WITHIN: Duration = Duration::from_millis(2_900);

/// The signal that ends a leader's time: it hands over, is killed, or stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Term,
    Kill,
    Stop,
}

impl Signal {
    fn send(self, process: &Process) {
        let name = format!("{self:?}").to_uppercase();
        let id = process.id().expect("it runs").to_string();
        assert!(Command::new("kill").args(["-s", &name, &id]).status().expect("kill runs").success());
    }
}

/// Guards against a former leader's order that arrives after an order of its successor, because the successor acts
/// while what the former leader has written is still on its way.
#[test_case(Signal::Term; "the leader hands over")]
#[test_case(Signal::Kill; "the leader is killed")]
#[test_case(Signal::Stop; "the leader stands still")]
fn an_order_that_was_lost_at_first_arrives_before_those_of_the_next_leader(signal: Signal) {
    let system = System::started();
    let address = SocketAddr::new(system.ingress.ip(), 0);
    let server = LossyServer::start(address, system.control.clone(), LOSSES_LAST);
    system.configure(0, &document(3));
    system.until_ready();
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    let first_token = system.status(leader).unwrap()["term"].as_u64().unwrap();
    let is_later = |order: &&ArrivedOrder| order.token > first_token;
    let stops = AtomicBool::new(false);
    server.arm();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stops.load(Ordering::Acquire) {
                system.ask("/llm/x", "id-1", "key-1", MODEL, "");
            }
        });
        until("an order is on its way", || server.lossy_since().is_some());
        let written_at = server.lossy_since().unwrap();
        signal.send(&system.local.cores[leader]);
        until("orders of both leaders have arrived", || {
            let orders = server.orders();
            orders.iter().any(|order| order.token == first_token)
                && orders.iter().any(|order| is_later(&order))
        });
        stops.store(true, Ordering::Release);
        let orders = server.orders();
        let tokens: Vec<u64> = orders.iter().map(|order| order.token).collect();
        assert!(tokens.is_sorted(), "{tokens:?}");
        let next_acts_after = orders.iter().find(is_later).unwrap().at - written_at;
        let within = if signal == Signal::Term { HAND_OVER_WITHIN } else { NEXT_LEADER_ACTS_WITHIN };
        assert!(next_acts_after < within, "{next_acts_after:?}");
    });
}
