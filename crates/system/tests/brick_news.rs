//! News of many bricks at once, as edge heads hear them.

mod common;

use common::listener::EdgeListener;
use common::{System, document, until};
use pathbank_protocol::message::{Brick, BrickState, Frame, Subscription};
use std::collections::BTreeSet;

const BRICKS: usize = 300;

fn brick(number: usize) -> Brick {
    Brick {
        instance: format!("i-{number}"),
        backend: "app".into(),
        address: format!("127.9.{}.{}:80", number / 200, number % 200 + 1),
        zone: "z1".into(),
        version: "1".into(),
        capacity: 4,
        state: BrickState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
        busy: false,
    }
}

/// A system, and a link to its first control head as an edge head has it.
fn listening() -> (System, EdgeListener) {
    let system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let listener = EdgeListener::of(system.local.internal[0]);
    (system, listener)
}

// After a loss of power control heads know no brick, and all bricks report to them again within one heartbeat. Each was told alone to
// each edge head that listens: with 1,200 bricks and 74 edge heads a control head, 89,000 messages in 1.2 s. The same cause as that of
// the whole configurations, work by edge heads times what there is to tell, found by looking for it elsewhere.
#[test]
fn news_of_many_bricks_goes_to_an_edge_in_few_messages() {
    let (_system, listener) = listening();
    let updates = || {
        let heard = listener.heard().into_iter();
        let updates = heard.filter_map(|frame| match frame {
            Frame::Bricks(update) => Some(update),
            _ => None,
        });
        updates.collect::<Vec<_>>()
    };
    until("it listens", || updates().len() == 1);
    assert!(listener.say(&Frame::Heartbeats((0..BRICKS).map(brick).collect())));
    let instances = || -> BTreeSet<String> {
        updates().into_iter().flat_map(|update| update.bricks).map(|brick| brick.instance).collect()
    };
    until("all are told", || instances().len() == BRICKS);
    let messages = updates().len();
    assert!(messages <= 5, "{messages} messages for {BRICKS} bricks");
}

// What leaves is told at once, also while other news waits to go together.
#[test]
fn a_brick_that_leaves_is_told_with_its_last_word() {
    let (_system, listener) = listening();
    let told = |state: BrickState| {
        let is_told = |frame: &Frame| match frame {
            Frame::Bricks(update) => update.bricks.iter().any(|brick| brick.state == state),
            _ => false,
        };
        listener.heard().iter().any(is_told)
    };
    until("it listens", || listener.heard().iter().any(|frame| matches!(frame, Frame::Bricks(_))));
    let leaving = Brick { state: BrickState::Draining, sequence: 2, ..brick(1) };
    let back = Brick { state: BrickState::Ready, sequence: 3, ..brick(1) };
    assert!(listener.say(&Frame::Heartbeats(vec![brick(1), leaving, back])));
    until("that it leaves is told", || told(BrickState::Draining));
    let last = || {
        let frames = listener.heard().into_iter().rev();
        let mut bricks = frames.filter_map(|frame| match frame {
            Frame::Bricks(update) => update.bricks.into_iter().find(|brick| brick.instance == "i-1"),
            _ => None,
        });
        bricks.next().map(|brick| brick.state)
    };
    assert_eq!(last(), Some(BrickState::Draining), "one that leaves is never told to be ready again");
}

/// Control heads that had been killed heard of bricks that drain for the first time, and told each of them alone to all edge heads:
/// 36 MB in 1.8 s from one control head that nobody listened to, on a link of 26 MB/s that its votes needed too.
#[test]
fn many_bricks_that_leave_are_told_to_an_edge_in_few_messages() {
    let (system, listener) = listening();
    let elsewhere = EdgeListener::of(system.local.internal[0]);
    let unsubscribe = Frame::Subscribe(Subscription { wanted: false, known_index: 0 });
    until("it listens no more", || elsewhere.say(&unsubscribe));
    let leaving = |listener: &EdgeListener| -> Vec<BTreeSet<String>> {
        let told = listener.heard().into_iter().filter_map(|frame| match frame {
            Frame::Bricks(update) if !update.complete => Some(update.bricks),
            _ => None,
        });
        told.map(|bricks| bricks.into_iter().map(|brick| brick.instance).collect()).collect()
    };
    until("it listens", || listener.heard().iter().any(|frame| matches!(frame, Frame::Bricks(_))));
    let bricks = (0..BRICKS).map(|number| Brick { state: BrickState::Draining, ..brick(number) }).collect();
    assert!(listener.say(&Frame::Heartbeats(bricks)));
    for listener in [&listener, &elsewhere] {
        let told = || leaving(listener);
        until("all are told", || told().into_iter().flatten().collect::<BTreeSet<_>>().len() == BRICKS);
        assert!(told().len() <= 5, "{} messages for {BRICKS} bricks", told().len());
    }
}
