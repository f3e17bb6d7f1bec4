//! Work on the replicated state that takes long, on a thread of its own: parsing and checking of long commands, which for a
//! large configuration take longer than a leader may be silent, and digests of the state.

use super::event::Event;
use crate::clock;
use pathbank_control::configuration::Rejection;
use pathbank_control::operator_calls::Reply;
use pathbank_control::prepared_change::{ChangeBasis, PreparedChange};
use pathbank_control::state::{Change, Command, ControlState, StateError};
use pathbank_coordination::state_comparison::{ComparisonRequest, StateDigest};
use pathbank_coordination::types::{Entry, Index, Payload, Term};
use std::io;
use std::sync::mpsc;
use std::thread::JoinHandle;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Shorter commands are prepared on the event loop, bytes.
pub const MAX_INLINE_COMMAND_BYTES: usize = 8 * 1024;

/// An operator's change that is ready to be checked and proposed.
#[derive(Debug)]
pub struct ChangeProposal {
    /// The change.
    pub change: Change,
    /// Its command as it is stored in the log; empty for a change that is rejected.
    pub encoded: Vec<u8>,
    /// What it makes of the configuration.
    pub prepared: Result<PreparedChange, Rejection>,
}

impl ChangeProposal {
    /// Prepares a change.
    pub fn new(basis: &ChangeBasis, change: Change) -> ChangeProposal {
        let prepared = basis.prepare(&change);
        if prepared.is_err() {
            // It will be rejected, so nothing of it is proposed.
            return ChangeProposal { change, encoded: Vec::new(), prepared };
        }
        let command = Command::Change(change);
        let encoded = command.encode();
        let Command::Change(change) = command else { unreachable!("made of a change") };
        ChangeProposal { change, encoded, prepared }
    }
}

/// A command of the log that is ready to be applied.
#[derive(Debug)]
pub struct PreparedCommand {
    /// Its entry.
    pub index: Index,
    /// The entry's term.
    pub term: Term,
    /// The command.
    pub command: Result<Command, StateError>,
    /// What it makes of the configuration; `None`: it is no change, or an invalid one.
    pub change: Option<PreparedChange>,
}

impl PreparedCommand {
    fn new(basis: &ChangeBasis, index: Index, term: Term, bytes: &[u8]) -> PreparedCommand {
        let command = Command::decode(bytes);
        let change = match &command {
            Ok(Command::Change(change)) => basis.prepare(change).ok(),
            _ => None,
        };
        PreparedCommand { index, term, command, change }
    }
}

/// The digest of the state at the entry that a request names.
#[derive(Clone, Copy, Debug)]
pub struct DigestedState {
    /// The request.
    pub request: ComparisonRequest,
    /// The digest.
    pub digest: StateDigest,
    /// How long it took, milliseconds.
    pub took_ms: u64,
}

enum Job {
    Change { basis: ChangeBasis, change: Change, reply: oneshot::Sender<Reply> },
    Command { basis: ChangeBasis, index: Index, term: Term, bytes: Vec<u8> },
    Digest { request: ComparisonRequest, state: Box<ControlState> },
}

/// Hands work to the thread. What is done comes back as an event, in the order of the calls.
pub struct Preparation {
    jobs: mpsc::Sender<Job>,
    thread: JoinHandle<()>,
    /// The entry that is being prepared for the state machine.
    requested: Option<(Index, Term)>,
}

impl Preparation {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The system has no thread left.
    pub fn start(events: UnboundedSender<Event>) -> io::Result<Preparation> {
        let (jobs, queue) = mpsc::channel();
        let thread =
            std::thread::Builder::new().name("preparation".into()).spawn(move || run(&queue, &events))?;
        Ok(Preparation { jobs, thread, requested: None })
    }

    /// Prepares a change. [`Event::ChangePrepared`] reports it.
    pub fn prepare_change(&self, basis: ChangeBasis, change: Change, reply: oneshot::Sender<Reply>) {
        let _ = self.jobs.send(Job::Change { basis, change, reply });
    }

    /// Prepares a command of the log. [`Event::CommandPrepared`] reports it. An entry is prepared once.
    pub fn prepare_entry(&mut self, basis: ChangeBasis, entry: &Entry) {
        let (index, term) = (entry.index, entry.term);
        let Payload::Command(bytes) = &entry.payload else { return };
        if self.requested == Some((index, term)) {
            return;
        }
        self.requested = Some((index, term));
        let _ = self.jobs.send(Job::Command { basis, index, term, bytes: bytes.clone() });
    }

    /// Makes the digest of a state. [`Event::StateDigested`] reports it.
    pub fn digest_state(&self, request: ComparisonRequest, state: ControlState) {
        let _ = self.jobs.send(Job::Digest { request, state: Box::new(state) });
    }

    /// Ends the thread. All that it reports is in the queue of events then.
    pub fn end(self) {
        drop(self.jobs);
        // A thread that panicked has reported all that it ever will.
        let _ = self.thread.join();
    }
}

fn run(queue: &mpsc::Receiver<Job>, events: &UnboundedSender<Event>) {
    while let Ok(job) = queue.recv() {
        let event = match job {
            Job::Change { basis, change, reply } => {
                Event::ChangePrepared(Box::new(ChangeProposal::new(&basis, change)), reply)
            }
            Job::Command { basis, index, term, bytes } => {
                Event::CommandPrepared(Box::new(PreparedCommand::new(&basis, index, term, &bytes)))
            }
            Job::Digest { request, state } => {
                let began_at = clock::now();
                let digest = state.digest();
                let took_ms = clock::now().saturating_sub(began_at);
                Event::StateDigested(DigestedState { request, digest, took_ms })
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
