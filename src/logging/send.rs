//! Brings lines to collectors: carries out what `syslog::delivery` decides, on a thread of its own.

use super::Pipe;
use super::spool::Spool;
use super::transport::{Batch, Connection};
use crate::config::syslog::Log as Setup;
use crate::event;
use crate::interface::Micros;
use crate::syslog::delivery::{Delivery, Step, Unsettled};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Bytes that are written at once, and how long one idle turn lasts at most.
const AT_ONCE: usize = 32 * 1024;
const TURN: Duration = Duration::from_millis(500);
/// Where lines go one at a time, a collector has so long to close after each.
const MOMENT: Duration = Duration::from_millis(20);
/// For a connection that is let go in order to read what it was sent.
const LAST_BYTES: Duration = Duration::from_millis(500);
/// Lines read from the spool at a time.
const READ: usize = 256;

pub struct Sending {
    pipe: Arc<Pipe>,
    spool: Option<Arc<Spool>>,
    watched: watch::Receiver<Setup>,
    setup: Setup,
    /// Nothing is on its way.
    out: Arc<AtomicBool>,
    start: Instant,
    delivery: Delivery,
    unsettled: Unsettled,
    connection: Option<Connection>,
    batch: Batch,
    /// Lines read from the spool; and the greatest key read.
    read: VecDeque<(u64, Vec<u8>)>,
    last: u64,
    /// Collectors of which it was told that they fail.
    told: Vec<bool>,
}

impl Sending {
    pub fn new(
        pipe: Arc<Pipe>,
        spool: Option<Arc<Spool>>,
        watched: watch::Receiver<Setup>,
        out: Arc<AtomicBool>,
    ) -> Sending {
        let setup = watched.borrow().clone();
        let seed = u64::from(std::process::id());
        Sending {
            pipe,
            spool,
            out,
            start: Instant::now(),
            delivery: Delivery::new(setup.collectors.len(), setup.delivery, seed),
            unsettled: Unsettled::default(),
            connection: None,
            batch: Batch::default(),
            read: VecDeque::new(),
            last: 0,
            told: vec![false; setup.collectors.len()],
            watched,
            setup,
        }
    }

    fn now(&self) -> Micros {
        crate::clock::micros(self.start.elapsed())
    }

    pub async fn run(mut self) {
        let mut looked = Instant::now();
        loop {
            if self.watched.has_changed().unwrap_or(false) {
                self.reload().await;
            }
            let now = self.now();
            match self.delivery.step(now) {
                Step::Connect(collector) => self.connect(collector).await,
                Step::Rest(until) => {
                    self.out.store(false, Ordering::Release);
                    sleep(Duration::from_micros(until.saturating_sub(now)).min(TURN)).await;
                }
                Step::Send => self.send().await,
            }
            if self.spool.is_none() && looked.elapsed() >= super::LOOK {
                looked = Instant::now();
                self.pipe.tell_dropped("queue");
            }
        }
    }

    /// Collectors and certificates are new. What was written goes with an orderly end; what waits goes to the new ones.
    async fn reload(&mut self) {
        self.setup = self.watched.borrow_and_update().clone();
        if let Some(connection) = self.connection.take() {
            self.let_go(connection).await;
        }
        let seed = u64::from(std::process::id());
        self.delivery = Delivery::new(self.setup.collectors.len(), self.setup.delivery, seed);
        self.told = vec![false; self.setup.collectors.len()];
    }

    async fn let_go(&mut self, connection: Connection) {
        if connection.close(LAST_BYTES).await {
            let settled = self.unsettled.settle_all();
            self.settled(settled);
        } else {
            self.unsettled.ended();
        }
    }

    async fn connect(&mut self, collector: usize) {
        let Some(wanted) = self.setup.collectors.get(collector).cloned() else { return };
        match Connection::open(&wanted).await {
            Ok(connection) => {
                if let Some(before) = self.connection.replace(connection) {
                    self.let_go(before).await;
                }
                let now = self.now();
                self.delivery.connected(now, collector);
                // A careful one is opened for each line: once is enough to tell.
                if !self.delivery.careful() || self.told[collector] {
                    let (reason, given_up) = ("", 0);
                    event!(COLLECTOR, collector, address:% = wanted.address, state = "up", reason, given_up);
                }
                self.told[collector] = false;
            }
            Err(problem) => {
                let now = self.now();
                self.delivery.failed(now, collector);
                if !std::mem::replace(&mut self.told[collector], true) {
                    let (address, given_up) = (wanted.address, 0);
                    event!(COLLECTOR, collector, address:%, state = "failed", reason:% = problem, given_up);
                }
            }
        }
    }

