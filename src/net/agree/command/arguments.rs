//! The words that operators give `pathbank agree`, as clap reads them.

use crate::agree::{Index, VoterId};
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// What the heads agree on. Voters are those of the file that PATHBANK_AGREE names (deploy/agree.toml), or of
/// `--at`.
#[derive(Parser)]
#[command(name = "pathbank agree")]
pub(super) struct Arguments {
    #[command(subcommand)]
    pub(super) operation: Operation,
    /// Voters to ask, in place of the file's: ADDRESS, several times.
    #[arg(long, global = true)]
    pub(super) at: Vec<String>,
    /// The fleet's name, with `--at`.
    #[arg(long, global = true)]
    pub(super) cluster: Option<String>,
    /// One JSON object a line.
    #[arg(long, global = true)]
    pub(super) json: bool,
}

#[derive(Subcommand)]
pub(super) enum Operation {
    /// Makes a new voter's disk and prints its number.
    Init {
        #[arg(long)]
        directory: PathBuf,
    },
    /// How each voter stands.
    Status,
    /// Documents in force, or one of them, with what is prepared; as the leader has it, or as any voter does.
    Show {
        document: Option<String>,
        /// As the first voter that answers has it, maybe old.
        #[arg(long)]
        any: bool,
    },
    /// Edits and what came into force, from the first on.
    History {
        document: Option<String>,
        #[arg(long, default_value_t = 0)]
        after: Index,
    },
    /// What changed between two versions of a document.
    Diff { document: String, before: u64, after: u64 },
    /// Changes fields of one document, or of several by a file of JSON.
    Propose {
        document: Option<String>,
        /// FIELD=VALUE: limit:RATE[,LEAST], attempts:N, repeats:never|keyed|always, node:in|out, plain:TEXT,
        /// none.
        changes: Vec<String>,
        /// The version that was seen; without it the one that is read now.
        #[arg(long)]
        base: Option<u64>,
        #[arg(long)]
        why: String,
        #[arg(long)]
        who: Option<String>,
        /// Parts of an edit: {"DOCUMENT": {"base": N, "changes": {"FIELD": VALUE}}}.
        #[arg(long)]
        file: Option<PathBuf>,
        /// The same number as before, where it is not known what became of an edit.
        #[arg(long)]
        id: Option<u64>,
        /// Returns once it is in force, not once it counts.
        #[arg(long)]
        wait: bool,
    },
    /// Tells each entry as it counts.
    Watch {
        #[arg(long)]
        after: Option<Index>,
    },
    /// Follows the digests of the whole log, at each voter or on a stopped one's disk.
    Verify {
        #[arg(long)]
        directory: Option<PathBuf>,
    },
    /// Adds or removes a voter.
    Voters {
        /// NUMBER=ADDRESS.
        #[arg(long)]
        add: Option<String>,
        #[arg(long)]
        remove: Option<VoterId>,
    },
    /// Writes all that counts to a file.
    Backup {
        #[arg(long)]
        to: PathBuf,
    },
    /// Makes a new voter's disk from a backup, as the only voter of a new cluster.
    Restore {
        #[arg(long)]
        from: PathBuf,
        #[arg(long)]
        directory: PathBuf,
        /// Where the others will reach it.
        #[arg(long)]
        address: String,
    },
}
