//! The daemons of the system and its operators' commands. `docs/operators/system.md` tells how to run them.

use clap::Parser;
use pathbank_system::command::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    match pathbank_system::command::run(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pathbank-system: {error:#}");
            ExitCode::FAILURE
        }
    }
}
