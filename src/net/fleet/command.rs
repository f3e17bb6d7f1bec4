//! `pathbank fleet`: what a head thinks of the others, asked on its operators' line.

use crate::command_line;
use clap::{Parser, Subcommand};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

const CALL_TIME: Duration = Duration::from_secs(5);
const AGAIN: Duration = Duration::from_millis(500);

/// The view of the fleet as one head has it.
#[derive(Parser)]
#[command(name = "pathbank fleet")]
struct Line {
    #[command(subcommand)]
    what: What,
    /// That head's operators' line (`ops` in its configuration).
    #[arg(long, global = true)]
    at: Option<SocketAddr>,
    /// One JSON object a line.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// All heads, with what is thought of each.
    Show,
    /// Tells each change, until it is ended.
    Watch,
    /// Why a head is thought of as it is: by whose word, since when, when it was last heard.
    Explain { head: u16 },
}

type Done<T = ()> = Result<T, String>;

/// `args` begin with the program's name.
pub fn run(args: impl IntoIterator<Item = String>) -> ExitCode {
    let line: Line = match command_line::read(args) {
        Ok(line) => line,
        Err(end) => return end,
    };
    match carry_out(&line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank fleet: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(line: &Line) -> Done {
    let at = line.at.ok_or("name the head's operators' line: --at ADDRESS")?;
    match line.what {
        What::Show => ask(at, "FLEET")?.iter().try_for_each(|told| say(line, told)),
        What::Explain { head } => {
            ask(at, &format!("FLEET {head}"))?.iter().try_for_each(|told| say(line, told))
        }
        What::Watch => watch(line, at),
    }
}

fn watch(line: &Line, at: SocketAddr) -> Done {
    let mut known = BTreeMap::new();
    loop {
        // A head that is gone for a while is no end of the watch.
        for told in ask(at, "FLEET").unwrap_or_default().iter().skip(1) {
            // What a head is thought to be, without what changes from moment to moment.
            let words: Vec<&str> = told.split(' ').take(7).collect();
            if let [_, head, ..] = words[..]
                && known.insert(head.to_string(), words.join(" ")) != Some(words.join(" "))
            {
                say(line, told)?;
            }
        }
        std::thread::sleep(AGAIN);
    }
}

/// The answer's lines, without its end.
pub fn ask(at: SocketAddr, words: &str) -> Done<Vec<String>> {
    let told = |problem: std::io::Error| format!("{at}: {problem}");
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIME).map_err(told)?;
    stream.set_nodelay(true).map_err(told)?;
    stream.set_read_timeout(Some(CALL_TIME)).map_err(told)?;
    stream.write_all(format!("{words}\n").as_bytes()).map_err(told)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(told)?;
    if let Some(reason) = text.strip_prefix("ERR ") {
        return Err(format!("{at}: {}", reason.trim_end()));
    }
    let whole = text.strip_suffix("END\n").ok_or(format!("{at}: the answer is cut"))?;
    Ok(whole.lines().map(|line| line.strip_prefix("OK ").unwrap_or(line).to_string()).collect())
}

/// Words come in pairs, but for a head's state.
fn pairs(told: &str) -> serde_json::Value {
    let words: Vec<&str> = told.split(' ').collect();
    let (mut object, mut rest) = (serde_json::Map::new(), &words[..]);
    if let ["head", number, state, others @ ..] = rest {
        object.insert("head".into(), json!(number));
        object.insert("state".into(), json!(state));
        rest = others;
    }
    for pair in rest.chunks(2) {
        if let [name, value] = pair {
            // The second view is the one that the other head last told of.
            object.insert((*name).into(), json!(value));
        }
    }
    serde_json::Value::Object(object)
}

fn say(line: &Line, told: &str) -> Done {
    let out: &dyn Display = if line.json { &pairs(told) } else { &told };
    let mut stdout = std::io::stdout().lock();
    // Whoever has read enough closes the pipe: that is no fault.
    match writeln!(stdout, "{out}").and_then(|()| stdout.flush()) {
        Err(problem) if problem.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        done => done.map_err(|problem| problem.to_string()),
    }
}

#[cfg(test)]
mod tests;
