//! A model server whose machine loses what the leader sends with its first order: the kernel of the sender goes on
//! sending it, whatever becomes of the process.

use crate::common::call;
use crate::common::lossy_socket::{lose_data, lose_nothing, read_request, write_answer};
use serde_json::{Value, json};
use socket2::{SockRef, Socket};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const INSTANCE: &str = "i-lossy";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// An order as it arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedOrder {
    pub at: Instant,
    pub token: u64,
}

#[derive(Default)]
struct State {
    models: Vec<String>,
    sequence: u64,
    orders: Vec<ArrivedOrder>,
    /// When the connection of the order was accepted whose bytes are lost at first.
    lossy_since: Option<Instant>,
}

/// The server, on a thread for each connection.
pub struct LossyServer {
    pub address: SocketAddr,
    state: Mutex<State>,
    /// The connection after the next report loses what it carries.
    armed: AtomicBool,
    losses_last: Duration,
    /// Heartbeats that were sent.
    heartbeats: AtomicU64,
}

impl LossyServer {
    /// Starts it, and its heartbeats to these cores.
    pub fn start(address: SocketAddr, control: Vec<SocketAddr>, losses_last: Duration) -> Arc<LossyServer> {
        let listener = TcpListener::bind(address).expect("its address is free");
        let server = Arc::new(LossyServer {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            armed: AtomicBool::new(false),
            losses_last,
            heartbeats: AtomicU64::new(1),
        });
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept(&Socket::from(listener)));
        for core in control {
            let beating = server.clone();
            std::thread::spawn(move || beating.beat(core));
        }
        server
    }

    /// What the connection after the next report carries is lost at first.
    pub fn arm(&self) {
        self.armed.store(true, Ordering::Release);
    }

    /// When the connection was accepted whose bytes are lost at first.
    pub fn lossy_since(&self) -> Option<Instant> {
        self.state.lock().unwrap().lossy_since
    }

    /// Orders as they arrived.
    pub fn orders(&self) -> Vec<ArrivedOrder> {
        self.state.lock().unwrap().orders.clone()
    }

    fn accept(self: &Arc<Self>, listener: &Socket) {
        loop {
            let (connection, _) = listener.accept().expect("a connection");
            let is_lossy =
                self.state.lock().unwrap().lossy_since.is_none() && lose_nothing(&SockRef::from(listener));
            if is_lossy {
                self.state.lock().unwrap().lossy_since = Some(Instant::now());
            }
            let (server, listener) = (self.clone(), listener.try_clone().unwrap());
            std::thread::spawn(move || server.serve(connection.into(), &listener, is_lossy));
        }
    }

    fn serve(&self, mut stream: TcpStream, listener: &Socket, is_lossy: bool) {
        if is_lossy {
            std::thread::sleep(self.losses_last);
            assert!(lose_nothing(&SockRef::from(&stream)), "it lost data");
        }
        while let Some(request) = read_request(&mut stream) {
            let (status, answer) = match request.path.as_str() {
                "/api/report" => (200, self.report()),
                "/api/order" => (self.take_order(&request.body), Value::Null),
                _ => (421, Value::Null),
            };
            if request.path == "/api/report" && self.armed.swap(false, Ordering::AcqRel) {
                lose_data(&SockRef::from(listener));
            }
            if !write_answer(&mut stream, status, &[], &answer.to_string()) {
                return;
            }
        }
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let models: Vec<Value> =
            state.models.iter().map(|name| json!({ "name": name, "version": 1 })).collect();
        json!({ "models": models, "busy": false, "sequence": state.sequence })
    }

    /// Takes no load: it stays wanted.
    fn take_order(&self, body: &[u8]) -> u16 {
        let order: Value = serde_json::from_slice(body).expect("an order");
        let token = order["fencing_token"].as_u64().expect("a token");
        self.state.lock().unwrap().orders.push(ArrivedOrder { at: Instant::now(), token });
        409
    }

    /// Sends heartbeats to one core. One that stands still keeps those to the others waiting for nothing.
    fn beat(&self, core: SocketAddr) {
        loop {
            let sequence = self.heartbeats.fetch_add(1, Ordering::AcqRel);
            let body = json!({ "backend": "llm", "address": self.address.to_string(), "zone": "z1", "version": "1",
                               "capacity": 8, "state": "ready", "models": [], "sequence": sequence });
            let path = format!("/api/instances/{INSTANCE}/heartbeat");
            call(core, "POST", &path, &[], &body.to_string());
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}
