//! The only place that reads the environment, JSON and TOML: checks, defaults, and errors that name the key.

pub mod agree;
pub mod fleet;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod grpc;
mod optional_file;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod settings;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod sftp;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod syslog;

use crate::interface::{Micros, Settings};
use crate::memory::{MemoryPlan, Options};
use serde::Deserialize;
use settings::{Pairs, SettingsError};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time kept back from each request's own: for its way in, which nobody times for us, its answer's way out, and a turn
/// on a core that others use as well.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// Idle connections to nodes go after this part of the time after which a node may close them.
const IDLE_PART: f64 = 0.4;
/// The parts of the descriptors that clients and connections to nodes may hold; the rest is for discovery, the log
/// and what is being closed.
const CLIENT_PART: f64 = 0.58;
const NODE_PART: f64 = 0.22;
/// Descriptors that are held whatever comes: standard streams, listeners, runtimes, the watch and the one that it moves
/// to, the log's collector, and the locks and the passed socket of an upgrade.
const FIXED: usize = 24;
/// And the files of ids that both processes of an upgrade read, and the socket for other heads' datagrams.
const ID_FILES: usize = 2;
const TALK_SOCKET: usize = 1;
/// The part for clients that have come while others are still on their way out.
const SPARE_PART: f64 = 0.12;
/// The part for operators' calls, set aside from all others, and as many as there are in any case.
const OPS_PART: f64 = 0.02;
const LEAST_CALLERS: usize = 4;
/// The part that idle clients may hold before they are asked to go: clients hold a third for their requests.
const IDLE_CLIENTS_PART: f64 = 0.22;
/// The part of the descriptors that may hold open requests. Beyond it a request is turned away at once: were the
/// clients' places all taken, the kernel would go on taking requests that nobody reads.
const OPEN_PART: f64 = 0.45;
/// For each MB of the memory some ids are remembered.
const IDS_PER_MB: usize = 512;
/// A client has so long from connecting, or from a later request's first byte, until the request's head has come: it
/// may take 2 s over that.
const REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// How long a client's connection may be idle, and how long where more than half of the places are taken.
const CLIENT_IDLE: Duration = Duration::from_secs(10);
const CLIENT_IDLE_IF_MANY: Duration = Duration::from_millis(2_050);

/// Why the configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable or key is missing.
    Missing(&'static str),
    /// A key that the running configuration has.
    Gone(String),
    /// A value cannot be read.
    Unreadable {
        /// The key or file.
        what: String,
        /// What is wrong with it.
        why: String,
    },
    /// A setting cannot be read.
    Settings(SettingsError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(key) => write!(f, "{key} is missing"),
            ConfigError::Gone(key) => write!(f, "{key} is missing, the running configuration has it"),
            ConfigError::Unreadable { what, why } => write!(f, "{what} is unreadable: {why}"),
            ConfigError::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<SettingsError> for ConfigError {
    fn from(error: SettingsError) -> Self {
        ConfigError::Settings(error)
    }
}

/// The text of an operator's file: the one that the environment names, which must be there, or the one under
/// `deploy/`, which need not.
fn operators_file(variable: &str, default: &str) -> Result<Option<String>, ConfigError> {
    let named = std::env::var(variable).ok();
    let path = named.as_deref().unwrap_or(default);
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if named.is_none() && error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(unreadable(path, error)),
    }
}

fn unreadable(what: impl Into<String>, why: impl ToString) -> ConfigError {
    ConfigError::Unreadable { what: what.into(), why: why.to_string() }
}

/// All that a head is told.
#[derive(Debug)]
pub struct Config {
    /// The host's name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where the node list is served.
    pub discovery: SocketAddr,
    /// Where operators call, and how many may at once. `None`: off.
    pub ops: Option<SocketAddr>,
    /// Connections of operators at most.
    pub ops_callers: usize,
    /// Where datagrams of other heads come, and who they are. `None`: off, or not allowed.
    pub talk: Option<Talking>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub passed_socket: Option<i32>,
    /// Every key that its file has; in a list those that all entries have.
    keys: BTreeSet<String>,
    /// Differs from host to host.
    pub seed: u64,
    /// Limits of clients' connections.
    pub clients: ClientLimits,
    /// Limits of connections to nodes.
    pub node_connections: NodeLimits,
    /// All that the program may use, in bytes.
    pub memory: usize,
    /// How it is shared out.
    pub memory_plan: MemoryPlan,
    /// Bytes of requests' bodies that may be held at once.
    pub most_held: usize,
    /// Ids of requests that are remembered at once.
    pub most_ids: usize,
    /// The node list of the file, for a start without discovery.
    pub known: NodeList,
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of classes and plans.
    pub names: Names,
    /// Requests that may be open at once.
    pub max_open: usize,
    /// Time kept back from a client's time for the ways in and out.
    pub answer_margin: Duration,
    /// The lowest level that is logged.
    pub log_level: log::LevelFilter,
    /// One more collector of the log.
    pub syslog: Option<SocketAddr>,
}

/// How heads reach each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Talking {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The other hosts, by number.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all of them.
    pub all: Option<SocketAddr>,
}

