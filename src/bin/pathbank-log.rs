//! Reads a head's log: strict RFC 5424 lines, from files or standard input.

use clap::{Parser, Subcommand};
use pathbank::events;
use pathbank::logbook::{Condition, Deduplicator, GroupBy, Summaries, at_least_as_severe, follow, message};
use pathbank::syslog::Severity;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// A line longer than this is none.
const MOST_LINE: u64 = 1024 * 1024;

#[derive(Parser)]
#[command(name = "pathbank-log", about = "Reads a head's log (RFC 5424)")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the lines that fit all conditions
    Show {
        #[command(flatten)]
        which: Which,
    },
    /// Tells one request's way through its attempts
    Follow {
        /// Its number at its head
        request: u64,
        #[command(flatten)]
        which: Which,
    },
    /// Sums up requests or attempts, with latencies
    Sum {
        #[arg(value_enum)]
        by: GroupBy,
        #[command(flatten)]
        which: Which,
    },
    /// Reads all lines strictly and tells what is wrong, missing or there twice; exits 1 if a line is malformed
    Check {
        #[command(flatten)]
        which: Which,
    },
    /// Prints the catalogue of events as the page docs/operators/events.md
    Events,
}

#[derive(clap::Args)]
struct Which {
    /// NAME=VALUE, NAME!=VALUE, NAME~PART, NAME>=N or NAME<=N, of msgid, host, process, severity, time, text or any
    /// parameter (ELEMENT.NAME for that of one element); all must hold
    #[arg(short, long = "where")]
    conditions: Vec<Condition>,
    /// This severity and graver ones only (emergency to debug)
    #[arg(short, long, value_parser = severity)]
    severity: Option<Severity>,
    /// Files; without any, standard input
    files: Vec<PathBuf>,
}

fn severity(text: &str) -> Result<Severity, String> {
    let found = Severity::ALL.into_iter().find(|severity| severity.name() == text);
    found.ok_or_else(|| format!("{text:?} is none of {}", Severity::ALL.map(Severity::name).join(", ")))
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(code) => code,
        // Whoever read this has had enough.
        Err(problem) if problem.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank-log: {problem}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> io::Result<ExitCode> {
    let mut out = BufWriter::new(io::stdout().lock());
    let mut deduplicator = Deduplicator::default();
    let mut malformed = 0;
    match command {
        Command::Events => out.write_all(events::page().as_bytes())?,
        Command::Show { which } => {
            malformed = each(&which, &mut deduplicator, |line, _| {
                out.write_all(line)?;
                out.write_all(b"\n")
            })?;
        }
        Command::Follow { request, which } => {
            let wanted = request.to_string();
            malformed = each(&which, &mut deduplicator, |_, message| {
                let same = message.any("request").is_some_and(|value| *value == wanted);
                match follow(message).filter(|_| same) {
                    Some(told) => writeln!(out, "{} {told}", message.host.unwrap_or("-")),
                    None => Ok(()),
                }
            })?;
        }
        Command::Sum { by, which } => {
            let mut summaries = Summaries::new(by);
            malformed = each(&which, &mut deduplicator, |_, message| {
                summaries.add(message);
                Ok(())
            })?;
            write!(out, "{summaries}")?;
        }
        Command::Check { which } => {
            let mut lines = 0u64;
            malformed = each(&which, &mut deduplicator, |_, _| {
                lines += 1;
                Ok(())
            })?;
            let (repeats, gaps) = (deduplicator.repeats, deduplicator.gaps());
            writeln!(out, "{lines} lines, {malformed} malformed, {repeats} repeated, {gaps} missing")?;
        }
    }
    out.flush()?;
    Ok(if malformed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Calls back with each line that fits, once; returns how many were malformed, each told on standard error.
fn each(
    which: &Which,
    deduplicator: &mut Deduplicator,
    mut with: impl FnMut(&[u8], &pathbank::syslog::parse::Message) -> io::Result<()>,
) -> io::Result<u64> {
    let mut inputs: Vec<(String, Box<dyn BufRead>)> = Vec::new();
    for path in &which.files {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        inputs.push((path.display().to_string(), Box::new(BufReader::new(File::open(path).map_err(named)?))));
    }
    if inputs.is_empty() {
        inputs.push(("standard input".into(), Box::new(io::stdin().lock())));
    }
    let mut malformed = 0;
    for (name, mut input) in inputs {
        let (mut line, mut number) = (Vec::new(), 0u64);
        loop {
            line.clear();
            if input.by_ref().take(MOST_LINE).read_until(b'\n', &mut line)? == 0 {
                break;
            }
            number += 1;
            if line.last() == Some(&b'\n') {
                line.pop();
            }
            match message(&line) {
                Err(error) => {
                    malformed += 1;
                    eprintln!("{name}, line {number}, {error}");
                }
                Ok(message) => {
                    let severe = which.severity.is_none_or(|least| at_least_as_severe(&message, least));
                    if deduplicator.first(&message)
                        && severe
                        && which.conditions.iter().all(|c| c.fits(&message))
                    {
                        with(&line, &message)?;
                    }
                }
            }
        }
    }
    Ok(malformed)
}
