//! Sends lines to collectors on a separate thread, as `syslog::delivery` decides.

use super::Pipe;
use super::spool::Spool;
use super::transport::{Batch, Connection};
use crate::config::syslog::Log as LogSettings;
use crate::event;
use crate::interface::Micros;
use crate::syslog::delivery::{Delivery, Step, Unsettled};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Bytes after which a batch is written.
const BATCH_BYTES: usize = 32 * 1024;
/// Longest wait in one iteration of the loop while nothing can be sent.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(500);
/// How long to wait for the collector to close after each line, when lines are sent one at a time.
const CLOSE_WAIT: Duration = Duration::from_millis(20);
/// Time limit for closing a connection in an orderly way.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Lines read from the spool at once.
const LINES_PER_READ: usize = 256;

/// Sends lines from the spool, or from the queue if there is no spool, to one collector at a time.
pub struct Sending {
    pipe: Arc<Pipe>,
    spool: Option<Arc<Spool>>,
    watched: watch::Receiver<LogSettings>,
    setup: LogSettings,
    /// Set while no line is waiting to be sent or to count as delivered.
    all_delivered: Arc<AtomicBool>,
    start: Instant,
    delivery: Delivery,
    unsettled: Unsettled,
    connection: Option<Connection>,
    batch: Batch,
    /// Lines read but not sent yet, with their keys.
    unsent: VecDeque<(u64, Vec<u8>)>,
    /// Greatest key read.
    last_key: u64,
    /// For each collector, whether its current failure has been logged.
    failure_logged: Vec<bool>,
}

impl Sending {
    /// Creates a sender. `all_delivered` is set while no line is waiting to be sent or to count as delivered.
    pub fn new(
        pipe: Arc<Pipe>,
        spool: Option<Arc<Spool>>,
        watched: watch::Receiver<LogSettings>,
        all_delivered: Arc<AtomicBool>,
    ) -> Sending {
        let setup = watched.borrow().clone();
        let seed = u64::from(std::process::id());
        Sending {
            pipe,
            spool,
            all_delivered,
            start: Instant::now(),
            delivery: Delivery::new(setup.collectors.len(), setup.delivery, seed),
            unsettled: Unsettled::default(),
            connection: None,
            batch: Batch::default(),
            unsent: VecDeque::new(),
            last_key: 0,
            failure_logged: vec![false; setup.collectors.len()],
            watched,
            setup,
        }
    }

    fn now(&self) -> Micros {
        crate::clock::micros(self.start.elapsed())
    }

    /// Sends lines until the task is dropped.
    pub async fn run(mut self) {
        let mut last_report = Instant::now();
        loop {
            if self.watched.has_changed().unwrap_or(false) {
                self.reload().await;
            }
            let now = self.now();
            match self.delivery.step(now) {
                Step::Connect(collector) => self.connect(collector).await,
                Step::Rest(until) => {
                    self.all_delivered.store(false, Ordering::Release);
                    sleep(Duration::from_micros(until.saturating_sub(now)).min(MAX_IDLE_WAIT)).await;
                }
                Step::Send => self.send().await,
            }
            if self.spool.is_none() && last_report.elapsed() >= super::POLL_INTERVAL {
                last_report = Instant::now();
                self.pipe.log_dropped("queue");
            }
        }
    }

    /// Applies new collectors and certificates. The current connection is closed in an orderly way; lines still waiting
    /// go to the new collectors.
    async fn reload(&mut self) {
        self.setup = self.watched.borrow_and_update().clone();
        if let Some(connection) = self.connection.take() {
            self.close(connection).await;
        }
        let seed = u64::from(std::process::id());
        self.delivery = Delivery::new(self.setup.collectors.len(), self.setup.delivery, seed);
        self.failure_logged = vec![false; self.setup.collectors.len()];
    }

    /// Closes a connection. After an orderly close, the lines written to it count as delivered.
    async fn close(&mut self, connection: Connection) {
        if connection.close(CLOSE_TIMEOUT).await {
            let settled = self.unsettled.settle_all();
            self.settled(settled);
        } else {
            self.unsettled.ended();
        }
    }

