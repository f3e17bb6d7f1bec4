//! What operators ask of a running system over its control plane.

use anyhow::{Context, Result, bail};
use clap::{Args, Subcommand};
use pathbank_control::checked_document::CheckedDocument;
use pathbank_control::document;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Redirects to the leader that are followed.
const MAX_REDIRECTS: usize = 3;

/// Which system is asked.
#[derive(Debug, Args)]
pub struct Target {
    /// The control plane of any core, `ip:port`.
    #[arg(long)]
    control: SocketAddr,
}

/// What is done with the configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Prints the newest configuration.
    Get(Target),
    /// Checks a file as the system would, without a system.
    Check {
        /// The file with a whole configuration.
        file: PathBuf,
    },
    /// Makes a file the configuration, in place of the newest one.
    Apply {
        #[command(flatten)]
        target: Target,
        /// The file with a whole configuration.
        file: PathBuf,
    },
    /// Lists what a file changes, by section and name.
    Diff {
        #[command(flatten)]
        target: Target,
        /// The file with a whole configuration.
        file: PathBuf,
    },
}

/// An answer of a control plane.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    location: Option<String>,
    /// The body.
    pub body: String,
}

/// One call to a control plane, led on to the leader where need be.
pub fn call(target: SocketAddr, method: &str, path: &str, base: Option<u64>, body: &str) -> Result<Answer> {
    let mut address = target;
    for _ in 0..=MAX_REDIRECTS {
        let answer = call_one(address, method, path, base, body)?;
        let Some(location) = answer.location.as_deref().filter(|_| answer.status == 307) else {
            return Ok(answer);
        };
        let host = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
        address = host.parse().with_context(|| format!("led on to {location}"))?;
    }
    bail!("redirected more than {MAX_REDIRECTS} times")
}

fn call_one(address: SocketAddr, method: &str, path: &str, base: Option<u64>, body: &str) -> Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).with_context(|| address.to_string())?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let base = base.map(|base| format!("X-Pathbank-Base-Version: {base}\r\n")).unwrap_or_default();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{base}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").context("no answer")?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).context("no status")?;
    let mut lines = head.lines();
    let location =
        lines.find_map(|line| line.to_ascii_lowercase().strip_prefix("location: ").map(str::to_owned));
    Ok(Answer { status, location, body: body.to_owned() })
}

/// What a control plane tells at a path.
pub(super) fn fetch(target: &Target, path: &str) -> Result<Value> {
    let answer = call(target.control, "GET", path, None, "")?;
    if answer.status != 200 {
        bail!("{path}: status {}: {}", answer.status, answer.body.trim());
    }
    serde_json::from_str(&answer.body).with_context(|| format!("{path}: no JSON"))
}

/// A text of an answer; a dash where there is none.
pub(super) fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value.get(key).and_then(Value::as_str).unwrap_or("-")
}

/// Prints who leads and votes, and how many model servers and edges there are.
pub fn status(target: &Target) -> Result<()> {
    let status = fetch(target, "/api/status")?;
    println!("{}", serde_json::to_string_pretty(&status)?);
    Ok(())
}

/// Prints who may act on the outside and what was told to the platform.
pub fn duties(target: &Target) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(&fetch(target, "/api/duties")?)?);
    Ok(())
}

/// Prints a line for each model and adapter that is asked for or held, most asked first, then the orders
/// under way.
pub fn placement(target: &Target) -> Result<()> {
    let overview = fetch(target, "/api/placement")?;
    let items = |key: &str| overview.get(key).and_then(Value::as_array).cloned().unwrap_or_default();
    let rate = |model: &Value| model.get("requests_per_s").and_then(Value::as_f64).unwrap_or(0.0);
    let mut models = items("models");
    models.sort_by(|one, other| rate(other).total_cmp(&rate(one)));
    println!("backend\tmodel\tadapter\trequests/s\twaiting\tbricks");
    for model in &models {
        let waiting = model.get("waiting").and_then(Value::as_f64).unwrap_or(0.0);
        let servers: Vec<&str> = model
            .get("bricks")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        let (backend, name, adapter) = (text(model, "backend"), text(model, "model"), text(model, "adapter"));
        println!("{backend}\t{name}\t{adapter}\t{:.2}\t{waiting:.0}\t{}", rate(model), servers.join(","));
    }
    for order in items("orders") {
        let (operation, instance) = (text(&order, "operation"), text(&order, "instance"));
        println!("order: {operation} {} {} at {instance}", text(&order, "model"), text(&order, "adapter"));
    }
    for reserved in items("reserved") {
        println!("reserved: {} for {}", text(&reserved, "instance"), text(&reserved, "model"));
    }
    Ok(())
}

/// Prints a line for each model server.
pub fn servers(target: &Target) -> Result<()> {
    let status = fetch(target, "/api/bricks")?;
    for server in status.as_array().into_iter().flatten() {
        let models = server.get("models").map(Value::to_string).unwrap_or_default();
        println!(
            "{}\t{}\t{}\t{}\t{}\t{models}",
            text(server, "instance"),
            text(server, "backend"),
            text(server, "zone"),
            text(server, "address"),
            text(server, "state"),
        );
    }
    Ok(())
}

fn read_file(file: &Path) -> Result<Value> {
    let bytes = std::fs::read(file).with_context(|| file.display().to_string())?;
    let document = document::parse_object(&bytes)?;
    CheckedDocument::try_from(document.as_object().cloned().unwrap_or_default())?;
    Ok(document)
}

/// Carries out what is done with the configuration.
pub fn config(command: &ConfigCommand) -> Result<()> {
    match command {
        ConfigCommand::Get(target) => {
            println!("{}", serde_json::to_string_pretty(&fetch(target, "/api/config/read")?)?);
        }
        ConfigCommand::Check { file } => {
            let document = read_file(file)?;
            println!("ok: version {}", document.get("version").unwrap_or(&Value::Null));
        }
        ConfigCommand::Apply { target, file } => {
            let document = read_file(file)?;
            let base =
                fetch(target, "/api/config/read").ok().and_then(|newest| newest.get("version")?.as_u64());
            let body = document.to_string();
            let answer = call(target.control, "POST", "/api/config/replace", Some(base.unwrap_or(0)), &body)?;
            if answer.status != 200 {
                bail!("not taken: status {}: {}", answer.status, answer.body.trim());
            }
            println!("taken");
        }
        ConfigCommand::Diff { target, file } => {
            diff(&fetch(target, "/api/config/read")?, &read_file(file)?);
        }
    }
    Ok(())
}

fn diff(newest: &Value, file: &Value) {
    for section in ["routes", "backends", "tenants"] {
        let items =
            |document: &Value| document.get(section).and_then(Value::as_array).cloned().unwrap_or_default();
        let (before, after) = (items(newest), items(file));
        let named =
            |items: &[Value], name: &str| items.iter().find(|item| text(item, "name") == name).cloned();
        for item in &after {
            match named(&before, text(item, "name")) {
                None => println!("+ {section} {}", text(item, "name")),
                Some(known) if known != *item => println!("~ {section} {}", text(item, "name")),
                Some(_) => {}
            }
        }
        for item in before.iter().filter(|item| named(&after, text(item, "name")).is_none()) {
            println!("- {section} {}", text(item, "name"));
        }
    }
    if newest.get("limits") != file.get("limits") {
        println!("~ limits");
    }
}
