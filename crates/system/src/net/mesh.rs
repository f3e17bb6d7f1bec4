//! Links that this process opens to others by their addresses, and opens again when they end.

use crate::net::link::{self, Link};
use crate::net::socket;
use bytes::Bytes;
use pathbank_protocol::codec;
use pathbank_protocol::message::{Frame, Hello};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The time within which a link has to be established. A machine without power drops connection requests
/// silently, and the kernel repeats one only after a second. A new attempt as soon as an election could be
/// due reaches a machine that has just come back.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The first pause before a link is opened again. It doubles with each failure in a row.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause before a link is opened again.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(300);

/// An event of a mesh's links.
#[derive(Debug)]
pub enum MeshEvent {
    /// The link to an address is open.
    Opened(SocketAddr),
    /// The link to an address has ended.
    Closed(SocketAddr),
    /// The process at an address sent a message.
    Said(SocketAddr, Box<Frame>),
}

type Handler = Arc<dyn Fn(MeshEvent) + Send + Sync>;

#[derive(Default)]
struct Links {
    open: BTreeMap<SocketAddr, Link>,
    wanted: BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
}

/// The links from this process to all others that it should reach.
#[derive(Clone)]
pub struct Mesh {
    hello: Hello,
    links: Arc<Mutex<Links>>,
    handler: Handler,
}

impl Mesh {
    /// Creates a mesh without links. `hello` is the first message on each link, and `handler` gets the
    /// events.
    pub fn new(hello: Hello, handler: impl Fn(MeshEvent) + Send + Sync + 'static) -> Mesh {
        Mesh { hello, links: Arc::default(), handler: Arc::new(handler) }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps links open to these addresses, and closes those to all others.
    pub fn want(&self, addresses: &[SocketAddr]) {
        // The handler has to choose another link if it used this one, so it learns of this end as of any
        // other.
        for closed in self.close_others(addresses) {
            (self.handler)(MeshEvent::Closed(closed));
        }
        let mut links = self.links();
        for address in addresses {
            if !links.wanted.contains_key(address) {
                let task = tokio::spawn(self.clone().keep_open(*address));
                links.wanted.insert(*address, task);
            }
        }
    }

    /// Closes all links except those to these addresses. Returns the addresses of those that were open.
    fn close_others(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut links = self.links();
        let unwanted: Vec<SocketAddr> =
            links.wanted.keys().filter(|address| !addresses.contains(address)).copied().collect();
        for address in &unwanted {
            if let Some(task) = links.wanted.remove(address) {
                task.abort();
            }
        }
        unwanted.into_iter().filter(|address| links.open.remove(address).is_some()).collect()
    }

    /// Sends a message to an address. Returns `false` if no link to it is open or its reader is too slow.
    pub fn send(&self, address: SocketAddr, frame: &Frame) -> bool {
        let links = self.links();
        links.open.get(&address).is_some_and(|link| link.send(frame))
    }

    /// Sends a message over every open link.
    pub fn send_to_all(&self, frame: &Frame) {
        let bytes: Bytes = codec::encode(frame).into();
        for link in self.links().open.values() {
            link.send_encoded(bytes.clone());
        }
    }

    /// The number of open links.
    pub fn open_links(&self) -> usize {
        self.links().open.len()
    }

    /// Opens the link to an address, and opens it again whenever it ends.
    async fn keep_open(self, address: SocketAddr) {
        let mut pause = RETRY_BACKOFF;
        loop {
            if let Ok(stream) = socket::connect(address, CONNECT_TIMEOUT).await {
                pause = RETRY_BACKOFF;
                let (link, outbox) = link::channel();
                link.send(&Frame::Hello(self.hello.clone()));
                self.links().open.insert(address, link);
                (self.handler)(MeshEvent::Opened(address));
                let on_frame = |frame| {
                    (self.handler)(MeshEvent::Said(address, Box::new(frame)));
                    true
                };
                link::run(stream, outbox, on_frame).await;
                self.links().open.remove(&address);
                (self.handler)(MeshEvent::Closed(address));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_BACKOFF);
        }
    }
}