/// What bounds a front's connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Connections at most.
    pub most: usize,
    /// Beyond `most`, while those that were told to go do so.
    pub spare: usize,
    /// Idle ones, before answers begin to be their connections' last.
    pub most_idle: usize,
    /// From connecting, or from the first byte of a later request, to that request's last byte.
    pub request: Duration,
    /// Between requests; and the same where more than half of the places are taken.
    pub idle: Duration,
    /// How long a connection may be idle when more than half of the slots are taken.
    pub idle_if_many: Duration,
}

/// What bounds connections to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLimits {
    /// In use and idle together.
    pub most: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
    /// For a connection to come up.
    pub connect: Duration,
}

/// What the settings call the things that the module knows by number.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes, by number.
    pub classes: Vec<String>,
    /// Plans, by number.
    pub plans: Vec<String>,
    /// How long the clients of each class wait at most.
    pub deadlines: Vec<Duration>,
}

/// The list of nodes in discovery's form.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct NodeList {
    /// Rises with every change.
    #[serde(default)]
    pub version: u64,
    /// It is the complete list.
    #[serde(default)]
    pub full: bool,
    /// The nodes.
    #[serde(default)]
    pub servers: Vec<ListedNode>,
}

/// A node as discovery lists it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedNode {
    /// The node's name.
    pub id: String,
    /// `host:port`.
    pub addr: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// The shard that it serves.
    pub cell: u16,
    /// Whether it takes requests.
    pub state: ListedState,
    /// Its last start, milliseconds since 1970; 0: long ago.
    #[serde(default)]
    pub started_ms: u64,
}

/// Whether a node takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It does.
    InService,
    /// It drains.
    Terminating,
    /// It was removed.
    Terminated,
}

/// The object in the file that `GW_CONFIG` names, as it is written; keys unknown here are ignored.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    peers: Option<Vec<SocketAddr>>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: NodeList,
    settings: serde_json::Value,
}

/// Without a word of them, the least that the platform gives.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 256, memory_mb: 32 }
    }
}

impl Config {
    /// Reads the file that `GW_CONFIG` names, and the other variables.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let env = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
        let path = env("GW_CONFIG").ok_or(ConfigError::Missing("GW_CONFIG"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| unreadable(format!("GW_CONFIG={path}"), e))?;
        Config::read(&text, env)
    }

    /// The same file, changed: a key that the running configuration had is not missing from it.
    pub fn again(&self) -> Result<Config, ConfigError> {
        let config = Config::from_environment()?;
        self.complete(&config)?;
        Ok(config)
    }

    fn complete(&self, later: &Config) -> Result<(), ConfigError> {
        match self.keys.difference(&later.keys).next() {
            Some(key) => Err(ConfigError::Gone(key.clone())),
            None => Ok(()),
        }
    }

