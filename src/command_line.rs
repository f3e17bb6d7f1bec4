//! Words that operators say to a program: read by clap, or told what is wrong with them.

use clap::Parser;
use std::process::ExitCode;

/// `args` begin with the program's name. The error is the program's end: help was asked for, or the words fit nothing.
pub fn read<T: Parser>(args: impl IntoIterator<Item = String>) -> Result<T, ExitCode> {
    T::try_parse_from(args).map_err(|problem| {
        // Nobody may be there to read it.
        let _ = problem.print();
        ExitCode::from(if problem.use_stderr() { 2 } else { 0 })
    })
}
