//! A link to a core like an edge's, which keeps all messages that it receives.

use pathbank_protocol::message::{Frame, Hello, ProcessRole, Subscription};
use pathbank_system::net::link::{self, Link};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connects to a core as soon as the core listens, and subscribes to its updates.
pub struct EdgeListener {
    heard: Arc<Mutex<Vec<Frame>>>,
    link: Arc<Mutex<Option<Link>>>,
    _runtime: tokio::runtime::Runtime,
}

impl EdgeListener {
    pub fn of(core: SocketAddr) -> EdgeListener {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let (heard, link) = (Arc::<Mutex<Vec<Frame>>>::default(), Arc::<Mutex<Option<Link>>>::default());
        runtime.spawn(listen(core, heard.clone(), link.clone()));
        EdgeListener { heard, link, _runtime: runtime }
    }

    /// All messages received so far.
    pub fn heard(&self) -> Vec<Frame> {
        self.heard.lock().unwrap().clone()
    }

    /// Sends a message. Returns `false` if the link is not open.
    pub fn say(&self, frame: &Frame) -> bool {
        self.link.lock().unwrap().as_ref().is_some_and(|link| link.send(frame))
    }
}

async fn listen(core: SocketAddr, heard: Arc<Mutex<Vec<Frame>>>, open_link: Arc<Mutex<Option<Link>>>) {
    let stream = loop {
        match tokio::net::TcpStream::connect(core).await {
            Ok(stream) => break stream,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let (link, outbox) = link::channel();
    let hello = Hello {
        role: ProcessRole::Edge,
        name: "listener".into(),
        zone: "z1".into(),
        incarnation: 1,
        accepts_compression: false,
        compares_states: false,
        command_format: 0,
    };
    link.send(&Frame::Hello(hello));
    link.send(&Frame::Subscribe(Subscription { wanted: true, known_index: 0 }));
    *open_link.lock().unwrap() = Some(link);
    link::run(stream, outbox, |frame| {
        heard.lock().unwrap().push(frame);
        true
    })
    .await;
}
