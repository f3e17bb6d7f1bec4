//! The command line: the daemons by role, and what operators ask of a running system or of a file.

use crate::rehearsal;
use crate::rehearsal::page;
use crate::rehearsal::scale::{self, ScalePlan};
use crate::rehearsal::steps::StepsPlan;
use crate::settings::Settings;
use anyhow::Result;
use clap::{Parser, Subcommand};
use std::path::PathBuf;

mod demo;
mod explain;
mod operator;
mod stand_in;
mod steps;

pub use operator::{Answer, call};

/// The system: edges, cores, and operators' commands.
#[derive(Debug, Parser)]
#[command(name = "pathbank-system", version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an edge: takes clients' requests and passes them to model servers.
    Edge,
    /// Runs a core: holds the configuration, tracks model servers, places models.
    Core,
    /// Checks the settings file and prints what is read from it.
    Settings {
        /// The file; the one of PATHBANK_CONFIG when left out.
        path: Option<PathBuf>,
    },
    /// Shows who leads, who votes, model servers and edges.
    Status(operator::Target),
    /// Lists model servers with what they hold.
    ModelServers(operator::Target),
    /// Shows what is asked of each model, who holds it, and the orders under way.
    Placement(operator::Target),
    /// Shows who holds the lease, its fencing token, reported usage and the model servers ordered.
    Duties(operator::Target),
    /// Shows training steps: which there are, how one stands, why it waits.
    #[command(subcommand)]
    Steps(steps::StepsCommand),
    /// Tells what became of one request.
    Explain(explain::Explain),
    /// Reads, checks and changes the configuration.
    #[command(subcommand)]
    Config(operator::ConfigCommand),
    /// Shows the whole system on this machine: three cores, an edge, a stand-in model server, one request.
    Demo,
    /// Rehearses at size: real cores before hollow edges and model servers, on loopback.
    Rehearse(ScalePlan),
    /// Rehearses training steps on real processes: step after step beside merchants, with faults, and an
    /// audit.
    RehearseSteps(StepsPlan),
    /// Runs a stand-in model server that keeps the published protocol, for rehearsals.
    StandIn(stand_in::StandInArguments),
    /// Writes the tables of the capacity page from recorded rehearsals.
    Capacity(page::PageCommand),
}

/// Carries a command out.
pub fn run(line: CommandLine) -> Result<()> {
    match line.command {
        Command::Edge => daemon(crate::edge::run),
        Command::Core => daemon(crate::core::run),
        Command::Settings { path } => {
            let settings = Settings::load(&path.unwrap_or_else(Settings::path))?;
            println!("{settings:#?}");
            Ok(())
        }
        Command::Status(target) => operator::status(&target),
        Command::ModelServers(target) => operator::servers(&target),
        Command::Placement(target) => operator::placement(&target),
        Command::Duties(target) => operator::duties(&target),
        Command::Steps(command) => steps::run(&command),
        Command::Explain(explain) => explain::run(&explain),
        Command::Config(command) => operator::config(&command),
        Command::Demo => demo::run(),
        Command::Rehearse(plan) => scale::run(&plan),
        Command::RehearseSteps(plan) => rehearsal::steps::run(&plan),
        Command::StandIn(arguments) => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(stand_in::run(arguments))
        }
        Command::Capacity(command) => page::run(&command),
    }
}

fn daemon<F: Future<Output = Result<()>>>(run: impl FnOnce(Settings) -> F) -> Result<()> {
    let settings = Settings::load(&Settings::path())?;
    start_log(&settings.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(settings))
}

fn start_log(level: &str) {
    let level = level.parse().unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr).init();
}
