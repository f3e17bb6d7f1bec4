//! `pathbank agree`: operators' requests to voters, and work on the database of a stopped voter. `arguments` is the
//! command line, `cluster` makes the calls, and `output` prints results. Each group of commands has its own module.

mod arguments;
mod cluster;
mod documents;
mod error;
mod membership;
mod output;
mod proposal;
mod storage;

use crate::command_line;
use arguments::{Arguments, Operation};
use cluster::Cluster;
use error::CommandError;
use output::Output;
use std::process::ExitCode;

/// Runs one command. `args` begins with the program's name.
pub fn run(args: impl IntoIterator<Item = String>) -> ExitCode {
    let arguments: Arguments = match command_line::read(args) {
        Ok(arguments) => arguments,
        Err(end) => return end,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime.map_err(CommandError::Io).and_then(|runtime| runtime.block_on(carry_out(&arguments)));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank agree: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn carry_out(arguments: &Arguments) -> Result<(), CommandError> {
    let output = &Output { json: arguments.json };
    let cluster = || Cluster::new(arguments);
    match &arguments.operation {
        Operation::Init { directory } => storage::init(output, directory),
        Operation::Verify { directory: Some(directory) } => storage::verify_stopped(output, directory),
        Operation::Verify { directory: None } => storage::verify_running(&cluster()?, output).await,
        Operation::Backup { to } => storage::back_up(&cluster()?, output, to).await,
        Operation::Restore { from, directory, address } => storage::restore(output, from, directory, address),
        Operation::Status => membership::status(&cluster()?, output).await,
        Operation::Voters { add, remove } => {
            membership::voters(&cluster()?, output, add.as_deref(), *remove).await
        }
        Operation::Show { document, any } => {
            documents::show(&cluster()?, output, document.as_deref(), *any).await
        }
        Operation::History { document, after } => {
            documents::history(&cluster()?, output, document.as_deref(), *after).await
        }
        Operation::Diff { document, before, after } => {
            documents::diff(&cluster()?, output, document, *before, *after).await
        }
        Operation::Watch { after } => documents::watch(&cluster()?, output, *after).await,
        Operation::Propose { document, changes, base, why, who, file, id, wait } => {
            let proposal = proposal::Proposal {
                document: document.as_deref(),
                changes,
                base: *base,
                why,
                who: who.as_deref(),
                file: file.as_deref(),
                id: *id,
            };
            proposal::propose(&cluster()?, output, &proposal, *wait).await
        }
    }
}
