//! Errors of the operators' commands, with the texts that the commands print.

use super::super::backup::BackupError;
use super::super::call::CallError;
use super::super::database::DatabaseError;
use crate::agree::document::EditRejection;
use crate::agree::report::ParseError;
use crate::agree::{Index, VoterId};
use crate::config::ConfigError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

#[derive(Debug, Error)]
pub(super) enum CommandError {
    #[error("the agreement's configuration file turns it off: name voters with --at and --cluster")]
    AgreementOff,
    #[error("--cluster requires --at")]
    ClusterWithoutVoters,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{address}: {problem}")]
    Call { address: String, problem: CallError },
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// Writing to standard output or creating the runtime failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("{}: {problem}", path.display())]
    EditFile { path: PathBuf, problem: io::Error },
    #[error("{}: {problem}", path.display())]
    EditJson { path: PathBuf, problem: serde_json::Error },
    #[error("{}: {problem}", path.display())]
    Backup { path: PathBuf, problem: BackupError },
    #[error("no voter answered")]
    NoAnswer,
    #[error("some voters did not answer")]
    NotEveryVoterAnswers,
    #[error("there is no leader now")]
    NoLeader,
    #[error("no leader was found in time: try again, or see `status`")]
    NoLeaderInTime,
    #[error("no voter that answered has all entries up to {0}")]
    VotersLag(Index),
    #[error("there is no document {0}")]
    NoDocument(String),
    #[error("{document} has no version {version}")]
    NoVersion { document: String, version: u64 },
    #[error(
        "the voter lacks the first entries: they were written before it joined, or were moved away; ask another voter"
    )]
    HistoryIncomplete,
    #[error(transparent)]
    Parse(#[from] ParseError),
    #[error("expected either a document with its changes, or --file")]
    NoChanges,
    #[error("the edit was rejected: {0}")]
    Rejected(EditRejection),
    #[error("it is unknown whether the edit was committed: send it again with --id {id}")]
    EditUnknown { id: u64 },
    #[error("--add: expected NUMBER=ADDRESS")]
    NoAddress,
    #[error("{0} is not a valid voter number")]
    NotANumber(String),
    #[error("{0} is not a voter")]
    NotAVoter(VoterId),
    #[error("only one voter can be added or removed at a time")]
    TwoChanges,
    /// The leader's reason for refusing a membership change.
    #[error("{0}")]
    NotNow(String),
    #[error("it is unknown whether the change was committed: see `voters`")]
    MembershipUnknown,
    #[error("{at}: entry {index} is not what was written")]
    Corrupt { at: String, index: Index },
}
