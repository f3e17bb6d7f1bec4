//! The log's file: what goes to standard error, which requests are told, which collectors get the lines, and where
//! they wait.

use super::{ConfigError, Names, operators_file, unreadable};
use crate::events::requests::{RequestLog, Sampling, SamplingRule};
use crate::logging::tls::{self, Fingerprint};
use crate::syslog::{delivery, encode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

const PATH: &str = "deploy/syslog.toml";
const QUEUE: usize = 1024 * 1024;
/// The part of the memory that the queues may take at most.
const QUEUE_PART: usize = 16;
const STDERR_QUEUE: usize = 256 * 1024;
const SPOOL_MB: u64 = 64;
const SPOOL_HOURS: u64 = 72;
const STALL_MS: u64 = 10_000;
const MOST_LINE: usize = 65_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    #[default]
    Syslog,
    Json,
    Off,
}

#[derive(Clone, Debug)]
pub struct Log {
    pub stderr: Format,
    pub limits: encode::Limits,
    pub stderr_queue: usize,
    pub queue: usize,
    pub collectors: Vec<Collector>,
    pub delivery: delivery::Limits,
    /// A collector that takes nothing for so long is given up.
    pub stall: Duration,
    pub spool: Option<SpoolLimits>,
    pub request_log: Option<RequestLog>,
}

#[derive(Clone, Debug)]
pub struct Collector {
    pub address: SocketAddr,
    pub transport: Transport,
}