    /// The JSON's own keys come before the environment's.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file: File = json(text)?;
        let keys = keys(&json(text)?);
        let address = |given: Option<SocketAddr>, key: &'static str| match (given, env(key)) {
            (Some(address), _) => Ok(address),
            (None, Some(text)) => text.parse().map_err(|e| unreadable(key, e)),
            (None, None) => Err(ConfigError::Missing(key)),
        };
        let pairs = Pairs::from_json(&file.settings);
        let settings = settings::read(&pairs)?;
        let time = |key: &str, default: u64| {
            Ok::<_, ConfigError>(match pairs.time(key)? {
                0 => Duration::from_micros(default),
                micros => Duration::from_micros(micros),
            })
        };
        let part = |part: f64| ((file.limits.sockets as f64 * part) as usize).max(1);
        let deadlines = settings.classes.iter().map(|class| Duration::from_micros(class.deadline)).collect();
        let names = Names { classes: pairs.names("profiles")?, plans: pairs.names("plans")?, deadlines };
        let log_level = match env("PATHBANK_LOG") {
            None => log::LevelFilter::Info,
            Some(text) => text.parse().map_err(|e| unreadable("PATHBANK_LOG", e))?,
        };
        let syslog = match env("PATHBANK_SYSLOG") {
            None => None,
            Some(text) => Some(text.parse().map_err(|e| unreadable("PATHBANK_SYSLOG", e))?),
        };
        let ops = match (file.ops, env("GW_OPS")) {
            (Some(address), _) => Some(address),
            (None, Some(text)) => Some(text.parse().map_err(|e| unreadable("GW_OPS", e))?),
            (None, None) => None,
        };
        let passed_socket = match env("GW_PASSED_SOCKET") {
            Some(text) => Some(text.parse().map_err(|e| unreadable("GW_PASSED_SOCKET", e))?),
            None => None,
        };
        let talk = file.peer_listen.filter(|_| settings.peers).map(|listen| {
            let (peers, all) = (file.peers.unwrap_or_default(), file.peers_all);
            Talking { listen, peers, all }
        });
        let callers = part(OPS_PART).max(LEAST_CALLERS);
        let files = passed_socket.map_or(0, |_| ID_FILES) + talk.as_ref().map_or(0, |_| TALK_SOCKET);
        let others = part(CLIENT_PART) + part(NODE_PART) + callers + FIXED + files;
        let memory = file.limits.memory_mb * 1024 * 1024;
        let mut config = Config {
            keys,
            talk,
            passed_socket,
            ops,
            ops_callers: callers,
            name: file.name.or_else(|| env("GW_NAME")).unwrap_or_else(|| "pathbank".to_string()),
            listen: address(file.listen, "GW_LISTEN")?,
            discovery: address(file.discovery, "GW_DISCOVERY")?,
            seed: seed(&file.seed),
            clients: ClientLimits {
                most: part(CLIENT_PART),
                spare: part(SPARE_PART).min(file.limits.sockets.saturating_sub(others)).max(1),
                most_idle: part(IDLE_CLIENTS_PART),
                request: REQUEST_TIME,
                idle: CLIENT_IDLE,
                idle_if_many: CLIENT_IDLE_IF_MANY,
            },
            node_connections: NodeLimits {
                most: part(NODE_PART),
                idle: time("policy_limits.keepalive", 30_000_000)?.mul_f64(IDLE_PART),
                connect: time("policy_limits.connect_timeout", 250_000)?,
            },
            memory,
            memory_plan: MemoryPlan::new(memory, Options::default()),
            most_held: memory,
            most_ids: file.limits.memory_mb * IDS_PER_MB,
            known: file.known,
            names,
            max_open: match pairs.number("policy_limits.max_open")? as usize {
                0 => 20_000,
                most => most,
            }
            .min(part(OPEN_PART)),
            answer_margin: ANSWER_MARGIN,
            log_level,
            syslog,
            settings,
        };
        config.fit_into_memory(Options::default());
        Ok(config)
    }

    /// Bounds connections and bodies by the memory, part of which other fronts and a voter take.
    pub fn fit_into_memory(&mut self, options: Options) {
        self.memory_plan = MemoryPlan::new(self.memory, options);
        self.most_held = self.memory_plan.bodies();
        let places = self.memory_plan.client_connections();
        let clients = &mut self.clients;
        if clients.most + clients.spare > places {
            clients.spare = clients.spare.min((places as f64 * SPARE_PART) as usize).max(1);
            clients.most = clients.most.min(places.saturating_sub(clients.spare)).max(1);
            let of_clients = |part: f64| (clients.most as f64 * part / CLIENT_PART) as usize;
            clients.most_idle = clients.most_idle.min(of_clients(IDLE_CLIENTS_PART)).max(1);
            self.max_open = self.max_open.min(of_clients(OPEN_PART)).max(1);
        }
        self.node_connections.most = self.node_connections.most.min(self.memory_plan.node_connections());
    }

    /// Another front's clients take their places from the first one's: the descriptors are the same.
    pub fn share_places(&mut self, other: &mut ClientLimits) {
        other.most = other.most.min(self.clients.most / 4).max(1);
        self.clients.most = self.clients.most.saturating_sub(other.most).max(1);
        self.max_open = self.max_open.min(self.clients.most.saturating_sub(1)).max(1);
    }

    /// Those who ask a voter here, and this head's own asking, take theirs likewise.
    pub fn share_with_agreement(&mut self, agreement: &mut agree::Agreement) {
        let mut taken = agree::FIXED_DESCRIPTORS;
        if let Some(voter) = &mut agreement.voter {
            voter.max_connections = voter.max_connections.min(self.clients.most / 2).max(1);
            taken += voter.max_connections;
        }
        self.clients.most = self.clients.most.saturating_sub(taken).max(1);
        self.max_open = self.max_open.min(self.clients.most.saturating_sub(1)).max(1);
    }

    /// Its connections to nodes take theirs from the first front's, likewise.
    pub fn share_node_connections(&mut self, wanted: usize) -> usize {
        let shared = wanted.min(self.node_connections.most / 4).max(1);
        self.node_connections.most = self.node_connections.most.saturating_sub(shared).max(1);
        shared
    }

    /// The longest that any class's client waits.
    pub fn longest_deadline(&self) -> Duration {
        let longest: Micros = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        Duration::from_micros(longest)
    }
}

