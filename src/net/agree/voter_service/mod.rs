//! The voter of this process with its database: what it must not forget is on disk before any message that rests on it
//! leaves. `host` ties the two together, `links` carries messages to the peers, `requests` waits for proposals to
//! commit, `inspection` answers operators.

mod host;
mod inspection;
mod links;
mod requests;

use super::call::Caller;
use super::database::{DatabaseError, VoterDatabase};
use super::runtime::{duration, lock, log_started};
use super::serve;
use super::wire::{MessageEnvelope, MessageReply};
use crate::agree::voter::{Output, Recipient, Voter};
use crate::agree::{Index, Message, Micros, VoterId};
use crate::clock::LeaseClock;
use crate::config::agree::{Agreement, VoterSettings};
use crate::event;
use host::VoterHost;
use links::PeerLinks;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep, sleep_until};

/// At the latest the voter's timers are looked at after this.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// A database that cannot be used is opened again after a backoff, which doubles up to the longest: each time all of it is
/// read and the leader sends its entries once more, beside the leases of this process.
const MIN_REOPEN_BACKOFF: Duration = Duration::from_secs(1);
const MAX_REOPEN_BACKOFF: Duration = Duration::from_secs(4);
/// A database that was in use for this long resets the backoff.
const REOPEN_BACKOFF_RESET: Duration = Duration::from_secs(10);

/// Why a voter does not answer.
#[derive(Debug, Error)]
pub(super) enum VoterError {
    /// Its database cannot be used now; it is opened again after a while.
    #[error("the voter's disk cannot be used")]
    Unavailable,
    /// What was asked for cannot be read.
    #[error(transparent)]
    Database(#[from] DatabaseError),
}

/// The voter, its peers and those who wait for it.
pub(super) struct VoterService {
    config: Agreement,
    settings: VoterSettings,
    pace: LeaseClock,
    /// `None`: the database cannot be used now.
    host: Mutex<Option<VoterHost>>,
    links: PeerLinks,
    caller: Caller,
    /// The last committed entry, for those who wait for one.
    commits: watch::Sender<Index>,
}

impl VoterService {
    /// `None`: this process has no voter.
    pub(super) fn new(config: Agreement, caller: Caller, pace: LeaseClock) -> Option<VoterService> {
        let settings = config.voter.clone()?;
        let (host, links, commits) = (Mutex::default(), PeerLinks::default(), watch::Sender::new(0));
        Some(VoterService { config, settings, pace, host, links, caller, commits })
    }

    pub(super) fn cluster(&self) -> &str {
        &self.config.cluster
    }

    pub(super) fn max_connections(&self) -> usize {
        self.settings.max_connections
    }

    /// Listens, and opens the database: whoever has the address has the database too.
    pub(super) fn bind(&self) -> Option<TcpListener> {
        let bound = TcpListener::bind(self.settings.listen);
        match bound.and_then(|listener| listener.set_nonblocking(true).map(|()| listener)) {
            Ok(listener) => {
                self.open();
                let id = lock(&self.host).as_ref().map(|host| host.database.id());
                log_started(&self.config.cluster, Some(&listener), id);
                Some(listener)
            }
            Err(problem) => {
                event!(VOTER_ILL, problem:%);
                None
            }
        }
    }

    /// Serves peers, lease holders and operators from when it can listen.
    pub(super) async fn run(self: Arc<Self>, mut listener: Option<TcpListener>) {
        let listener = loop {
            if let Some(listener) = listener.take() {
                break listener;
            }
            sleep(MIN_REOPEN_BACKOFF).await;
            listener = self.bind();
        };
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => {
                tokio::spawn(self.clone().run_timers());
                serve::serve(listener, self).await;
            }
            Err(problem) => event!(ACCEPT_FAILED, problem:%),
        }
    }

    /// Opens the database, where it is not open.
    fn open(&self) {
        let mut host = lock(&self.host);
        if host.is_some() {
            return;
        }
        match VoterDatabase::open(&self.settings.directory, self.settings.max_bytes) {
            Ok((database, saved)) => {
                let (id, last) = (database.id(), saved.log.last_index());
                event!(VOTER_BACK, voter = id, starts = saved.incarnation >> 32, last);
                let (times, now) = (self.config.times, self.pace.now());
                let voter = Voter::new(id, &self.config.voters, times, saved, now, fastrand::u64(..));
                *host = Some(VoterHost::new(voter, database));
            }
            Err(problem) => event!(VOTER_ILL, problem:%),
        }
    }

