//! The second front's file: whether it is on, where it listens, and what paths mean.

use super::{ClientLimits, ConfigError, Names, fnv, operators_file, unreadable};
use crate::interface::{Class, Repeats, Settings, VolumeId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

const PATH: &str = "deploy/sftp.toml";
const CLIENTS: usize = 32;
/// Descriptors are shared with the first front; more clients than this would eat into its part.
const MOST_CLIENTS: usize = 64;
/// INIT, the first packet, must come within this.
const INIT_TIME: Duration = Duration::from_secs(5);
/// A person may look at a listing for a while; those that wait for a place come first.
const IDLE: Duration = Duration::from_secs(600);
const IDLE_IF_MANY: Duration = Duration::from_secs(60);

#[derive(Debug, PartialEq)]
pub struct SftpFront {
    pub listen: SocketAddr,
    pub node_port: Option<u16>,
    pub clients: ClientLimits,
    pub rules: Vec<PathRule>,
}

/// What the files under a prefix are to the module.
#[derive(Debug, PartialEq)]
pub struct PathRule {
    pub prefix: String,
    pub plan: usize,
    /// The shards that hold the files; a file's own is picked by its path.
    pub shards: Vec<u16>,
    pub unit_bytes: u64,
    pub hosts: f64,
    pub max_units: f64,
    pub read: ClassLimits,
    pub write: ClassLimits,
    /// For what must not be done twice: making or emptying a file, adding to its end.
    pub non_repeatable: ClassLimits,
}

/// The class of a command, and how long its clients wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLimits {
    pub class: usize,
    pub wait: Duration,
}

/// What a path refers to: its rule, volume, key and shard.
#[derive(Debug, PartialEq)]
pub struct FileTarget<'a> {
    pub rule: &'a PathRule,
    pub volume: VolumeId,
    pub key: u64,
    pub shard: u16,
}

/// Why a path has no target.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetError {
    /// The path is relative, or has an empty part, `.`, `..` or a NUL byte.
    MalformedPath,
    /// No rule's prefix matches the path.
    Unmapped,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    enabled: bool,
    listen: Option<SocketAddr>,
    node_port: Option<u16>,
    #[serde(default)]
    clients: usize,
    #[serde(default)]
    paths: Vec<Rule>,
}

#[derive(Deserialize)]
struct Rule {
    prefix: String,
    plan: String,
    shards: Vec<u16>,
    read_class: String,
    write_class: String,
    #[serde(default)]
    unit_bytes: u64,
    #[serde(default)]
    hosts: f64,
}

impl SftpFront {
    /// The file that `PATHBANK_SFTP` names, which must be there, or the one under `deploy/`. `None`: off.
    pub fn from_environment(
        settings: &mut Settings,
        names: &Names,
    ) -> Result<Option<SftpFront>, ConfigError> {
        match operators_file("PATHBANK_SFTP", PATH)? {
            Some(text) => SftpFront::read(&text, settings, names),
            None => Ok(None),
        }
    }

    /// Adds to the settings one class for each rule: its writes' class, but never to be repeated.
    pub fn read(
        text: &str,
        settings: &mut Settings,
        names: &Names,
    ) -> Result<Option<SftpFront>, ConfigError> {
        let reader = toml::Deserializer::parse(text).map_err(|e| unreadable("the second front's file", e))?;
        let file: File = serde_path_to_error::deserialize(reader).map_err(|error| {
            unreadable(format!("key {} of the second front's file", error.path()), error.inner().message())
        })?;
        if !file.enabled {
            return Ok(None);
        }
        let mut rules = Vec::new();
        for (i, rule) in file.paths.into_iter().enumerate() {
            rules.push(rule.check(i, settings, names)?);
        }
        if rules.is_empty() {
            return Err(ConfigError::Missing("paths of the second front's file"));
        }
        // The longest prefix decides.
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        Ok(Some(SftpFront {
            listen: file.listen.ok_or(ConfigError::Missing("listen of the second front's file"))?,
            node_port: file.node_port,
            clients: ClientLimits {
                most: if file.clients == 0 { CLIENTS } else { file.clients.min(MOST_CLIENTS) },
                spare: 0,
                most_idle: MOST_CLIENTS,
                request: INIT_TIME,
                idle: IDLE,
                idle_if_many: IDLE_IF_MANY,
            },
            rules,
        }))
    }

    pub fn target(&self, path: &str) -> Result<FileTarget<'_>, TargetError> {
        let climbs_or_empty = |part: &str| matches!(part, "" | "." | "..");
        let below = path.strip_prefix('/');
        let sound =
            below.is_some_and(|below| !below.split('/').any(climbs_or_empty) && !below.contains('\0'));
        if !sound {
            return Err(TargetError::MalformedPath);
        }
        let rule =
            self.rules.iter().find(|rule| path.starts_with(&rule.prefix)).ok_or(TargetError::Unmapped)?;
        let rest = &path[rule.prefix.len()..];
        // The first part below the prefix is the customer: all of its files are one volume.
        let owner = rest.split('/').next().unwrap_or("");
        let key = fnv(path.as_bytes());
        let shard = rule.shards[(key % rule.shards.len() as u64) as usize];
        Ok(FileTarget { rule, volume: fnv(format!("{}{owner}", rule.prefix).as_bytes()), key, shard })
    }
}

impl Rule {
    fn check(self, i: usize, settings: &mut Settings, names: &Names) -> Result<PathRule, ConfigError> {
        let key = |name: &str| format!("key paths[{i}].{name} of the second front's file");
        let place = |list: &[String], name: &str, value: &str| {
            let found = list.iter().position(|known| known == value);
            found.ok_or_else(|| unreadable(key(name), format!("the settings have no {value:?}")))
        };
        if !(self.prefix.starts_with('/') && self.prefix.ends_with('/')) {
            return Err(unreadable(key("prefix"), "it must begin and end with /"));
        }
        if self.shards.is_empty() {
            return Err(unreadable(key("shards"), "one is needed at least"));
        }
        if !(self.hosts.is_finite() && self.hosts >= 0.0) {
            return Err(unreadable(key("hosts"), "no number of hosts"));
        }
        let plan = place(&names.plans, "plan", &self.plan)?;
        let read = place(&names.classes, "read_class", &self.read_class)?;
        let write = place(&names.classes, "write_class", &self.write_class)?;
        let non_repeatable = settings.classes.len();
        settings.classes.push(Class { repeats: Repeats::Unsafe, ..settings.classes[write].clone() });
        let use_of = |class: usize| ClassLimits {
            class,
            wait: Duration::from_micros(settings.classes[class].deadline),
        };
        Ok(PathRule {
            prefix: self.prefix,
            plan,
            shards: self.shards,
            unit_bytes: if self.unit_bytes == 0 { 8192 } else { self.unit_bytes },
            hosts: self.hosts.max(1.0),
            max_units: settings.max_units.max(1.0),
            read: use_of(read),
            write: use_of(write),
            non_repeatable: use_of(non_repeatable),
        })
    }
}

impl PathRule {
    pub fn units(&self, bytes: usize) -> f64 {
        (bytes as u64).div_ceil(self.unit_bytes).max(1).min(self.max_units as u64) as f64
    }
}

#[cfg(test)]
mod tests;