/// The paths of all keys but those of the list of nodes. Entries of a list share a path, with `*` for their number: it
/// stands for the keys that every one of them has.
fn keys(file: &serde_json::Value) -> BTreeSet<String> {
    use serde_json::Value;
    fn walk(value: &Value) -> BTreeSet<String> {
        match value {
            Value::Object(fields) => {
                let under = |(name, inner): (&String, &Value)| {
                    let deeper = walk(inner).into_iter().map(move |path| format!("{name}.{path}"));
                    deeper.chain([name.clone()]).collect::<Vec<_>>()
                };
                fields.iter().flat_map(under).collect()
            }
            Value::Array(items) => {
                let shared = items.iter().map(walk).reduce(|a, b| a.intersection(&b).cloned().collect());
                shared.unwrap_or_default().into_iter().map(|path| format!("*.{path}")).collect()
            }
            _ => BTreeSet::new(),
        }
    }
    walk(file).into_iter().filter(|path| !path.starts_with("known.")).collect()
}

/// Hex, as the platform writes it; anything else still gives every text its own seed.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| fnv(text.as_bytes()))
}

/// FNV-1a: the same number for the same bytes at every head and in every build.
pub fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// An error names the key by its path.
fn json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, ConfigError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| unreadable(format!("key {} of the configuration", error.path()), error.inner()))
}

#[cfg(test)]
mod tests;
