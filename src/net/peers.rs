//! Datagrams between hosts: sends what the limits in `peers` permit, and passes received messages to the
//! core.

use crate::core::{Handle, Input, Message, PeerSender};
use crate::event;
use crate::lifecycle_state::Phase;
use crate::net::fleet::{Fleet, Sends};
use crate::peers::{Counts, MAX_MESSAGE_BYTES, Peers};
use log::debug;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, Instant, interval, sleep_until};

/// How often the counts are logged, if any datagram was rejected since.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);
/// The pause after a failed receive, so that repeated errors cause no busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// The socket for messages between hosts.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Peers,
    messages: mpsc::Receiver<Message>,
    fleet: Option<Fleet>,
}

/// The wait for the next tick without a view of the fleet, which never has one.
const NO_TICK: Duration = Duration::from_secs(86_400);

impl PeerSocket {
    /// Binds the socket at `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn open(listen: SocketAddr, peers: Peers) -> io::Result<(PeerSocket, PeerSender)> {
        let socket = UdpSocket::bind(listen).await?;
        let (peer_sender, messages) = PeerSender::new();
        Ok((PeerSocket { socket, peers, messages, fleet: None }, peer_sender))
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// Fails if the kernel does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// From now on carries the gossip of the fleet's view in these datagrams.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
    }

    fn send(&mut self, to: Option<u32>, bytes: &[u8]) {
        match self.peers.targets(Instant::now().into_std(), to, bytes.len()) {
            Ok(targets) => {
                for target in targets {
                    if let Err(problem) = self.socket.try_send_to(bytes, target) {
                        debug!("sending a datagram to {target} failed: {problem}");
                    }
                }
            }
            Err(reason) => debug!("message to {to:?} not sent: {reason:?}"),
        }
    }

    fn send_all(&mut self, sends: Sends) {
        sends.iter().for_each(|(to, bytes)| self.send(Some(*to), bytes));
    }

    fn heard(&mut self, from: u32, bytes: &[u8], handle: &Handle) {
        match &self.fleet {
            Some(fleet) if Fleet::is_gossip(bytes) => match fleet.hear(from, bytes) {
                Some(sends) => self.send_all(sends),
                None => self.peers.counts.malformed += 1,
            },
            _ => handle.send(Input::Peer { from, bytes: bytes.to_vec() }),
        }
    }

    /// Sends and receives for as long as the program runs. When the program ends, this host leaves the view.
    pub async fn run(mut self, handle: Handle, mut phase: watch::Receiver<Phase>) {
        // One byte more than the limit, so that a longer datagram is recognized.
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        let (mut report_interval, mut last_reported, mut left) =
            (interval(REPORT_INTERVAL), Counts::default(), false);
        loop {
            let next = self.fleet.as_ref().map_or_else(|| Instant::now() + NO_TICK, Fleet::next);
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
                    fleet.set_draining(!up);
                    if ends && !std::mem::replace(&mut left, true) {
                        self.send_all(fleet.leave());
                    }
                }
                got = self.socket.recv_from(&mut buffer) => match got {
                    Ok((length, from)) => match self.peers.accept(Instant::now().into_std(), from, length) {
                        Ok(from) => self.heard(from, &buffer[..length], &handle),
                        Err(reason) => debug!("datagram of {length} bytes from {from} rejected: {reason:?}"),
                    },
                    Err(problem) => {
                        debug!("receiving a datagram failed: {problem}");
                        tokio::time::sleep(ERROR_PAUSE).await;
                    }
                },
                _ = report_interval.tick() => {
                    let now = self.peers.counts;
                    if (now.strangers, now.malformed, now.too_many)
                        != (last_reported.strangers, last_reported.malformed, last_reported.too_many)
                    {
                        let Counts { sent, heard, strangers, malformed, too_many } = now;
                        event!(PEERS, sent, heard, strangers, malformed, too_many);
                    }
                    last_reported = now;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
