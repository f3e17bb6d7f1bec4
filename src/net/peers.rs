//! Datagrams between heads: carries out what `peers` allows, and passes on what is heard to the core.

use crate::core::{Handle, Input, Message, Mouth};
use crate::event;
use crate::life::Phase;
use crate::net::fleet::{Fleet, Sends};
use crate::peers::{Counts, MOST_BYTES, Peers};
use log::debug;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, interval, sleep_until};

/// How often what was turned away is told, where anything was.
const SUM_UP: Duration = Duration::from_secs(60);
/// A system that gives nothing but errors is not asked without end.
const AGAIN: Duration = Duration::from_millis(100);

pub struct Talk {
    socket: UdpSocket,
    peers: Peers,
    messages: mpsc::Receiver<Message>,
    fleet: Option<Fleet>,
}

/// Without a view of the fleet there is nothing to wait for.
const NEVER: Duration = Duration::from_secs(86_400);

impl Talk {
    pub async fn open(listen: SocketAddr, peers: Peers) -> io::Result<(Talk, Mouth)> {
        let socket = UdpSocket::bind(listen).await?;
        let (mouth, messages) = Mouth::new();
        Ok((Talk { socket, peers, messages, fleet: None }, mouth))
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// From here on the view of the fleet is kept by these datagrams.
    pub fn keep(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
    }

    fn send(&mut self, to: Option<u32>, bytes: &[u8]) {
        match self.peers.tell(Instant::now().into_std(), to, bytes.len()) {
            Ok(targets) => {
                for target in targets {
                    if let Err(problem) = self.socket.try_send_to(bytes, target) {
                        debug!("to {target}: {problem}");
                    }
                }
            }
            Err(turned) => debug!("a message to {to:?} is not sent: {turned:?}"),
        }
    }

    fn send_all(&mut self, sends: Sends) {
        sends.iter().for_each(|(to, bytes)| self.send(Some(*to), bytes));
    }

    fn heard(&mut self, from: u32, bytes: &[u8], handle: &Handle) {
        match &self.fleet {
            Some(fleet) if Fleet::takes(bytes) => match fleet.hear(from, bytes) {
                Some(sends) => self.send_all(sends),
                None => self.peers.counts.malformed += 1,
            },
            _ => handle.send(Input::Peer { from, bytes: bytes.to_vec() }),
        }
    }

    /// For as long as the program runs. With its end the head leaves the view.
    pub async fn run(mut self, handle: Handle, mut phase: watch::Receiver<Phase>) {
        // One byte more than any may have: what is longer shows.
        let mut buffer = [0; MOST_BYTES + 1];
        let (mut sums, mut told, mut left) = (interval(SUM_UP), Counts::default(), false);
        loop {
            let next = self.fleet.as_ref().map_or_else(|| Instant::now() + NEVER, Fleet::next);
            tokio::select! {
                message = self.messages.recv() => {
                    let Some(Message { to, bytes }) = message else { return };
                    self.send(to, &bytes);
                }
                () = sleep_until(next) => {
                    let sends = self.fleet.as_ref().map(Fleet::tick);
                    self.send_all(sends.unwrap_or_default());
                }
                Ok(()) = phase.changed() => {
                    let Phase { up, ends, .. } = *phase.borrow_and_update();
                    let Some(fleet) = self.fleet.clone() else { continue };
                    fleet.drains(!up);
                    if ends && !std::mem::replace(&mut left, true) {
                        self.send_all(fleet.leave());
                    }
                }
                got = self.socket.recv_from(&mut buffer) => match got {
                    Ok((length, from)) => match self.peers.hear(Instant::now().into_std(), from, length) {
                        Ok(from) => self.heard(from, &buffer[..length], &handle),
                        Err(turned) => debug!("{length} bytes from {from} are not heard: {turned:?}"),
                    },
                    Err(problem) => {
                        debug!("datagrams: {problem}");
                        tokio::time::sleep(AGAIN).await;
                    }
                },
                _ = sums.tick() => {
                    let now = self.peers.counts;
                    if (now.strangers, now.malformed, now.too_many)
                        != (told.strangers, told.malformed, told.too_many)
                    {
                        let Counts { sent, heard, strangers, malformed, too_many } = now;
                        event!(PEERS, sent, heard, strangers, malformed, too_many);
                    }
                    told = now;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Clock;
    use crate::core::Core;
    use crate::interface::Settings;

    #[test]
    fn what_heads_say_arrives_and_what_others_say_does_not() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
            let (other, stranger) =
                (UdpSocket::bind(any).await.unwrap(), UdpSocket::bind(any).await.unwrap());
            let own: SocketAddr = "127.0.0.1:1".parse().unwrap();
            let list = vec![own, other.local_addr().unwrap()];
            let peers = Peers::new(list, None, 0, Instant::now().into_std());
            let (talk, mouth) = Talk::open(any, peers).await.unwrap();
            let serves = crate::life::SERVING;
            let phase = watch::channel(serves);
            let here = talk.address().unwrap();
            let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
            let (handle, mut inputs) = core.handle().overheard();
            tokio::spawn(talk.run(handle, phase.1.clone()));
            stranger.send_to(b"stranger", here).await.unwrap();
            for bytes in [&b""[..], &[7; 257], b"said", &[9; 256]] {
                other.send_to(bytes, here).await.unwrap();
            }
            for wanted in [&b"said"[..], &[9; 256]] {
                match inputs.recv().await {
                    Some(Input::Peer { from: 1, bytes }) => assert_eq!(bytes, wanted),
                    _ => panic!("something else was passed on"),
                }
            }
            mouth.say(None, vec![1, 2, 3]);
            mouth.say(Some(1), vec![4]);
            mouth.say(Some(0), vec![5]);
            mouth.say(Some(1), vec![6]);
            let mut buffer = [0; 300];
            for wanted in [&[1, 2, 3][..], &[4], &[6]] {
                let (length, from) = other.recv_from(&mut buffer).await.unwrap();
                assert_eq!((&buffer[..length], from), (wanted, here));
            }
        });
    }
}
