//! The command line of `pathbank agree`.

use crate::agree::{Index, VoterId};
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Shows and changes the replicated settings of the hosts. The voters are those of the file that PATHBANK_AGREE names
/// (deploy/agree.toml), or of `--at`.
#[derive(Parser)]
#[command(name = "pathbank agree")]
pub(super) struct Arguments {
    #[command(subcommand)]
    pub(super) operation: Operation,
    /// ADDRESS of a voter to ask instead of the file's voters; may be repeated.
    #[arg(long, global = true)]
    pub(super) at: Vec<String>,
    /// The cluster's name, with `--at`.
    #[arg(long, global = true)]
    pub(super) cluster: Option<String>,
    /// Print one JSON object per line.
    #[arg(long, global = true)]
    pub(super) json: bool,
}

#[derive(Subcommand)]
pub(super) enum Operation {
    /// Create a new voter's database and print its number.
    Init {
        #[arg(long)]
        directory: PathBuf,
    },
    /// Show the status of each voter.
    Status,
    /// Show the documents, or one of them, in force and prepared, as the leader has them or as any voter does.
    Show {
        document: Option<String>,
        /// Show the state of the first voter that answers, which may be stale.
        #[arg(long)]
        any: bool,
    },
    /// List edits and activations, the oldest first.
    History {
        document: Option<String>,
        #[arg(long, default_value_t = 0)]
        after: Index,
    },
    /// Show the changes between two versions of a document.
    Diff { document: String, before: u64, after: u64 },
    /// Change fields of one document, or of several by a JSON file.
    Propose {
        document: Option<String>,
        /// FIELD=VALUE: limit:RATE[,LEAST], attempts:N, repeats:never|keyed|always, node:in|out, plain:TEXT,
        /// none.
        changes: Vec<String>,
        /// The version that the changes are based on; by default the current version.
        #[arg(long)]
        base: Option<u64>,
        #[arg(long)]
        why: String,
        #[arg(long)]
        who: Option<String>,
        /// A file with the changes of an edit: {"DOCUMENT": {"base": N, "changes": {"FIELD": VALUE}}}.
        #[arg(long)]
        file: Option<PathBuf>,
        /// The id of the edit; to send an edit again whose outcome is unknown, give its id.
        #[arg(long)]
        id: Option<u64>,
        /// Return once the edit is in force, not once it is committed.
        #[arg(long)]
        wait: bool,
    },
    /// Print each entry as it is committed.
    Watch {
        #[arg(long)]
        after: Option<Index>,
    },
    /// Verify the digests of the whole log, at each voter or in the database of a stopped voter.
    Verify {
        #[arg(long)]
        directory: Option<PathBuf>,
    },
    /// List the voters, or add or remove one.
    Voters {
        /// NUMBER=ADDRESS.
        #[arg(long)]
        add: Option<String>,
        #[arg(long)]
        remove: Option<VoterId>,
    },
    /// Write all documents and committed entries to a file.
    Backup {
        #[arg(long)]
        to: PathBuf,
    },
    /// Create a new voter's database from a backup, as the only voter of a new cluster.
    Restore {
        #[arg(long)]
        from: PathBuf,
        #[arg(long)]
        directory: PathBuf,
        /// The address at which the other voters will reach it.
        #[arg(long)]
        address: String,
    },
}
