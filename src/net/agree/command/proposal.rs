//! `propose`: an edit of one document by the command line, or of several by a file.

use super::super::wire::{PROPOSE_PATH, ProposalOutcome};
use super::cluster::{Cluster, RETRY_INTERVAL};
use super::error::CommandError;
use super::output::Output;
use crate::agree::document::Edit;
use crate::agree::report;
use serde_json::json;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// The arguments of `propose`.
pub(super) struct Proposal<'a> {
    pub(super) document: Option<&'a str>,
    pub(super) changes: &'a [String],
    pub(super) base: Option<u64>,
    pub(super) why: &'a str,
    pub(super) who: Option<&'a str>,
    pub(super) file: Option<&'a Path>,
    pub(super) id: Option<u64>,
}

/// Proposes an edit and waits until it is committed, or with `wait` until it is in force.
pub(super) async fn propose(
    cluster: &Cluster,
    output: &Output,
    proposal: &Proposal<'_>,
    wait: bool,
) -> Result<(), CommandError> {
    let edit = edit(cluster, proposal).await?;
    let id = edit.id;
    let not_leader = |outcome: &ProposalOutcome| matches!(outcome, ProposalOutcome::NotLeader(_));
    let entry = match cluster.call_leader(PROPOSE_PATH, &edit, not_leader).await {
        Ok(ProposalOutcome::Entry(entry)) => entry,
        Ok(ProposalOutcome::Rejected(rejection)) => return Err(CommandError::Rejected(rejection)),
        // A voter may have accepted the edit and failed before it answered.
        Ok(_) | Err(CommandError::Call { .. }) => return Err(CommandError::EditUnknown { id }),
        Err(problem) => return Err(problem),
    };
    if wait {
        while cluster.furthest(|status| status.active).await? < entry {
            sleep(RETRY_INTERVAL).await;
        }
    }
    let state = if wait { "in force" } else { "counts" };
    let value = json!({"entry": entry, "id": id, "state": state});
    output.print(&format!("entry {entry} {state}"), &value)
}

async fn edit(cluster: &Cluster, proposal: &Proposal<'_>) -> Result<Edit, CommandError> {
    let who = proposal.who.map(str::to_string).or_else(|| std::env::var("USER").ok());
    let who = who.unwrap_or_else(|| "unknown".to_string());
    let id = proposal.id.unwrap_or_else(|| fastrand::u64(1..));
    match (proposal.document, proposal.file) {
        (None, Some(path)) => {
            let text = std::fs::read_to_string(path)
                .map_err(|problem| CommandError::EditFile { path: path.to_path_buf(), problem })?;
            let parts = serde_json::from_str(&text)
                .map_err(|problem| CommandError::EditJson { path: path.to_path_buf(), problem })?;
            Ok(Edit { id, parts, who, why: proposal.why.to_string(), at_ms: now_ms() })
        }
        (Some(name), None) => {
            let base = match proposal.base {
                Some(base) => base,
                None => cluster.state(true).await?.latest(name).map_or(0, |document| document.version),
            };
            Ok(report::edit(id, name, base, proposal.changes, (&who, proposal.why, now_ms()))?)
        }
        _ => Err(CommandError::NoChanges),
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