#[derive(Clone, Debug)]
pub enum Transport {
    Udp,
    Tcp,
    Tls { name: rustls::pki_types::ServerName<'static>, config: Arc<rustls::ClientConfig> },
}

#[derive(Clone, Debug, PartialEq)]
pub struct SpoolLimits {
    pub directory: PathBuf,
    pub bytes: u64,
    pub age: Duration,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    stderr: Format,
    most_line: Option<usize>,
    most_value: Option<usize>,
    queue_kb: Option<usize>,
    stall_ms: Option<u64>,
    lines_per_second: Option<f64>,
    come_back_ms: Option<u64>,
    requests: Option<Requests>,
    #[serde(default)]
    collectors: Vec<CollectorKeys>,
    spool: Option<SpoolKeys>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Requests {
    #[serde(default)]
    served_one_in: u32,
    #[serde(default)]
    kinds: Vec<KindKeys>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KindKeys {
    plan: Option<String>,
    class: Option<String>,
    served_one_in: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CollectorKeys {
    transport: String,
    address: SocketAddr,
    server_name: Option<String>,
    ca: Option<PathBuf>,
    #[serde(default)]
    fingerprints: Vec<String>,
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SpoolKeys {
    directory: PathBuf,
    most_mb: Option<u64>,
    most_hours: Option<u64>,
}

impl Log {
    /// The file that `PATHBANK_SYSLOG_FILE` names, which must be there, or the one under `deploy/`; `receiver` is a
    /// collector besides, behind those of the file.
    pub fn from_environment(
        names: &Names,
        memory: usize,
        receiver: Option<SocketAddr>,
    ) -> Result<Log, ConfigError> {
        let text = operators_file("PATHBANK_SYSLOG_FILE", PATH)?.unwrap_or_default();
        let mut log = Log::read(&text, names, memory)?;
        log.collectors.extend(receiver.map(|address| Collector { address, transport: Transport::Tcp }));
        Ok(log)
    }

    pub fn read(text: &str, names: &Names, memory: usize) -> Result<Log, ConfigError> {
        let reader = toml::Deserializer::parse(text).map_err(|e| unreadable("the log's file", e))?;
        let file: File = serde_path_to_error::deserialize(reader).map_err(|error| {
            unreadable(format!("key {} of the log's file", error.path()), error.inner().message())
        })?;
        let wrong = |key: &str, why: &str| unreadable(format!("key {key} of the log's file"), why);
        let defaults = encode::Limits::default();
        let limits = encode::Limits {
            line: file.most_line.unwrap_or(defaults.line),
            value: file.most_value.unwrap_or(defaults.value),
        };
        if !(480..=MOST_LINE).contains(&limits.line) {
            return Err(wrong("most_line", "it is not from 480 to 65000"));
        }
        let mut delivery = delivery::Limits::default();
        if let Some(rate) = file.lines_per_second {
            if !(rate.is_finite() && rate >= 1.0) {
                return Err(wrong("lines_per_second", "it is less than 1"));
            }
            delivery.lines_per_second = rate;
        }
        delivery.come_back = file.come_back_ms.map_or(delivery.come_back, |ms| ms.saturating_mul(1000));
        let place = |list: &[String], key: String, name: &Option<String>| match name {
            None => Ok(None),
            Some(name) => match list.iter().position(|known| known == name) {
                Some(place) => Ok(Some(place)),
                None => Err(wrong(&key, &format!("the settings have no {name:?}"))),
            },
        };
        let request_log = match &file.requests {
            None => None,
            Some(requests) => {
                let mut kinds = Vec::new();
                for (i, kind) in requests.kinds.iter().enumerate() {
                    kinds.push(SamplingRule {
                        plan: place(&names.plans, format!("requests.kinds[{i}].plan"), &kind.plan)?,
                        class: place(&names.classes, format!("requests.kinds[{i}].class"), &kind.class)?,
                        one_in: kind.served_one_in,
                    });
                }
                let sampling = Sampling { one_in: requests.served_one_in, kinds };
                Some(RequestLog::new(names.plans.clone(), names.classes.clone(), sampling))
            }
        };
        let mut collectors = Vec::new();
        for (i, keys) in file.collectors.iter().enumerate() {
            collectors.push(collector(i, keys)?);
        }
        let spool = match file.spool {
            None => None,
            Some(keys) => {
                if !keys.directory.is_dir() {
                    return Err(wrong("spool.directory", "there is no such directory"));
                }
                Some(SpoolLimits {
                    directory: keys.directory,
                    bytes: keys.most_mb.unwrap_or(SPOOL_MB).max(1) * 1024 * 1024,
                    age: Duration::from_secs(keys.most_hours.unwrap_or(SPOOL_HOURS).max(1) * 3600),
                })
            }
        };
        let most = memory / QUEUE_PART;
        Ok(Log {
            stderr: file.stderr,
            limits,
            stderr_queue: STDERR_QUEUE.min(most),
            queue: file
                .queue_kb
                .map_or(QUEUE, |kb| kb.saturating_mul(1024))
                .clamp(16 * 1024, most.max(16 * 1024)),
            collectors,
            delivery,
            stall: Duration::from_millis(file.stall_ms.unwrap_or(STALL_MS).max(1)),
            spool,
            request_log,
        })
    }
}

fn collector(i: usize, keys: &CollectorKeys) -> Result<Collector, ConfigError> {
    let wrong =
        |key: &str, why: String| unreadable(format!("key collectors[{i}].{key} of the log's file"), why);
    let tls_only = [
        ("server_name", keys.server_name.is_some()),
        ("ca", keys.ca.is_some()),
        ("fingerprints", !keys.fingerprints.is_empty()),
        ("certificate", keys.certificate.is_some()),
        ("key", keys.key.is_some()),
    ];
    let transport = match keys.transport.as_str() {
        "udp" | "tcp" => {
            if let Some((key, _)) = tls_only.iter().find(|(_, given)| *given) {
                return Err(wrong(key, "it goes with transport = \"tls\"".into()));
            }
            if keys.transport == "udp" { Transport::Udp } else { Transport::Tcp }
        }
        "tls" => {
            let name = keys.server_name.clone().unwrap_or_else(|| keys.address.ip().to_string());
            let name =
                name.clone().try_into().map_err(|_| wrong("server_name", format!("{name:?} is none")))?;
            let mut prints = Vec::new();
            for (j, text) in keys.fingerprints.iter().enumerate() {
                let print = Fingerprint::parse(text);
                let why =
                    || wrong(&format!("fingerprints[{j}]"), "sha-256: and 32 bytes in hex are due".into());
                prints.push(print.ok_or_else(why)?);
            }
            let read = |key: &str, path: &Option<PathBuf>| match path {
                None => Ok(None),
                Some(path) => {
                    std::fs::read(path).map(Some).map_err(|e| wrong(key, format!("{}: {e}", path.display())))
                }
            };
            let ca = read("ca", &keys.ca)?;
            if ca.is_none() && prints.is_empty() {
                return Err(wrong("ca", "without it fingerprints are needed".into()));
            }
            if let Some(path) = &keys.key {
                private(path).map_err(|why| wrong("key", why))?;
            }
            let identity = match (read("certificate", &keys.certificate)?, read("key", &keys.key)?) {
                (Some(certificate), Some(key)) => Some((certificate, key)),
                (None, None) => None,
                _ => return Err(wrong("certificate", "it goes with key".into())),
            };
            let config =
                tls::client(ca.as_deref(), prints, identity).map_err(|(key, why)| wrong(key, why))?;
            Transport::Tls { name, config }
        }
        other => return Err(wrong("transport", format!("{other:?} is not udp, tcp or tls"))),
    };
    Ok(Collector { address: keys.address, transport })
}

/// A key that others on the machine can read is none.
fn private(path: &Path) -> Result<(), String> {
    let mode = std::fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?.permissions().mode();
    if mode & 0o077 == 0 {
        return Ok(());
    }
    Err(format!("{} can be read by others (mode {:03o}; 600 is due)", path.display(), mode & 0o777))
}

#[cfg(test)]
mod tests;