    fn settled(&mut self, key: Option<u64>) {
        if let Some(key) = key {
            self.delivery.settled();
            if let Some(spool) = &self.spool {
                spool.release(key);
            }
        }
    }

    fn ended(&mut self, orderly: bool, reason: &str) {
        let now = self.now();
        self.connection = None;
        if orderly && self.delivery.careful() {
            let settled = self.unsettled.settle_all();
            self.settled(settled);
        }
        let given_up = self.unsettled.ended();
        let collector = self.delivery.active().unwrap_or(0);
        self.delivery.ended(now, orderly);
        // One that closes after each line is told of once.
        if !self.delivery.careful() || given_up > 0 {
            let address =
                self.setup.collectors.get(collector).map(|c| c.address.to_string()).unwrap_or_default();
            event!(COLLECTOR, collector, address, state = "down", reason, given_up);
        }
    }

    /// The next line to send, with its key and whether it was sent before.
    fn next_line(&mut self) -> Option<(u64, Vec<u8>, bool)> {
        if let Some((key, line)) = self.unsettled.next_again() {
            return Some((key, line, true));
        }
        if self.read.is_empty() {
            match &self.spool {
                Some(spool) => self.read = spool.read(self.last, READ).into(),
                None => {
                    let mut line = Vec::new();
                    if self.pipe.pop(&mut line).is_some() {
                        self.read.push_back((self.last + 1, line));
                    }
                }
            }
            self.last = self.read.back().map_or(self.last, |(key, _)| *key);
        }
        let (key, line) = self.read.pop_front()?;
        Some((key, line, false))
    }

    async fn send(&mut self) {
        let now = self.now();
        let settled = self.unsettled.settle(now, &self.setup.delivery);
        self.settled(settled);
        let Some(mut connection) = self.connection.take() else { return self.ended(false, "gone") };
        self.batch.clear();
        let most = if self.delivery.careful() { 1 } else { AT_ONCE };
        let mut paced = None;
        while self.batch.len() < most {
            paced = self.delivery.pace(now);
            if paced.is_some() {
                break;
            }
            let Some((key, line, again)) = self.next_line() else { break };
            self.batch.push(&connection, &line);
            self.unsettled.wrote(now, key, &line, again);
            self.delivery.wrote();
        }
        if self.batch.is_empty() {
            return self.idle(connection, now, paced).await;
        }
        self.out.store(false, Ordering::Release);
        let written = timeout(self.setup.stall, connection.write(&self.batch)).await;
        let stream = connection.is_stream();
        match written {
            Ok(Ok(())) if !stream => {
                let settled = self.unsettled.settle_all();
                self.settled(settled);
            }
            Ok(Ok(())) if self.delivery.careful() => {
                // A line that no third try follows has nothing behind it until it counts as handed over. One for which
                // the moment passes stays in doubt: the collector may only be slow to read and close.
                let settle = Duration::from_micros(self.setup.delivery.settle);
                let moment = if self.unsettled.last_is_again() { settle } else { MOMENT };
                if let Ok(orderly) = timeout(moment, connection.ended()).await {
                    return self.ended(orderly, "it closed the connection");
                }
            }
            Ok(Ok(())) => {}
            Ok(Err(problem)) => return self.ended(false, &problem.to_string()),
            Err(_) => return self.ended(false, "it takes nothing"),
        }
        self.connection = Some(connection);
    }

    /// Nothing may go out: waits until something changes.
    async fn idle(&mut self, mut connection: Connection, now: Micros, paced: Option<Micros>) {
        let waits = paced.is_some() || !self.unsettled.is_empty();
        self.out
            .store(!waits && self.spool.as_ref().is_none_or(|spool| spool.lines() == 0), Ordering::Release);
        let settles = self.unsettled.next_settles(&self.setup.delivery);
        let until = paced.into_iter().chain(settles).min();
        let turn = until.map_or(TURN, |until| Duration::from_micros(until.saturating_sub(now)).min(TURN));
        let filled = async {
            match &self.spool {
                _ if paced.is_some() => std::future::pending().await,
                Some(spool) => spool.filled().await,
                None => self.pipe.filled().await,
            }
        };
        let ended = tokio::select! {
            biased;
            orderly = connection.ended() => Some(orderly),
            () = filled => None,
            () = sleep(turn) => None,
            _ = self.watched.changed() => {
                self.watched.mark_changed();
                None
            }
        };
        match ended {
            Some(orderly) => self.ended(orderly, "it closed the connection"),
            None => self.connection = Some(connection),
        }
    }
}

#[cfg(test)]
mod tests;
