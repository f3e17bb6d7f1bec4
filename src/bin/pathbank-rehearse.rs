//! Plays the rehearsal's named cases against the daemon that is built beside this program.
//!
//! `pathbank-rehearse` plays all, `pathbank-rehearse NAME ...` those named, `pathbank-rehearse --list` tells them. Each is
//! played in every kind of deployment that the kit knows. `pathbank-rehearse fleet` plays the rig of many heads with faults
//! between them; its own `--help` tells how.

use clap::Parser;
use pathbank::command_line;
use pathbank::rehearsal::cases::{Case, all};
use pathbank::rehearsal::fleet::schedule::{KINDS, Kind, drawn, shortest};
use pathbank::rehearsal::fleet::{run, view};
use pathbank::rehearsal::stage::{Site, play_in};
use std::iter::once;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Many heads, faults between them by a seed, and an audit of what they did.
#[derive(Parser)]
#[command(name = "pathbank-rehearse fleet")]
struct FleetLine {
    /// The first seed, and how many from there on.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long, default_value_t = 5)]
    heads: usize,
    /// So many fleets side by side.
    #[arg(long, default_value_t = 1)]
    at_once: usize,
    /// Which faults may be drawn, with commas between them; all by default, `none` for none.
    #[arg(long)]
    faults: Option<String>,
    /// For how long faults begin.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Some heads take their leases for far longer than the voters count: the audit has to find that.
    #[arg(long)]
    long_leases: bool,
    /// No clients, no nodes that answer, no edits but those that are timed.
    #[arg(long)]
    quiet: bool,
    /// Measures what agreement costs, in place of breaking things.
    #[arg(long)]
    measure: bool,
    /// Looks for the least of a failed schedule that still fails, in so many runs at most.
    #[arg(long, default_value_t = 0)]
    shrink: usize,
}

fn fleet(daemon: &Path, args: Vec<String>) -> ExitCode {
    let line: FleetLine = match command_line::read(once("pathbank-rehearse fleet".to_string()).chain(args)) {
        Ok(line) => line,
        Err(end) => return end,
    };
    let kinds = match line.faults.as_deref() {
        None => Ok(KINDS.iter().map(|(kind, _)| *kind).collect::<Vec<Kind>>()),
        Some("none") => Ok(Vec::new()),
        Some(names) => names.split(',').map(str::parse).collect(),
    };
    let kinds = match kinds {
        Ok(kinds) if line.heads >= 3 => kinds,
        Ok(_) => {
            eprintln!("pathbank-rehearse fleet: three heads at least are due");
            return ExitCode::from(2);
        }
        Err(problem) => {
            eprintln!("pathbank-rehearse fleet: {problem}");
            return ExitCode::from(2);
        }
    };
    if line.measure {
        let plan = run::Plan {
            seed: line.seed,
            heads: line.heads,
            long_leases: false,
            lowers: false,
            traffic: false,
        };
        return match run::measure(daemon, &plan) {
            Ok(told) => {
                told.iter().for_each(|line| println!("{line}"));
                ExitCode::SUCCESS
            }
            Err(failure) => {
                eprintln!("pathbank-rehearse fleet: {failure}");
                ExitCode::FAILURE
            }
        };
    }
    let (next, passed) = (AtomicU64::new(line.seed), AtomicU64::new(0));
    let one_after_another = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= line.seed + line.seeds {
                return;
            }
            passed.fetch_add(u64::from(one(daemon, &line, &kinds, seed)), Ordering::Relaxed);
        }
    };
    thread::scope(|fleets| (0..line.at_once.max(1)).for_each(|_| drop(fleets.spawn(one_after_another))));
    let passed = passed.into_inner();
    println!("{passed} passed, {} failed", line.seeds - passed);
    if passed == line.seeds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Many heads that keep a view of which of them run, with faults between them, over datagrams that get lost.
#[derive(Parser)]
#[command(name = "pathbank-rehearse view")]
struct ViewLine {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long, default_value_t = 5)]
    heads: usize,
    /// Datagrams lost, of a hundred.
    #[arg(long, default_value_t = 10)]
    loss: u32,
}

