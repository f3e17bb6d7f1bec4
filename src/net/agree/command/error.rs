//! Why a command of operators fails, in the words that they read.

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
    #[error("the agreement's file is off; name voters with --at and --cluster")]
    AgreementOff,
    #[error("--cluster goes with --at")]
    ClusterWithoutVoters,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{address}: {problem}")]
    Call { address: String, problem: CallError },
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// Standard output, or the runtime.
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
    #[error("no voter answers")]
    NoAnswer,
    #[error("not every voter answers")]
    NotEveryVoterAnswers,
    #[error("no voter leads now")]
    NoLeader,
    #[error("no voter leads now: ask again, or see `status`")]
    NoLeaderInTime,
    #[error("no voter that answers has all entries up to {0}")]
    VotersLag(Index),
    #[error("there is no document {0}")]
    NoDocument(String),
    #[error("{document} has no version {version}")]
    NoVersion { document: String, version: u64 },
    #[error("this voter has no entries from before it came, or they were moved away; ask another one")]
    HistoryIncomplete,
    #[error(transparent)]
    Parse(#[from] ParseError),
    #[error("either a document with its changes is due, or --file")]
    NoChanges,
    #[error("refused: {0}")]
    Rejected(EditRejection),
    #[error("it is not known whether it counts: send the same again with --id {id}")]
    EditUnknown { id: u64 },
    #[error("--add NUMBER=ADDRESS is due")]
    NoAddress,
    #[error("{0} is no voter's number")]
    NotANumber(String),
    #[error("{0} is no voter")]
    NotAVoter(VoterId),
    #[error("one change at a time")]
    TwoChanges,
    /// The leader's own words.
    #[error("{0}")]
    NotNow(String),
    #[error("it is not known whether it counts: see `voters`")]
    MembershipUnknown,
    #[error("{at}: entry {index} is not what was written")]
    Corrupt { at: String, index: Index },
}
