//! The `pathbank fleet` command: shows one host's view of the other hosts, which it asks for on that host's
//! operators' line.

use crate::command_line;
use clap::{Parser, Subcommand};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Time to connect, and time to wait for each read of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two queries of `watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Show which hosts run, as seen by one host.
#[derive(Parser)]
#[command(name = "pathbank fleet")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Address of that host's operators' line (`ops` in its configuration).
    #[arg(long, global = true)]
    at: Option<SocketAddr>,
    /// Print one JSON object per line.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Show the state of all hosts.
    Show,
    /// Print each change until interrupted.
    Watch,
    /// Explain the state of one host: which host reported it, since when, and when the host was last heard.
    Explain { head: u16 },
}

/// The result of a query; the error is a message for the operator.
type QueryResult<T = ()> = Result<T, String>;

/// Runs the command. `args` begin with the program's name.
pub fn run(args: impl IntoIterator<Item = String>) -> ExitCode {
    let arguments: Arguments = match command_line::read(args) {
        Ok(arguments) => arguments,
        Err(exit_code) => return exit_code,
    };
    match execute(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pathbank fleet: {error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(arguments: &Arguments) -> QueryResult {
    let address = arguments.at.ok_or("the address of the host's operators' line is missing: --at ADDRESS")?;
    match arguments.command {
        Command::Show => ask(address, "FLEET")?.iter().try_for_each(|line| print(arguments, line)),
        Command::Explain { head } => {
            ask(address, &format!("FLEET {head}"))?.iter().try_for_each(|line| print(arguments, line))
        }
        Command::Watch => watch(arguments, address),
    }
}

/// Queries the host again and again and prints each line whose state has changed.
fn watch(arguments: &Arguments, address: SocketAddr) -> QueryResult {
    let mut known = BTreeMap::new();
    loop {
        // The watch continues while the host can't be reached.
        for line in ask(address, "FLEET").unwrap_or_default().iter().skip(1) {
            // The first seven words hold the host's state; the rest changes all the time.
            let words: Vec<&str> = line.split(' ').take(7).collect();
            if let [_, head, ..] = words[..]
                && known.insert(head.to_string(), words.join(" ")) != Some(words.join(" "))
            {
                print(arguments, line)?;
            }
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

/// Sends the query `words` to the operators' line at `at` and returns the lines of the answer, without its
/// end marker.
///
/// # Errors
///
/// Returns a message if the connection fails or times out, if the host answers `ERR`, or if the answer is
/// incomplete.
pub fn ask(at: SocketAddr, words: &str) -> QueryResult<Vec<String>> {
    let message = |error: std::io::Error| format!("{at}: {error}");
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT).map_err(message)?;
    stream.set_nodelay(true).map_err(message)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).map_err(message)?;
    stream.write_all(format!("{words}\n").as_bytes()).map_err(message)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(message)?;
    if let Some(reason) = text.strip_prefix("ERR ") {
        return Err(format!("{at}: {}", reason.trim_end()));
    }
    let whole = text.strip_suffix("END\n").ok_or(format!("{at}: the answer is incomplete"))?;
    Ok(whole.lines().map(|line| line.strip_prefix("OK ").unwrap_or(line).to_string()).collect())
}

/// Converts a line of the answer to a JSON object. The line is a list of names and values, except that a
/// host's state follows its number without a name.
fn pairs(line: &str) -> serde_json::Value {
    let words: Vec<&str> = line.split(' ').collect();
    let (mut object, mut rest) = (serde_json::Map::new(), &words[..]);
    if let ["head", number, state, others @ ..] = rest {
        object.insert("head".into(), json!(number));
        object.insert("state".into(), json!(state));
        rest = others;
    }
    for pair in rest.chunks(2) {
        if let [name, value] = pair {
            // In a host's line, `view` says whether the view that this host last reported is the same.
            object.insert((*name).into(), json!(value));
        }
    }
    serde_json::Value::Object(object)
}

/// Prints a line of the answer as text or JSON.
fn print(arguments: &Arguments, line: &str) -> QueryResult {
    let output: &dyn Display = if arguments.json { &pairs(line) } else { &line };
    let mut stdout = std::io::stdout().lock();
    // A reader that has read enough closes the pipe, which is not an error.
    match writeln!(stdout, "{output}").and_then(|()| stdout.flush()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        result => result.map_err(|error| error.to_string()),
    }
}

#[cfg(test)]
mod tests;
