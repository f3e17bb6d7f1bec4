//! Parsing of command-line arguments with clap.

use clap::Parser;
use std::process::ExitCode;

/// Parses the arguments, which begin with the program's name.
///
/// # Errors
///
/// Prints the help or the error and returns the exit code: 0 if help was asked for, 2 if the arguments are
/// invalid.
pub fn read<T: Parser>(args: impl IntoIterator<Item = String>) -> Result<T, ExitCode> {
    T::try_parse_from(args).map_err(|error| {
        // Printing fails if the output is closed; the exit code still tells the result.
        let _ = error.print();
        ExitCode::from(if error.use_stderr() { 2 } else { 0 })
    })
}
