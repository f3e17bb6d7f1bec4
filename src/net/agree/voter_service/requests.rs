//! Proposals and linearizable reads. The voter appends them if it is the leader, and answers once they are committed.

use super::super::runtime::lock;
use super::super::wire::{ProposalOutcome, StateReply};
use super::{MAX_TICK_INTERVAL, VoterError, VoterService};
use crate::agree::Index;
use crate::agree::document::Edit;
use crate::agree::voter::{MembershipChangeError, NotLeader, Output, Voter, Voters};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{Duration, Instant, timeout_at};

/// Limit on the time that a request waits for its entry to be committed; after it, the outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl VoterService {
    /// Proposes an edit, and waits until it is committed.
    pub(in super::super) async fn propose(
        self: &Arc<Self>,
        edit: Edit,
    ) -> Result<ProposalOutcome, VoterError> {
        let (id, mut commits) = (edit.id, self.commits.subscribe());
        let proposed = self.update(|voter, now| match voter.propose(now, edit) {
            Ok(output) => (Ok(voter.term()), output),
            Err(refused) => (Err(refused), Output::default()),
        })?;
        let term = match proposed {
            Ok(term) => term,
            Err(NotLeader(leader)) => return Ok(ProposalOutcome::NotLeader(leader)),
        };
        let outcome = |voter: &Voter| match voter.state().result(id) {
            Some(Ok(entry)) => Some(ProposalOutcome::Entry(*entry)),
            Some(Err(rejection)) => Some(ProposalOutcome::Rejected(rejection.clone())),
            None => (voter.term() != term).then_some(ProposalOutcome::Unknown),
        };
        Ok(self.wait_for(&mut commits, outcome).await.unwrap_or(ProposalOutcome::Unknown))
    }

    /// Proposes a new membership, and waits until it is committed.
    pub(in super::super) async fn change_membership(
        self: &Arc<Self>,
        voters: Voters,
    ) -> Result<ProposalOutcome, VoterError> {
        let (wanted, mut commits) = (voters.clone(), self.commits.subscribe());
        let proposed = self.update(|voter, now| match voter.change_membership(now, voters) {
            Ok(output) => (Ok(voter.term()), output),
            Err(refused) => (Err(refused), Output::default()),
        })?;
        let term = match proposed {
            Ok(term) => term,
            Err(MembershipChangeError::NotLeader(leader)) => return Ok(ProposalOutcome::NotLeader(leader)),
            Err(refused) => return Ok(ProposalOutcome::NotNow(refused.to_string())),
        };
        let outcome = |voter: &Voter| match voter.state().latest_voters() == Some(&wanted) {
            true => Some(ProposalOutcome::Entry(voter.state().voters_at())),
            false => (voter.term() != term).then_some(ProposalOutcome::Unknown),
        };
        Ok(self.wait_for(&mut commits, outcome).await.unwrap_or(ProposalOutcome::Unknown))
    }

    /// The state of this voter, which may be stale. If `linearizable`, it includes all entries that were committed
    /// before the call: the voter first commits an entry that changes nothing, in place of the read index of section
    /// 6.4.
    pub(in super::super) async fn state(
        self: &Arc<Self>,
        linearizable: bool,
    ) -> Result<StateReply, VoterError> {
        if !linearizable {
            return self.local_state();
        }
        let mut commits = self.commits.subscribe();
        let barrier = self.update(|voter, now| match voter.propose_read_barrier(now) {
            Ok((index, output)) => (Ok((index, voter.term())), output),
            Err(refused) => (Err(refused), Output::default()),
        })?;
        let (index, term) = match barrier {
            Ok(barrier) => barrier,
            Err(NotLeader(leader)) => return Ok(StateReply::NotLeader(leader)),
        };
        let still_leads = |voter: &Voter| voter.term() == term && voter.is_leader();
        let committed =
            |voter: &Voter| (!still_leads(voter) || voter.commit() >= index).then(|| still_leads(voter));
        match self.wait_for(&mut commits, committed).await {
            Some(true) => self.local_state(),
            _ => Ok(StateReply::Unknown),
        }
    }

    fn local_state(&self) -> Result<StateReply, VoterError> {
        let guard = lock(&self.host);
        let host = guard.as_ref().ok_or(VoterError::Unavailable)?;
        Ok(StateReply::State(Box::new(host.voter.state().clone())))
    }

    /// Evaluates `outcome` after each commit until it is known. `None`: the timeout passed, or the database failed.
    async fn wait_for<T>(
        &self,
        commits: &mut watch::Receiver<Index>,
        outcome: impl Fn(&Voter) -> Option<T>,
    ) -> Option<T> {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        loop {
            if let Some(found) = outcome(&lock(&self.host).as_ref()?.voter) {
                return Some(found);
            }
            // A voter that is no longer the leader may see no commit for a long time.
            let next = (Instant::now() + MAX_TICK_INTERVAL).min(deadline);
            if timeout_at(next, commits.changed()).await.is_err() && Instant::now() >= deadline {
                return None;
            }
        }
    }
}
