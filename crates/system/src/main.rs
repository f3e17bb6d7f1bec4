//! The program with the system's daemons and operators' commands. `docs/operators/system.md` describes how to
//! run them.

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