fn view(daemon: &Path, args: Vec<String>) -> ExitCode {
    let line: ViewLine = match command_line::read(once("pathbank-rehearse view".to_string()).chain(args)) {
        Ok(line) => line,
        Err(end) => return end,
    };
    if line.heads < 3 {
        eprintln!("pathbank-rehearse view: three heads at least are due");
        return ExitCode::from(2);
    }
    let promised = view::promised(line.heads);
    let (mut passed, mut failed) = (0, 0);
    for seed in line.seed..line.seed + line.seeds {
        match view::play(daemon, &view::Plan { seed, heads: line.heads, loss: line.loss }) {
            Ok(played) => {
                let late = played.settled.iter().any(|settled| settled.took > promised);
                (passed, failed) = if late { (passed, failed + 1) } else { (passed + 1, failed) };
                let word = if late { "LATE" } else { "ok" };
                for view::Settled { what, took } in &played.settled {
                    println!("{word:<7} seed {seed}: {what}: settled after {} ms", took.as_millis());
                }
                println!(
                    "{word:<7} seed {seed}: at rest {} bytes a second and head, {} ms of CPU in 5 s at the most",
                    played.bytes,
                    10 * played.ticks
                );
            }
            Err(failure) => {
                failed += 1;
                println!("FAILED  seed {seed}: {failure}");
            }
        }
    }
    println!("promised within {} ms", promised.as_millis());
    println!("{passed} passed, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Whether a seed's fleet kept all that it promises.
fn one(daemon: &Path, line: &FleetLine, kinds: &[Kind], seed: u64) -> bool {
    let plan = run::Plan {
        seed,
        heads: line.heads,
        long_leases: line.long_leases,
        lowers: false,
        traffic: !line.quiet,
    };
    let faults = drawn(seed, line.heads, 3, kinds, line.seconds * 1_000);
    let played = run::play(daemon, &plan, &faults);
    let problems = match &played {
        Ok(played) => played.verdict.problems.clone(),
        Err(failure) => vec![failure.to_string()],
    };
    if problems.is_empty() {
        played.iter().for_each(|played| println!("ok      {}", run::line(&plan, played)));
        return true;
    }
    println!("FAILED  seed {seed}: {}", problems.join("; "));
    let fails = |faults: &[_]| {
        run::play(daemon, &plan, faults).map_or(true, |played| !played.verdict.problems.is_empty())
    };
    let least = shortest(faults, line.shrink, fails);
    least.iter().for_each(|fault| println!("        {fault}"));
    false
}

fn main() -> ExitCode {
    let daemon = match std::env::current_exe() {
        Ok(own) => own.with_file_name("pathbank"),
        Err(_) => PathBuf::from("target/release/pathbank"),
    };
    if std::env::args().nth(1).as_deref() == Some("fleet") {
        return fleet(&daemon, std::env::args().skip(2).collect());
    }
    if std::env::args().nth(1).as_deref() == Some("view") {
        return view(&daemon, std::env::args().skip(2).collect());
    }
    let names: Vec<String> = std::env::args().skip(1).collect();
    if names.iter().any(|name| name == "--list") {
        all().for_each(|case| println!("{:<18} {}", case.name, case.about));
        return ExitCode::SUCCESS;
    }
    if let Some(unknown) = names.iter().find(|name| all().all(|case| case.name != **name)) {
        eprintln!("pathbank-rehearse: no case {unknown}; --list tells them");
        return ExitCode::from(2);
    }
    let chosen = all().filter(|case| names.is_empty() || names.iter().any(|name| name == case.name));
    let (mut passed, mut failed) = (0, 0);
    for Case { name, about, play } in chosen {
        for site in Site::ALL {
            play_in(site);
            let site = site.name();
            match play(&daemon) {
                Ok(()) => {
                    passed += 1;
                    println!("ok      {name:<18} {site:<7} {about}");
                }
                Err(failure) => {
                    failed += 1;
                    println!("FAILED  {name:<18} {site:<7} {failure}");
                }
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