    /// Connects to a collector, which replaces the connection in use if that succeeds.
    async fn connect(&mut self, collector: usize) {
        let Some(wanted) = self.setup.collectors.get(collector).cloned() else { return };
        match Connection::open(&wanted).await {
            Ok(connection) => {
                if let Some(before) = self.connection.replace(connection) {
                    self.close(before).await;
                }
                let now = self.now();
                self.delivery.connected(now, collector);
                // In careful mode a collector may close after each line, so only the first connection after a
                // failure is logged.
                if !self.delivery.careful() || self.failure_logged[collector] {
                    let (reason, given_up) = ("", 0);
                    event!(COLLECTOR, collector, address:% = wanted.address, state = "up", reason, given_up);
                }
                self.failure_logged[collector] = false;
            }
            Err(problem) => {
                let now = self.now();
                self.delivery.failed(now, collector);
                if !std::mem::replace(&mut self.failure_logged[collector], true) {
                    let (address, given_up) = (wanted.address, 0);
                    event!(COLLECTOR, collector, address:%, state = "failed", reason:% = problem, given_up);
                }
            }
        }
    }

    /// Releases delivered lines, up to this key, from the spool.
    fn settled(&mut self, key: Option<u64>) {
        if let Some(key) = key {
            self.delivery.settled();
            if let Some(spool) = &self.spool {
                spool.release(key);
            }
        }
    }

    /// Records that the connection in use has ended, and logs it.
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
        // In careful mode a collector may close after each line, so the end is logged only if lines are given up.
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
        if self.unsent.is_empty() {
            match &self.spool {
                Some(spool) => self.unsent = spool.read(self.last_key, LINES_PER_READ).into(),
                None => {
                    let mut line = Vec::new();
                    if self.pipe.pop(&mut line).is_some() {
                        self.unsent.push_back((self.last_key + 1, line));
                    }
                }
            }
            self.last_key = self.unsent.back().map_or(self.last_key, |(key, _)| *key);
        }
        let (key, line) = self.unsent.pop_front()?;
        Some((key, line, false))
    }

    /// Writes the next batch of lines, or waits if there is none.
    async fn send(&mut self) {
        let now = self.now();
        let settled = self.unsettled.settle(now, &self.setup.delivery);
        self.settled(settled);
        let Some(mut connection) = self.connection.take() else {
            return self.ended(false, "gone");
        };
        self.batch.clear();
        let max_bytes = if self.delivery.careful() { 1 } else { BATCH_BYTES };
        let mut next_allowed = None;
        while self.batch.len() < max_bytes {
            next_allowed = self.delivery.pace(now);
            if next_allowed.is_some() {
                break;
            }
            let Some((key, line, again)) = self.next_line() else { break };
            self.batch.push(&connection, &line);
            self.unsettled.wrote(now, key, &line, again);
            self.delivery.wrote();
        }
        if self.batch.is_empty() {
            return self.idle(connection, now, next_allowed).await;
        }
        self.all_delivered.store(false, Ordering::Release);
        let written = timeout(self.setup.stall, connection.write(&self.batch)).await;
        let stream = connection.is_stream();
        match written {
            Ok(Ok(())) if !stream => {
                let settled = self.unsettled.settle_all();
                self.settled(settled);
            }
            Ok(Ok(())) if self.delivery.careful() => {
                // A line sent for the second time is not sent again, so no line follows it until it counts as
                // delivered. If the wait times out, the line stays unsettled, as the collector may be slow to read and
                // close.
                let settle = Duration::from_micros(self.setup.delivery.settle);
                let close_wait = if self.unsettled.last_is_again() { settle } else { CLOSE_WAIT };
                if let Ok(orderly) = timeout(close_wait, connection.ended()).await {
                    return self.ended(orderly, "it closed the connection");
                }
            }
            Ok(Ok(())) => {}
            Ok(Err(problem)) => return self.ended(false, &problem.to_string()),
            Err(_) => return self.ended(false, "it takes nothing"),
        }
        self.connection = Some(connection);
    }

    /// Waits until a line can be sent, the connection ends or the settings change.
    async fn idle(&mut self, mut connection: Connection, now: Micros, next_allowed: Option<Micros>) {
        let waits = next_allowed.is_some() || !self.unsettled.is_empty();
        self.all_delivered
            .store(!waits && self.spool.as_ref().is_none_or(|spool| spool.lines() == 0), Ordering::Release);
        let settles = self.unsettled.next_settles(&self.setup.delivery);
        let until = next_allowed.into_iter().chain(settles).min();
        let wait = until.map_or(MAX_IDLE_WAIT, |until| {
            Duration::from_micros(until.saturating_sub(now)).min(MAX_IDLE_WAIT)
        });
        let filled = async {
            match &self.spool {
                _ if next_allowed.is_some() => std::future::pending().await,
                Some(spool) => spool.filled().await,
                None => self.pipe.filled().await,
            }
        };
        let ended = tokio::select! {
            biased;
            orderly = connection.ended() => Some(orderly),
            () = filled => None,
            () = sleep(wait) => None,
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
