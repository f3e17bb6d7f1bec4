//! Strangers on a core's internal port that introduce themselves as an edge does.

use crate::crowd::Script;
use pathbank_protocol::codec;
use pathbank_protocol::framing::MAX_FRAME_BYTES;
use pathbank_protocol::message::{Frame, Hello, ProcessRole};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// A link on which nothing comes for longer is closed.
const BYTE_EVERY: Duration = Duration::from_millis(500);
const SENDS_NOTHING_FOR: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const PIECE_BYTES: usize = 64 * 1_024;
/// The last part of a long message, which comes byte by byte.
const SLOW_BYTES: usize = 1_024;

fn introduction() -> Vec<u8> {
    codec::encode(&Frame::Hello(Hello {
        role: ProcessRole::Edge,
        name: "stranger".to_owned(),
        zone: "z1".to_owned(),
        incarnation: 1,
        accepts_compression: false,
        compares_states: false,
        command_format: 0,
    }))
}

/// An introduction, and then so many bytes of short messages.
pub fn flood(bytes: usize) -> Script {
    let message = codec::encode(&Frame::Loads(Vec::new()));
    let part = message.repeat(PIECE_BYTES / message.len());
    Script { head: introduction(), parts: bytes / part.len(), part, end: Vec::new() }
}

/// Strangers that send most of a long message, and its rest byte by byte.
pub struct Strangers {
    leave: Arc<AtomicBool>,
    /// Those that have sent what they can but for the last bytes.
    slow: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Strangers {
    pub fn slow(address: SocketAddr, count: usize) -> Strangers {
        let (leave, slow) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let threads = (0..count).map(|_| {
            let (leave, slow) = (leave.clone(), slow.clone());
            std::thread::spawn(move || {
                let stream = send_most(address);
                slow.fetch_add(1, Ordering::Relaxed);
                let Ok(mut stream) = stream else { return };
                while !leave.load(Ordering::Relaxed) && stream.write_all(&[0]).is_ok() {
                    std::thread::sleep(BYTE_EVERY);
                }
            })
        });
        Strangers { threads: threads.collect(), leave, slow }
    }

    pub fn until_sent(&self) {
        while self.slow.load(Ordering::Relaxed) < self.threads.len() {
            std::thread::sleep(LOOK_EVERY);
        }
    }

    pub fn leave(self) {
        self.leave.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a stranger runs to its end");
        }
    }
}

/// Introduces itself and sends a message of the longest length, short of its last bytes.
fn send_most(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(SENDS_NOTHING_FOR))?;
    stream.write_all(&introduction())?;
    stream.write_all(&(MAX_FRAME_BYTES as u32).to_le_bytes())?;
    let piece = vec![0; PIECE_BYTES];
    for _ in 0..(MAX_FRAME_BYTES - SLOW_BYTES) / PIECE_BYTES {
        // An error: the core reads no more for now.
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    Ok(stream)
}
