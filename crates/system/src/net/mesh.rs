//! Links that this process opens to others by address, and opens again when they end.

use crate::net::link::{self, Link};
use crate::net::socket;
use bytes::Bytes;
use pathbank_protocol::codec;
use pathbank_protocol::message::{Frame, Hello};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// An attempt to connect is given up after this. A machine without power drops it in silence, and the kernel
/// asks again only after a second: a new attempt, made as soon as an election could be due, reaches one that
/// has just come back.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause before a link is opened again, and its longest with failures in a row.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(300);

/// What a mesh reports.
#[derive(Debug)]
pub enum MeshEvent {
    /// The link to an address stands.
    Opened(SocketAddr),
    /// The link to an address has ended.
    Closed(SocketAddr),
    /// The process at an address said something.
    Said(SocketAddr, Box<Frame>),
}

type Handler = Arc<dyn Fn(MeshEvent) + Send + Sync>;

#[derive(Default)]
struct Links {
    open: BTreeMap<SocketAddr, Link>,
    wanted: BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
}

/// The links of one process to all others that it should reach.
#[derive(Clone)]
pub struct Mesh {
    hello: Hello,
    links: Arc<Mutex<Links>>,
    handler: Handler,
}

impl Mesh {
    /// A mesh without links. `hello` goes first on each.
    pub fn new(hello: Hello, handler: impl Fn(MeshEvent) + Send + Sync + 'static) -> Mesh {
        Mesh { hello, links: Arc::default(), handler: Arc::new(handler) }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens links to all these addresses, and closes those to others.
    pub fn want(&self, addresses: &[SocketAddr]) {
        // Whoever listened on such a link has to look for another one, so its end is told as any other is.
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

    /// Closes all links but those to these addresses. Returns those that stood.
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

    /// Sends to an address; `false`: no link stands.
    pub fn send(&self, address: SocketAddr, frame: &Frame) -> bool {
        let links = self.links();
        links.open.get(&address).is_some_and(|link| link.send(frame))
    }

    /// Sends to every open link.
    pub fn send_to_all(&self, frame: &Frame) {
        let bytes: Bytes = codec::encode(frame).into();
        for link in self.links().open.values() {
            link.send_encoded(bytes.clone());
        }
    }

    /// Links that stand.
    pub fn open_links(&self) -> usize {
        self.links().open.len()
    }

    async fn keep_open(self, address: SocketAddr) {
        let mut pause = RETRY_BACKOFF;
        loop {
            if let Ok(stream) = socket::connect(address, CONNECT_TIMEOUT).await {
                pause = RETRY_BACKOFF;
                let (link, outbox) = link::channel();
                link.send(&Frame::Hello(self.hello.clone()));
                self.links().open.insert(address, link);
                (self.handler)(MeshEvent::Opened(address));
                let said = |frame| {
                    (self.handler)(MeshEvent::Said(address, Box::new(frame)));
                    true
                };
                link::run(stream, outbox, said).await;
                self.links().open.remove(&address);
                (self.handler)(MeshEvent::Closed(address));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_BACKOFF);
        }
    }
}
