//! Calls to the voters of a cluster: to each of them, to the leader, or to any that has the requested entries.

use super::super::call::Caller;
use super::super::database::Record;
use super::super::wire::{
    RECORDS_PATH, RecordsReply, RecordsRequest, STATE_PATH, STATUS_PATH, StateReply, StateRequest,
    VoterStatus,
};
use super::arguments::Arguments;
use super::error::CommandError;
use crate::agree::Index;
use crate::agree::document_state::DocumentState;
use crate::config::agree::Agreement;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Duration, Instant, sleep};

/// Timeout of one call to one voter.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Limit on the search for the leader, or for a voter that has the requested entries.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a status call when all voters are asked.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RECORDS_PER_REQUEST: usize = 1_000;

type Result<T, E = CommandError> = std::result::Result<T, E>;

pub(super) struct Cluster {
    pub(super) name: String,
    pub(super) addresses: Vec<String>,
    caller: Caller,
}

impl Cluster {
    /// The cluster of the command line, or of the agreement's configuration file.
    pub(super) fn new(arguments: &Arguments) -> Result<Cluster> {
        let file = || Agreement::from_environment()?.ok_or(CommandError::AgreementOff);
        let (name, addresses) = match (&arguments.cluster, &arguments.at[..]) {
            (Some(cluster), [_, ..]) => (cluster.clone(), arguments.at.clone()),
            (None, []) => {
                let file = file()?;
                (file.cluster, file.voters.into_values().collect())
            }
            (None, at) => (file()?.cluster, at.to_vec()),
            (Some(_), []) => return Err(CommandError::ClusterWithoutVoters),
        };
        Ok(Cluster { caller: Caller::new(&name), name, addresses })
    }

    pub(super) async fn call<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        request: &impl Serialize,
    ) -> Result<A> {
        self.call_within(address, path, request, CALL_TIMEOUT).await
    }

    async fn call_within<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        request: &impl Serialize,
        timeout: Duration,
    ) -> Result<A> {
        let answer = self.caller.call(address, path, request, timeout).await;
        answer.map_err(|problem| CommandError::Call { address: address.to_string(), problem })
    }

    /// The status of each voter. All voters are asked concurrently.
    pub(super) async fn statuses(&self, timeout: Duration) -> Vec<(String, Result<VoterStatus>)> {
        let asked = self.addresses.iter().map(|address| async move {
            (address.clone(), self.call_within(address, STATUS_PATH, &(), timeout).await)
        });
        futures_util::future::join_all(asked).await
    }

    /// Calls one voter after another until the leader answers. `not_leader`: whether an answer is not the leader's.
    pub(super) async fn call_leader<A: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        not_leader: impl Fn(&A) -> bool,
    ) -> Result<A> {
        let (deadline, mut last) = (Instant::now() + SEARCH_TIMEOUT, CommandError::NoAnswer);
        loop {
            for address in &self.addresses {
                match self.call::<A>(address, path, request).await {
                    Ok(answer) if not_leader(&answer) => last = CommandError::NoLeaderInTime,
                    Ok(answer) => return Ok(answer),
                    Err(problem) => last = problem,
                }
            }
            if Instant::now() >= deadline {
                return Err(last);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// The state, from a linearizable read or from the first voter that answers.
    pub(super) async fn state(&self, linearizable: bool) -> Result<DocumentState> {
        let not_leader = |reply: &StateReply| !matches!(reply, StateReply::State(_));
        match self.call_leader(STATE_PATH, &StateRequest { linearizable }, not_leader).await? {
            StateReply::State(state) => Ok(*state),
            _ => Err(CommandError::NoLeader),
        }
    }

    /// The largest `index` of all voters that answer: some may not know of the last commits yet.
    pub(super) async fn furthest(&self, index: impl Fn(&VoterStatus) -> Index) -> Result<Index> {
        let deadline = Instant::now() + SEARCH_TIMEOUT;
        loop {
            let (mut furthest, mut last) = (None, CommandError::NoAnswer);
            for (_, status) in self.statuses(STATUS_TIMEOUT).await {
                match status {
                    Ok(status) => furthest = furthest.max(Some(index(&status))),
                    Err(problem) => last = problem,
                }
            }
            if let Some(furthest) = furthest {
                return Ok(furthest);
            }
            if Instant::now() >= deadline {
                return Err(last);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// All records after `after` up to the largest commit index of the voters that answer.
    pub(super) async fn all_records(&self, after: Index) -> Result<Vec<Record>> {
        let through = self.furthest(|status| status.commit).await?;
        self.records(after, through).await
    }

    /// The records after `after`, at least up to `through`, from the first voter that has them all.
    pub(super) async fn records(&self, after: Index, through: Index) -> Result<Vec<Record>> {
        let deadline = Instant::now() + SEARCH_TIMEOUT;
        loop {
            let mut last = CommandError::NoAnswer;
            for address in &self.addresses {
                match self.records_of(address, after, through).await {
                    Ok(Some(records)) => return Ok(records),
                    Ok(None) => last = CommandError::VotersLag(through),
                    Err(problem) => last = problem,
                }
            }
            if Instant::now() >= deadline {
                return Err(last);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// The records from one voter. `None`: the voter lags and does not have all of them yet.
    async fn records_of(&self, address: &str, after: Index, through: Index) -> Result<Option<Vec<Record>>> {
        let (mut records, mut last_read) = (Vec::new(), after);
        while last_read < through {
            let request = RecordsRequest { after: last_read, most: RECORDS_PER_REQUEST };
            let reply = self.call::<RecordsReply>(address, RECORDS_PATH, &request).await?;
            let Some(last) = reply.records.last().filter(|_| reply.commit >= through) else {
                return Ok(None);
            };
            last_read = last.index;
            records.extend(reply.records);
        }
        Ok(Some(records))
    }
}
