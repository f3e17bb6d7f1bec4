//! `init`, `verify`, `backup` and `restore`: work on voters' databases and backups.

use super::super::archive::Archive;
use super::super::backup::{self, Backup, MAX_DISK_BYTES};
use super::super::database::VoterDatabase;
use super::super::wire::VERIFY_PATH;
use super::cluster::Cluster;
use super::error::CommandError;
use super::output::Output;
use crate::agree::VoterId;
use crate::agree::archive::{DigestChain, Verification};
use serde_json::json;
use std::path::Path;

/// Voter numbers are below this, to have few digits, since operators read them out. The configuration file rejects
/// duplicate numbers.
const MAX_VOTER_ID: VoterId = 1 << 48;

fn new_voter_id() -> VoterId {
    fastrand::u64(1..MAX_VOTER_ID)
}

pub(super) fn init(output: &Output, directory: &Path) -> Result<(), CommandError> {
    let id = new_voter_id();
    VoterDatabase::create(directory, id)?;
    output.print(&id.to_string(), &json!({"voter": id}))
}

/// Verifies the database and archive of a stopped voter.
pub(super) fn verify_stopped(output: &Output, directory: &Path) -> Result<(), CommandError> {
    let (database, _) = VoterDatabase::open(directory, MAX_DISK_BYTES)?;
    let mut chain = DigestChain::default();
    Archive::beside(directory).follow(&mut chain)?;
    print_verification(output, &directory.display().to_string(), &database.verify(chain)?.finish())
}

/// Has each voter verify its log. Returns the last error, if any.
pub(super) async fn verify_running(cluster: &Cluster, output: &Output) -> Result<(), CommandError> {
    let mut problem = None;
    for address in &cluster.addresses {
        match cluster.call::<Verification>(address, VERIFY_PATH, &()).await {
            Ok(found) => problem = print_verification(output, address, &found).err().or(problem),
            Err(failed) => problem = Some(failed),
        }
    }
    problem.map_or(Ok(()), Err)
}

fn print_verification(output: &Output, at: &str, found: &Verification) -> Result<(), CommandError> {
    let gaps: Vec<String> = found.gaps.iter().map(|(from, to)| format!("{from} to {to}")).collect();
    let gaps = if gaps.is_empty() { String::new() } else { format!(", without {}", gaps.join(", ")) };
    let result = match found.corrupt {
        Some(index) => format!("entry {index} is not what was written"),
        None => "sound".to_string(),
    };
    output.print(
        &format!("{at}: {} entries up to {}{gaps}: {result}", found.entries, found.last),
        &json!({"at": at, "found": found}),
    )?;
    match found.corrupt {
        Some(index) => Err(CommandError::Corrupt { at: at.to_string(), index }),
        None => Ok(()),
    }
}

pub(super) async fn back_up(cluster: &Cluster, output: &Output, to: &Path) -> Result<(), CommandError> {
    let state = cluster.state(true).await?;
    let applied = state.applied();
    // The state is the leader's, so the records must come from a voter that has all of its entries.
    let mut records = cluster.records(0, applied).await?;
    records.retain(|record| record.index <= applied);
    let count = records.len();
    backup::write(to, &cluster.name, state, &records)
        .map_err(|problem| CommandError::Backup { path: to.to_path_buf(), problem })?;
    let value = json!({"entry": applied, "entries": count});
    output.print(&format!("up to entry {applied}, {count} entries"), &value)
}

pub(super) fn restore(
    output: &Output,
    from: &Path,
    directory: &Path,
    address: &str,
) -> Result<(), CommandError> {
    let backup =
        Backup::read(from).map_err(|problem| CommandError::Backup { path: from.to_path_buf(), problem })?;
    let (id, cluster) = (new_voter_id(), backup.cluster.clone());
    let last = backup.restore(directory, id, address)?;
    let text = format!("voter {id} with {last} entries; give the cluster another name than {cluster}");
    output.print(&text, &json!({"voter": id, "entries": last}))
}
