//! What became of one request: asked of edges, or found in a log.

use super::operator::call;
use anyhow::{Context, Result, bail};
use clap::Args;
use serde_json::Value;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Which request, and where it is looked for.
#[derive(Debug, Args)]
#[command(group(clap::ArgGroup::new("source").required(true).args(["edge", "log"])))]
pub struct Explain {
    /// The client's X-Pathbank-Request-Id.
    request: String,
    /// Readiness addresses of edges, `ip:port`; each remembers its latest requests.
    #[arg(long, value_delimiter = ',')]
    edge: Vec<SocketAddr>,
    /// A log written at `log_level=debug`.
    #[arg(long)]
    log: Option<PathBuf>,
}

/// Prints the request's way.
pub fn run(explain: &Explain) -> Result<()> {
    match &explain.log {
        Some(path) => from_log(path, &explain.request),
        None => from_heads(&explain.edge, &explain.request),
    }
}

fn from_heads(heads: &[SocketAddr], request: &str) -> Result<()> {
    let mut known = false;
    for head in heads {
        let answer = call(*head, "GET", &format!("/api/requests/{request}"), None, "")?;
        if answer.status == 404 {
            continue;
        }
        if answer.status != 200 {
            bail!("{head}: status {}", answer.status);
        }
        let told: Value = serde_json::from_str(&answer.body).with_context(|| format!("{head}: no JSON"))?;
        print_steps(&told);
        known = true;
    }
    match known {
        true => Ok(()),
        false => bail!("no head asked knows request {request}: it went to another one, or is forgotten"),
    }
}

fn print_steps(told: &Value) {
    println!("{}", told.get("head").and_then(Value::as_str).unwrap_or("-"));
    for step in told.get("steps").and_then(Value::as_array).into_iter().flatten() {
        let name = step.get("step").and_then(Value::as_str).unwrap_or("-");
        let after = step.get("after_ms").and_then(Value::as_u64).unwrap_or(0);
        let detail = step.get("detail").and_then(Value::as_object);
        let told: Vec<String> =
            detail.into_iter().flatten().map(|(key, value)| format!("{key}={value}")).collect();
        println!("{after:>8} ms  {name:<10} {}", told.join(" "));
    }
}

fn from_log(path: &Path, request: &str) -> Result<()> {
    let file = File::open(path).with_context(|| path.display().to_string())?;
    let mut found = false;
    for line in BufReader::new(file).lines() {
        let line = line.with_context(|| path.display().to_string())?;
        if tells_of(&line, request) {
            println!("{line}");
            found = true;
        }
    }
    match found {
        true => Ok(()),
        false => bail!("{} tells nothing of request {request}; is it written at debug?", path.display()),
    }
}

/// Whether a line of the log has the field `id` with this value.
fn tells_of(line: &str, request: &str) -> bool {
    let value = |field: &str| field.strip_prefix("id=").map(|value| value.trim_matches('"').to_owned());
    line.split_whitespace().filter_map(value).any(|id| id == request)
}
