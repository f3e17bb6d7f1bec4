//! A node's stand-in: takes requests over HTTP/1.1, notes each that came whole, and answers as it is told to.

use super::{Outcome, read_http};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// What becomes of a request; without one it is answered with 200 and the node's name.
pub enum Act {
    /// This, then on with the connection.
    Answer(String),
    /// This, then the connection is closed.
    Cut(String),
    /// The usual answer, once the sender's side is dropped.
    Hold(Receiver<()>),
}

#[derive(Debug, PartialEq)]
pub enum Seen {
    Connected,
    Request { head: String, body: Vec<u8> },
    Closed,
}

pub struct StandInNode {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
    acts: Arc<Mutex<VecDeque<Act>>>,
}

impl StandInNode {
    pub fn start(name: &str) -> Outcome<StandInNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, seen) = channel();
        let acts: Arc<Mutex<VecDeque<Act>>> = Arc::default();
        let storage_node = StandInNode { address, seen, acts: acts.clone() };
        let name = name.to_string();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (acts, sender, name) = (acts.clone(), sender.clone(), name.clone());
                thread::spawn(move || {
                    let _ = sender.send(Seen::Connected);
                    // How a connection broke does not matter, only that it is over.
                    let _ = serve(stream, &acts, &sender, &name);
                    let _ = sender.send(Seen::Closed);
                });
            }
        });
        Ok(storage_node)
    }

    pub fn next(&self, act: Act) {
        self.acts.lock().unwrap_or_else(PoisonError::into_inner).push_back(act);
    }
}

/// An answer with a body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn serve(
    mut stream: TcpStream,
    acts: &Mutex<VecDeque<Act>>,
    seen: &Sender<Seen>,
    name: &str,
) -> std::io::Result<()> {
    while let Some((head, body)) = read_http(&mut stream)? {
        let act = acts.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
        let _ = seen.send(Seen::Request { head, body });
        match act {
            Some(Act::Answer(text)) => stream.write_all(text.as_bytes())?,
            Some(Act::Cut(text)) => return stream.write_all(text.as_bytes()),
            hold_or_none => {
                if let Some(Act::Hold(until)) = hold_or_none {
                    let _ = until.recv(); // released, or its rehearsal is over
                }
                stream.write_all(answer("200 OK", "", name).as_bytes())?;
            }
        }
    }
    Ok(())
}
