//! `status` and `voters`: the status of each voter, and the membership.

use super::super::wire::{ProposalOutcome, VOTERS_PATH, VoterStatus};
use super::cluster::{CALL_TIMEOUT, Cluster};
use super::error::CommandError;
use super::output::Output;
use crate::agree::VoterId;
use crate::agree::voter::Voters;
use serde_json::json;

pub(super) async fn status(cluster: &Cluster, output: &Output) -> Result<(), CommandError> {
    let mut all_answer = true;
    for (address, status) in cluster.statuses(CALL_TIMEOUT).await {
        match status {
            Ok(status) => {
                let value = json!({"at": address, "status": status});
                output.print(&status_text(&address, &status), &value)?;
            }
            Err(error) => {
                let error = error.to_string();
                output.print(&error, &json!({"at": address, "problem": error}))?;
                all_answer = false;
            }
        }
    }
    if all_answer { Ok(()) } else { Err(CommandError::NotEveryVoterAnswers) }
}

fn status_text(address: &str, status: &VoterStatus) -> String {
    let leader = status.leader.map_or("none".to_string(), |id| id.to_string());
    format!(
        "{address}: voter {} start {} term {} leader {leader} last {} counts {} prepared {} in force {} disk {} bytes of {} voters",
        status.id,
        status.incarnation,
        status.term,
        status.last,
        status.commit,
        status.prepared,
        status.active,
        status.disk_bytes,
        status.voters.len()
    )
}

/// Lists the voters, or adds or removes one.
pub(super) async fn voters(
    cluster: &Cluster,
    output: &Output,
    add: Option<&str>,
    remove: Option<VoterId>,
) -> Result<(), CommandError> {
    let statuses = cluster.statuses(CALL_TIMEOUT).await;
    let mut answers = statuses.into_iter().filter_map(|(_, status)| status.ok());
    let leader = answers.find(|status| status.leader == Some(status.id));
    let mut voters = leader.map(|status| status.voters).ok_or(CommandError::NoLeader)?;
    match (add, remove) {
        (Some(add), None) => {
            let (number, address) = add.split_once('=').ok_or(CommandError::NoAddress)?;
            let number = number.parse().map_err(|_| CommandError::NotANumber(number.to_string()))?;
            voters.insert(number, address.to_string());
        }
        (None, Some(remove)) => {
            voters.remove(&remove).ok_or(CommandError::NotAVoter(remove))?;
        }
        (None, None) => {
            let text: String = voters.iter().map(|(id, at)| format!("{id} at {at}\n")).collect();
            return output.print(&text, &voters);
        }
        _ => return Err(CommandError::TwoChanges),
    }
    change(cluster, output, &voters).await
}

async fn change(cluster: &Cluster, output: &Output, voters: &Voters) -> Result<(), CommandError> {
    let not_leader = |outcome: &ProposalOutcome| matches!(outcome, ProposalOutcome::NotLeader(_));
    match cluster.call_leader(VOTERS_PATH, voters, not_leader).await? {
        ProposalOutcome::Entry(entry) => {
            output.print(&format!("entry {entry} counts"), &json!({"entry": entry}))
        }
        ProposalOutcome::NotNow(why) => Err(CommandError::NotNow(why)),
        _ => Err(CommandError::MembershipUnknown),
    }
}
