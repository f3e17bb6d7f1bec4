//! Links to other processes: those that edges and cores opened to this core, and its own to other cores.

use super::event::{Event, LinkId};
use crate::net::link::Link;
use crate::net::mesh::Mesh;
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{Frame, Hello, ProcessRole};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

/// A process that opened a link to this core.
struct Peer {
    hello: Hello,
    link: Link,
    /// It receives every update from this core.
    subscribed: bool,
}

impl Peer {
    fn is_open_edge(&self) -> bool {
        self.hello.role == ProcessRole::Edge && !self.link.is_closed()
    }
}

/// All links of this core.
pub struct PeerLinks {
    accepted: BTreeMap<LinkId, Peer>,
    mesh: Mesh,
}

impl PeerLinks {
    /// No links yet. `hello` introduces this core on those that it opens; `events` gets what happens to them.
    pub fn new(hello: Hello, events: UnboundedSender<Event>) -> PeerLinks {
        let mesh = Mesh::new(hello, move |event| drop(events.send(Event::Mesh(event))));
        PeerLinks { accepted: BTreeMap::new(), mesh }
    }

    /// Keeps links to the cores at exactly these addresses.
    pub fn connect_to(&self, addresses: &[SocketAddr]) {
        self.mesh.want(addresses);
    }

    /// Ends all links, those that others opened and those to other cores.
    pub fn close_all(&self) {
        self.accepted.values().for_each(|peer| peer.link.close());
        self.mesh.want(&[]);
    }

    /// Adds a link that another process opened.
    pub fn add(&mut self, id: LinkId, hello: Hello, link: Link) {
        self.accepted.insert(id, Peer { hello, link, subscribed: false });
    }

    /// Removes an accepted link.
    pub fn remove(&mut self, id: LinkId) {
        self.accepted.remove(&id);
    }

    /// The node name of the process at the other end.
    pub fn peer_name(&self, id: LinkId) -> Option<&str> {
        self.accepted.get(&id).map(|peer| peer.hello.name.as_str())
    }

    /// The newest format of commands that the process at the other end decodes.
    pub fn peer_command_format(&self, id: LinkId) -> Option<u32> {
        self.accepted.get(&id).map(|peer| peer.hello.command_format)
    }

    /// The sending end of an accepted link.
    pub fn link(&self, id: LinkId) -> Option<&Link> {
        self.accepted.get(&id).map(|peer| &peer.link)
    }

    /// Subscribes a peer to all updates, or ends that. Returns whether the link is known.
    pub fn set_subscribed(&mut self, id: LinkId, subscribed: bool) -> bool {
        let Some(peer) = self.accepted.get_mut(&id) else { return false };
        peer.subscribed = subscribed;
        true
    }

    /// Edges whose link is open, in the order in which they connected.
    fn open_edges(&self) -> impl Iterator<Item = (LinkId, &Peer)> {
        self.accepted.iter().filter(|(_, peer)| peer.is_open_edge()).map(|(id, peer)| (*id, peer))
    }

    /// Links of open edges with the edges' names.
    pub fn edges(&self) -> impl Iterator<Item = (LinkId, &str)> {
        self.open_edges().map(|(id, peer)| (id, peer.hello.name.as_str()))
    }

    /// Links of edges that subscribe to this core.
    pub fn subscribers(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        let edges = self.accepted.iter().filter(|(_, peer)| peer.hello.role == ProcessRole::Edge);
        edges.filter(|(_, peer)| peer.subscribed).map(|(id, peer)| (*id, &peer.link))
    }

    /// Sends to one peer. `false`: the link is unknown, closed or too slow.
    pub fn send(&self, id: LinkId, frame: &Frame) -> bool {
        self.link(id).is_some_and(|link| link.send(frame))
    }

    /// Sends a message that is encoded already, in the form that the peer reads.
    pub fn send_shared(&self, id: LinkId, message: &SharedMessage) {
        if let Some(peer) = self.accepted.get(&id) {
            peer.link.send_encoded(message.to(&peer.hello));
        }
    }

    /// Sends to all edges.
    pub fn publish_to_edges(&self, frame: &Frame) {
        self.publish(frame, |_| true);
    }

    /// Sends to edges that subscribe to this core.
    pub fn publish_to_subscribers(&self, frame: &Frame) {
        self.publish(frame, |edge| edge.subscribed);
    }

    /// Sends to edges that do not subscribe to this core.
    pub fn publish_to_others(&self, frame: &Frame) {
        self.publish(frame, |edge| !edge.subscribed);
    }

    fn publish(&self, frame: &Frame, is_receiver: impl Fn(&Peer) -> bool) {
        let message = SharedMessage::new(frame);
        for (_, edge) in self.open_edges().filter(|(_, edge)| is_receiver(edge)) {
            edge.link.send_encoded(message.to(&edge.hello));
        }
    }

    /// Sends to all cores that are connected.
    pub fn send_to_cores(&self, frame: &Frame) {
        self.mesh.send_to_all(frame);
    }

    /// Sends to the connected cores that take part in comparisons of the state, on the links that they opened.
    pub fn send_to_comparing_cores(&self, frame: &Frame) {
        let cores = self.accepted.values().filter(|peer| peer.hello.role == ProcessRole::Core);
        for core in cores.filter(|core| core.hello.compares_states && !core.link.is_closed()) {
            core.link.send(frame);
        }
    }

    /// Sends to the core at an address, if it is connected.
    pub fn send_to_core(&self, address: SocketAddr, frame: &Frame) {
        self.mesh.send(address, frame);
    }
}
