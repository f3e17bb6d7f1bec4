//! The settings file of a process: lines of the form `a.b=value`, with list items separated by commas.
//! Unknown keys are ignored. An error names the key that is missing or has an invalid value.

use anyhow::{Context, Result, anyhow};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PATHBANK_CONFIG";
/// The path of the settings file if the variable is not set.
const DEFAULT_PATH: &str = "/etc/pathbank/boot.conf";
/// The memory of a process whose settings state no limit, MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Limits that the platform sets for the system, from the file's keys `bounds.*`. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// The platform kills a process this long after SIGTERM.
    pub grace_ms: u64,
    /// A configuration has to be in force at all edges within this time.
    pub config_apply_ms: u64,
    /// The retry budget: retries allowed for each request.
    pub retry_budget_ratio: f64,
    /// The retry budget: retries allowed beyond the ratio.
    pub retry_budget_slack: f64,
    /// The window over which the retry budget counts.
    pub budget_window_ms: u64,
    /// The time between the leases of two holders of the same duty.
    pub lease_ms: u64,
    /// The length of a usage window.
    pub report_window_ms: u64,
    /// Usage is due this long after its window ends.
    pub usage_delay_ms: u64,
    /// The window over which the ceiling of model loads counts.
    pub ceiling_window_ms: u64,
}

/// The platform's API for singleton duties.
#[derive(Clone, Debug, Default)]
pub struct CloudApi {
    /// The API's address.
    pub address: Option<SocketAddr>,
    /// The duties that the API accepts.
    pub duties: Vec<String>,
}

/// The settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The machine's zone.
    pub zone: String,
    /// The address on which an edge listens for clients.
    pub ingress: Option<SocketAddr>,
    /// The address on which an edge answers the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The address on which a core listens for model servers and operators.
    pub control_plane: Option<SocketAddr>,
    /// The machine's address.
    pub ip: std::net::IpAddr,
    /// The port for messages between processes: the first of the internal range.
    pub internal_port: u16,
    /// Control-plane addresses of some cores.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the very first start of the whole system.
    pub bootstrap: bool,
    /// The directory for files that survive a restart.
    pub data_dir: Option<PathBuf>,
    /// The most file descriptors that the process may open.
    pub max_descriptors: u64,
    /// The memory that the process may hold, MB of 2^20 bytes.
    pub memory_mb: u64,
    /// The interval of model servers' heartbeats, milliseconds.
    pub heartbeat_ms: u64,
    /// The limits that the platform sets.
    pub bounds: Bounds,
    /// The platform's API for singleton duties.
    pub cloud_api: CloudApi,
    /// The log level: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
    /// The file from which these settings were read. It may change later.
    pub source: Option<PathBuf>,
}

impl Settings {
    /// The path of the settings file.
    pub fn path() -> PathBuf {
        std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, a key is missing or a value is invalid.
    pub fn load(path: &Path) -> Result<Settings> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("settings file {}", path.display()))?;
        Ok(Settings { source: Some(path.to_owned()), ..Settings::parse(&text)? })
    }

    /// Reads the settings file again. `None`: these settings were not read from a file.
    pub fn reload(&self) -> Option<Result<Settings>> {
        self.source.as_deref().map(Settings::load)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// A line has no `=`, a key is missing or a value is invalid.
    pub fn parse(text: &str) -> Result<Settings> {
        let lines = Lines::parse(text)?;
        let ports: String = lines.required("internal_port_range")?;
        let first_port = ports.split(',').next().unwrap_or_default().trim();
        let seconds =
            |key: &str, default: f64| Ok::<u64, anyhow::Error>((lines.or(key, default)? * 1_000.0) as u64);
        Ok(Settings {
            node_name: lines.required("node_name")?,
            zone: lines.required("zone")?,
            ingress: lines.optional("listeners_map.ingress")?,
            readiness: lines.optional("listeners_map.readiness")?,
            control_plane: lines.optional("listeners_map.control_plane")?,
            ip: lines.required("ip")?,
            internal_port: first_port
                .parse()
                .map_err(|_| anyhow!("internal_port_range: invalid port: {ports}"))?,
            seeds: lines.list("seed_nodes")?,
            bootstrap: lines.or("bootstrap", false)?,
            data_dir: lines.optional::<String>("data_dir")?.map(PathBuf::from),
            max_descriptors: lines.or("limits.max_fds", 1_024)?,
            memory_mb: lines.or("limits.memory_mb", DEFAULT_MEMORY_MB)?,
            heartbeat_ms: lines.or("heartbeat_ms", 1_000)?,
            bounds: Bounds {
                grace_ms: seconds("bounds.grace_s", 8.0)?,
                config_apply_ms: lines.or("bounds.config_apply_ms", 2_000)?,
                retry_budget_ratio: lines.or("bounds.retry_budget_ratio", 0.2)?,
                retry_budget_slack: lines.or("bounds.retry_budget_slack", 0.0)?,
                budget_window_ms: seconds("bounds.budget_window_s", 10.0)?,
                lease_ms: lines.or("bounds.lease_ms", 3_000)?,
                report_window_ms: seconds("bounds.report_window_s", 5.0)?,
                usage_delay_ms: seconds("bounds.usage_delay_s", 10.0)?,
                ceiling_window_ms: seconds("bounds.ceiling_window_s", 5.0)?,
            },
            cloud_api: CloudApi {
                address: lines.optional("cloud_api.address")?,
                duties: lines.list("cloud_api.duties")?,
            },
            log_level: lines.or("log_level", "info".to_owned())?,
            source: None,
        })
    }

    /// The address for internal messages of the core whose control plane is at `control`.
    pub fn internal_address(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.internal_port)
    }

    /// This process's own address for internal messages.
    pub fn own_internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port)
    }
}

/// The values of a settings file by key.
struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn parse(text: &'a str) -> Result<Lines<'a>> {
        let mut values = BTreeMap::new();
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
        for line in lines {
            let (key, value) = line.split_once('=').ok_or_else(|| anyhow!("not a key=value line: {line}"))?;
            values.insert(key.trim(), value.trim());
        }
        Ok(Lines(values))
    }

    fn value(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|value| !value.is_empty())
    }

    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>> {
        let parse = |value: &str| value.parse().map_err(|_| anyhow!("{key}: invalid value: {value}"));
        self.value(key).map(parse).transpose()
    }

    fn required<T: FromStr>(&self, key: &str) -> Result<T> {
        self.optional(key)?.ok_or_else(|| anyhow!("{key} is missing"))
    }

    fn or<T: FromStr>(&self, key: &str, default: T) -> Result<T> {
        Ok(self.optional(key)?.unwrap_or(default))
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>> {
        let items = self.value(key).unwrap_or_default().split(',').map(str::trim);
        let items = items.filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| anyhow!("{key}: invalid value: {item}"))).collect()
    }
}
