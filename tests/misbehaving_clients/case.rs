//! The storage proxy with a small memory limit, and what has to hold of it beside a crowd.

use crate::clients::{self, LONG_MS, Opening};
use crate::meter::{MIB, Meter};
use crate::node::ScriptedNode;
use pathbank::rehearsal::stage::{Discovery, Head, HttpClient, Setup, entry};
use pathbank::rehearsal::storage_node::{Act, StandInNode, answer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// `limits.memory_mb` of the program, which is the bound of its memory.
pub const MEMORY_MB: usize = 32;
/// `limits.sockets` of the program, which is the bound of its descriptors.
pub const SOCKETS: usize = 1_000;
/// Clients' connections that so many descriptors allow.
pub const CLIENT_PLACES: usize = SOCKETS * 58 / 100;
/// Open requests that they allow, less a few for those that the test asks.
pub const OPEN_REQUESTS: usize = SOCKETS * 45 / 100 - 10;
/// How long the crowd keeps its connections.
const CROWD_STAYS: Duration = Duration::from_secs(4);
/// An ordinary request is answered within this, once the crowd has gone.
const SERVED_WITHIN: Duration = Duration::from_secs(60);
const SERVED_EVERY: Duration = Duration::from_millis(200);

/// One case runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The limits of every case.
pub fn setup() -> Setup {
    Setup {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        deadline: Duration::from_millis(LONG_MS),
        ..Setup::default()
    }
}

/// The program, its nodes and its discovery.
pub struct Case {
    node: Option<StandInNode>,
    _discovery: Discovery,
    pub head: Head,
    _alone: MutexGuard<'static, ()>,
}

impl Case {
    /// The program before a node that answers as it is told to.
    pub fn started() -> Case {
        let node = StandInNode::start("b-1").unwrap();
        let mut case = Case::with(setup(), node.address);
        case.node = Some(node);
        case
    }

    /// The program sends its requests to a node at this address.
    pub fn before(address: SocketAddr) -> Case {
        Case::with(setup(), address)
    }

    /// The same, set up otherwise.
    pub fn with(setup: Setup, address: SocketAddr) -> Case {
        Case::start(&setup, &[address])
    }

    /// The program sends its requests to these nodes.
    pub fn among(nodes: &[ScriptedNode]) -> Case {
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        Case::start(&setup(), &addresses)
    }

    fn start(setup: &Setup, addresses: &[SocketAddr]) -> Case {
        let alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let entries = addresses.iter().enumerate();
        let nodes: Vec<_> =
            entries.map(|(at, address)| entry(&format!("s-{at}"), *address, 0, "in_service")).collect();
        let discovery = Discovery::start(nodes.clone()).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_pathbank"));
        let head = Head::start(program, setup, discovery.address, nodes).unwrap();
        Case { node: None, _discovery: discovery, head, _alone: alone }
    }

    /// The crowd comes to `address` and stays; the program's memory is measured meanwhile.
    pub fn bears(
        &self,
        address: SocketAddr,
        count: usize,
        opening: impl Fn(usize) -> Opening + Clone + Send + 'static,
    ) {
        self.bears_connections(|| {
            clients::each(count, move |number| clients::open(address, &opening(number)))
        });
    }

    /// The same for connections of whatever kind.
    pub fn bears_connections<C>(&self, connect: impl FnOnce() -> Vec<C>) {
        let meter = Meter::start(self.head.process());
        let crowd = connect();
        // What it sent is read meanwhile.
        std::thread::sleep(CROWD_STAYS);
        let peak = meter.finish();
        drop(crowd);
        let memory_mib = peak.memory_bytes / MIB;
        println!("peak: {memory_mib} MiB of {MEMORY_MB}, {} descriptors", peak.descriptors);
        assert!(memory_mib < MEMORY_MB as u64, "{memory_mib} MiB are over limits.memory_mb={MEMORY_MB}");
        assert!(peak.descriptors < SOCKETS as u64, "{peak:?}");
    }

    /// An ordinary request gets its answer from the node.
    pub fn answers(&self) {
        let node = self.node.as_ref().expect("a node that answers");
        node.next(Act::Answer(answer("200 OK", "", "a body")));
        self.is_served();
    }

    /// An ordinary request is served.
    pub fn is_served(&self) {
        let began = Instant::now();
        while !self.serves_once() {
            assert!(began.elapsed() < SERVED_WITHIN, "an ordinary request is answered");
            std::thread::sleep(SERVED_EVERY);
        }
    }

    fn serves_once(&self) -> bool {
        let Ok(mut client) = HttpClient::connect(self.head.http) else { return false };
        client.ask("token-read", LONG_MS, b"").is_ok_and(|(status, _, _)| status == 200)
    }

    /// The program says that it is up.
    pub fn is_up(&self) {
        const UP: &[u8] = b"HTTP/1.1 200";
        let mut stream = TcpStream::connect(self.head.http).unwrap();
        stream.set_read_timeout(Some(SERVED_WITHIN)).unwrap();
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n").unwrap();
        let mut begin = [0; UP.len()];
        stream.read_exact(&mut begin).unwrap();
        assert_eq!(begin, UP, "the program says that it is up");
    }
}