    /// Ticks the voter, and opens the database anew where it was lost.
    async fn run_timers(self: Arc<Self>) {
        let (mut opened_at, mut backoff) = (Instant::now(), MIN_REOPEN_BACKOFF);
        loop {
            let next_tick_at = lock(&self.host).as_ref().map(|host| host.voter.next_tick_at());
            let Some(next_tick_at) = next_tick_at else {
                if opened_at.elapsed() >= REOPEN_BACKOFF_RESET {
                    backoff = MIN_REOPEN_BACKOFF;
                }
                sleep_until(opened_at + backoff).await;
                backoff = (2 * backoff).min(MAX_REOPEN_BACKOFF);
                opened_at = Instant::now();
                self.open();
                continue;
            };
            let wait = duration(next_tick_at.saturating_sub(self.pace.now()));
            sleep(wait.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)).await;
            // A database that was lost meanwhile is seen above.
            let _ = self.update(|voter, now| ((), voter.tick(now, fastrand::u64(..))));
        }
    }

    /// Has the voter do something, saves what it must not forget, and sends its messages to the peers.
    fn update<T>(
        self: &Arc<Self>,
        action: impl FnOnce(&mut Voter, Micros) -> (T, Output),
    ) -> Result<T, VoterError> {
        let (done, messages) = self.save_update(action)?;
        self.send(messages, None);
        Ok(done)
    }

    /// Has the voter do something and saves what it must not forget; the caller sends its messages.
    fn save_update<T>(
        &self,
        action: impl FnOnce(&mut Voter, Micros) -> (T, Output),
    ) -> Result<(T, Vec<(Recipient, Message)>), VoterError> {
        let mut guard = lock(&self.host);
        let host = guard.as_mut().ok_or(VoterError::Unavailable)?;
        let (done, output) = action(&mut host.voter, self.pace.now());
        host.report_stale_peer(output.stale_peer);
        if let Err(problem) = host.save(&output.save, &self.settings) {
            // The voter's memory may be ahead of its database: it is read anew before it sends anything.
            event!(VOTER_ILL, problem:%);
            *guard = None;
            return Err(VoterError::Unavailable);
        }
        host.report_changes();
        let commit = host.voter.commit();
        self.commits.send_if_modified(|known| std::mem::replace(known, commit) != commit);
        Ok((done, output.send))
    }

    /// Sends what is for peers by their links, and returns what answers `asker`.
    fn send(self: &Arc<Self>, messages: Vec<(Recipient, Message)>, asker: Option<VoterId>) -> Vec<Message> {
        let mut replies = Vec::new();
        for (recipient, message) in messages {
            match recipient {
                Recipient::Voter(id) if Some(id) != asker => self.links.send(self, id, message),
                Recipient::Voter(_) | Recipient::LeaseHolder(_) => replies.push(message),
            }
        }
        replies
    }

    /// Takes a message of another voter, and returns what answers it.
    pub(super) fn step(self: &Arc<Self>, envelope: MessageEnvelope) -> Result<MessageReply, VoterError> {
        let MessageEnvelope { from, incarnation, message } = envelope;
        let (incarnation, messages) = self.save_update(|voter, now| {
            let output = voter.step(now, fastrand::u64(..), (from, incarnation), message);
            (voter.incarnation(), output)
        })?;
        Ok(MessageReply { incarnation, messages: self.send(messages, Some(from)) })
    }

    /// Answers a process that asks for its lease. Other messages are answered as if there were no voter.
    pub(super) fn renew(self: &Arc<Self>, request: Message) -> Result<Message, VoterError> {
        let Message::LeaseRequest { holder, requested_at, prepared } = request else {
            return Err(VoterError::Unavailable);
        };
        let renew = |voter: &mut Voter, now| ((), voter.renew(now, holder, requested_at, prepared));
        let ((), messages) = self.save_update(renew)?;
        self.send(messages, None).pop().ok_or(VoterError::Unavailable)
    }
}
