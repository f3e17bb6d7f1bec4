//! Updates of many model servers at once, as edges receive them.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::listener::EdgeListener;
use common::{System, document, until};
use pathbank_protocol::message::{Frame, ModelServer, ModelServerState, Subscription};
use std::collections::BTreeSet;

const SERVERS: usize = 300;

fn server(number: usize) -> ModelServer {
    let address = format!("127.9.{}.{}:80", number / 200, number % 200 + 1);
    common::heartbeat(&format!("i-{number}"), &address, 1)
}

/// Starts a system, and opens a link to its first core as an edge does.
fn connect_edge() -> (System, EdgeListener) {
    let system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    let listener = EdgeListener::of(system.local.internal[0]);
    (system, listener)
}

// Guards against one message for each model server and edge. After a power loss cores know no model server,
// and all model servers report to them again within one heartbeat interval. Each was sent separately to each
// subscribed edge: with 1,200 model servers and 74 edges for each core, 89,000 messages in 1.2 s. As with
// full configurations, the work grew with the edges times what there is to publish.
#[test]
fn updates_of_many_servers_are_sent_in_few_messages() {
    let (_system, listener) = connect_edge();
    let updates = || {
        let received = listener.heard().into_iter();
        let updates = received.filter_map(|frame| match frame {
            Frame::ModelServers(update) => Some(update),
            _ => None,
        });
        updates.collect::<Vec<_>>()
    };
    until("the edge is subscribed", || updates().len() == 1);
    assert!(listener.say(&Frame::Heartbeats((0..SERVERS).map(server).collect())));
    let instances = || -> BTreeSet<String> {
        updates().into_iter().flat_map(|update| update.servers).map(|server| server.instance).collect()
    };
    until("all model servers are published", || instances().len() == SERVERS);
    let messages = updates().len();
    assert!(messages <= 5, "{messages} messages for {SERVERS} model servers");
}

// A draining server is published at once, even while other updates wait to be sent together.
#[test]
fn a_draining_server_is_published_at_once_and_never_ready_again() {
    let (_system, listener) = connect_edge();
    let published = |state: ModelServerState| {
        let is_told = |frame: &Frame| match frame {
            Frame::ModelServers(update) => update.servers.iter().any(|server| server.state == state),
            _ => false,
        };
        listener.heard().iter().any(is_told)
    };
    until("it listens", || listener.heard().iter().any(|frame| matches!(frame, Frame::ModelServers(_))));
    let leaving = ModelServer { state: ModelServerState::Draining, sequence: 2, ..server(1) };
    let back = ModelServer { state: ModelServerState::Ready, sequence: 3, ..server(1) };
    assert!(listener.say(&Frame::Heartbeats(vec![server(1), leaving, back])));
    until("the drain is published", || published(ModelServerState::Draining));
    let last = || {
        let frames = listener.heard().into_iter().rev();
        let mut servers = frames.filter_map(|frame| match frame {
            Frame::ModelServers(update) => update.servers.into_iter().find(|server| server.instance == "i-1"),
            _ => None,
        });
        servers.next().map(|server| server.state)
    };
    assert_eq!(
        last(),
        Some(ModelServerState::Draining),
        "a draining server is never published as ready again"
    );
}

/// Guards against one message for each draining server. Restarted cores learned of draining model servers for
/// the first time, and published each separately to all edges: 36 MB in 1.8 s from one core to which no edge
/// was subscribed, on a link of 26 MB/s that also carried its votes.
#[test]
fn many_draining_servers_are_published_in_few_messages() {
    let (system, listener) = connect_edge();
    let unsubscribed = EdgeListener::of(system.local.internal[0]);
    let unsubscribe = Frame::Subscribe(Subscription { wanted: false, known_index: 0 });
    until("the second edge unsubscribes", || unsubscribed.say(&unsubscribe));
    let leaving = |listener: &EdgeListener| -> Vec<BTreeSet<String>> {
        let published = listener.heard().into_iter().filter_map(|frame| match frame {
            Frame::ModelServers(update) if !update.complete => Some(update.servers),
            _ => None,
        });
        published.map(|servers| servers.into_iter().map(|server| server.instance).collect()).collect()
    };
    until("it listens", || listener.heard().iter().any(|frame| matches!(frame, Frame::ModelServers(_))));
    let servers = (0..SERVERS)
        .map(|number| ModelServer { state: ModelServerState::Draining, ..server(number) })
        .collect();
    assert!(listener.say(&Frame::Heartbeats(servers)));
    for listener in [&listener, &unsubscribed] {
        let published = || leaving(listener);
        until("all model servers are published", || {
            published().into_iter().flatten().collect::<BTreeSet<_>>().len() == SERVERS
        });
        assert!(published().len() <= 5, "{} messages for {SERVERS} model servers", published().len());
    }
}
