//! Operators' changes, and other long commands: prepared, checked, proposed and applied.

use super::Node;
use crate::core::preparation::{ChangeProposal, MAX_INLINE_COMMAND_BYTES, PreparedCommand};
use pathbank_control::operator_calls::{self, Reply};
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Change, ChangeKind, Command};
use tokio::sync::oneshot;

impl Node {
    /// An operator sent a change.
    pub(super) fn on_change(&mut self, now: u64, mut change: Change, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        if change.kind == ChangeKind::Update {
            change.kind = self.machine.state().update_kind();
        }
        let basis = self.machine.state().change_basis();
        if change.body.len() > MAX_INLINE_COMMAND_BYTES {
            return self.preparation.prepare_change(basis, change, reply);
        }
        self.on_change_prepared(now, ChangeProposal::new(&basis, change), reply);
    }

    /// A change can be checked against the state, and proposed.
    pub(super) fn on_change_prepared(
        &mut self,
        now: u64,
        proposal: ChangeProposal,
        reply: oneshot::Sender<Reply>,
    ) {
        let status = self.replication.leadership_status(now);
        let ChangeProposal { change, prepared, .. } = &proposal;
        match operator_calls::check_change(self.machine.state(), &status, change, prepared) {
            Ok(()) => self.propose_change(now, proposal, reply),
            Err(answer) => drop(reply.send(answer)),
        }
    }

    /// Proposes a change. What was prepared of it is kept until its entry is applied.
    fn propose_change(&mut self, now: u64, proposal: ChangeProposal, reply: oneshot::Sender<Reply>) {
        let ChangeProposal { change, encoded, prepared } = proposal;
        let term = self.replication.replica().term();
        match self.replication.propose(now, encoded) {
            Ok((index, effects)) => {
                self.replication.await_commit(index, reply);
                let (command, change) = (Ok(Command::Change(change)), prepared.ok());
                self.machine.keep_prepared(PreparedCommand { index, term, command, change });
                self.replication.set_prepared(index);
                self.carry_out(now, effects);
            }
            Err(error) => drop(reply.send(Reply::Result(ResultCode::NoLeader, error.to_string()))),
        }
    }

    /// Has the next command to be applied prepared, if that takes long.
    pub(super) fn prepare_next_command(&mut self) {
        if let Some(entry) = self.replication.replica().awaits_preparation() {
            self.preparation.prepare_entry(self.machine.state().change_basis(), entry);
        }
    }

    /// A command of the log can be applied.
    pub(super) fn on_command_prepared(&mut self, now: u64, command: PreparedCommand) {
        let awaited = self.replication.replica().awaits_preparation();
        if awaited.is_some_and(|entry| (entry.index, entry.term) == (command.index, command.term)) {
            self.replication.set_prepared(command.index);
            self.machine.keep_prepared(command);
            self.apply_more(now);
        }
    }
}
