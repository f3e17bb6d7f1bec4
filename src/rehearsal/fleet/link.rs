//! A link between two processes of the rig: TCP that can be cut one way or both, delayed and throttled while it runs.

use crate::rehearsal::Outcome;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What is cut is held back, as a network holds what will be sent again.
const LOOK: Duration = Duration::from_millis(5);
const READ: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    target: Mutex<Option<SocketAddr>>,
    /// Towards the one that was connected to, and back.
    cut: [AtomicBool; 2],
    delay_ms: AtomicU64,
    /// Bytes a second; 0: as fast as they come.
    rate: AtomicU64,
    over: AtomicBool,
    bytes: AtomicU64,
}

pub struct Link {
    /// Where it is entered.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Link {
    pub fn open() -> Outcome<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, state) = (listener.local_addr()?, Arc::new(State::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.over.load(Ordering::Relaxed) {
                    return;
                }
                let state = shared.clone();
                thread::spawn(move || carry(stream, &state));
            }
        });
        Ok(Link { address, state })
    }

    pub fn lead_to(&self, target: Option<SocketAddr>) {
        *self.state.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    pub fn cut(&self, forth: bool, back: bool) {
        self.state.cut[0].store(forth, Ordering::Relaxed);
        self.state.cut[1].store(back, Ordering::Relaxed);
    }

    pub fn slow(&self, delay_ms: u64, rate: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::Relaxed);
        self.state.rate.store(rate, Ordering::Relaxed);
    }

    /// Carried so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.state.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address); // wakes its listener, which then ends
    }
}

fn carry(entered: TcpStream, state: &Arc<State>) {
    // A machine that is cut off does not answer a connection either.
    while state.cut[0].load(Ordering::Relaxed) || state.cut[1].load(Ordering::Relaxed) {
        if state.over.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(LOOK);
    }
    let target = *state.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(left) = target.and_then(|target| TcpStream::connect(target).ok()) else { return };
    let (Ok(entered_too), Ok(left_too)) = (entered.try_clone(), left.try_clone()) else { return };
    let back = state.clone();
    thread::spawn(move || pump(left_too, entered_too, &back, 1));
    pump(entered, left, state, 0);
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, way: usize) {
    let _ = from.set_read_timeout(Some(READ));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 * 1024];
    while !state.over.load(Ordering::Relaxed) {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        let (delay, rate) = (state.delay_ms.load(Ordering::Relaxed), state.rate.load(Ordering::Relaxed));
        let throttle = (length as u64 * 1_000).checked_div(rate).unwrap_or(0);
        thread::sleep(Duration::from_millis(delay + throttle));
        while state.cut[way].load(Ordering::Relaxed) && !state.over.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        state.bytes.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
