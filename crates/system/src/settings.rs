//! The settings file of a process: lines of the form `a.b=value`, with list items separated by commas.
//! Unknown keys are ignored; a key that is missing or unreadable is named.

use anyhow::{Context, Result, anyhow};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "PATHBANK_CONFIG";
/// Where the file is when the variable is not set.
const DEFAULT_PATH: &str = "/etc/pathbank/boot.conf";

/// What the rules bind the system to, from the file's `bounds`. Times are milliseconds.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// After a SIGTERM the process is killed.
    pub grace_ms: u64,
    /// A configuration is in force everywhere after this.
    pub config_apply_ms: u64,
    /// Second sends for each request.
    pub retry_budget_ratio: f64,
    /// Second sends beyond those.
    pub retry_budget_slack: f64,
    /// The window of the budget.
    pub budget_window_ms: u64,
    /// Turns of two holders of a duty are so far apart.
    pub lease_ms: u64,
    /// The length of a window of usage.
    pub report_window_ms: u64,
    /// Usage is due so long after its window ends.
    pub usage_delay_ms: u64,
    /// The window of the ceiling of loads.
    pub ceiling_window_ms: u64,
}

/// The platform's interface for singleton duties.
#[derive(Clone, Debug, Default)]
pub struct CloudApi {
    /// Where it is.
    pub address: Option<SocketAddr>,
    /// The duties that it takes.
    pub duties: Vec<String>,
}

/// All that a process is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// Its zone.
    pub zone: String,
    /// Where clients come in.
    pub ingress: Option<SocketAddr>,
    /// Where the platform asks whether the edge is ready.
    pub readiness: Option<SocketAddr>,
    /// Where model servers and operators come in.
    pub control_plane: Option<SocketAddr>,
    /// The machine's address.
    pub ip: std::net::IpAddr,
    /// The first port for what processes say among themselves.
    pub internal_port: u16,
    /// Control-plane addresses of some machines that serve it.
    pub seeds: Vec<SocketAddr>,
    /// The very first start of the whole system.
    pub bootstrap: bool,
    /// Where files last.
    pub data_dir: Option<PathBuf>,
    /// Descriptors that the process may have.
    pub max_descriptors: u64,
    /// How often model servers say something, milliseconds.
    pub heartbeat_ms: u64,
    /// The rules' figures.
    pub bounds: Bounds,
    /// The platform's interface.
    pub cloud_api: CloudApi,
    /// `error`, `warn`, `info` or `debug`.
    pub log_level: String,
    /// The file that these settings were read from, which may change later.
    pub source: Option<PathBuf>,
}

impl Settings {
    /// The path of the settings file.
    pub fn path() -> PathBuf {
        std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
    }

    /// Reads the file.
    pub fn load(path: &Path) -> Result<Settings> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("settings file {}", path.display()))?;
        Ok(Settings { source: Some(path.to_owned()), ..Settings::parse(&text)? })
    }

    /// Reads the file again; `None`: these settings came from no file.
    pub fn reload(&self) -> Option<Result<Settings>> {
        self.source.as_deref().map(Settings::load)
    }

    /// Reads the file's text.
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
                .map_err(|_| anyhow!("internal_port_range: no port: {ports}"))?,
            seeds: lines.list("seed_nodes")?,
            bootstrap: lines.or("bootstrap", false)?,
            data_dir: lines.optional::<String>("data_dir")?.map(PathBuf::from),
            max_descriptors: lines.or("limits.max_fds", 1_024)?,
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

    /// The address for messages of the process whose control plane is at `control`.
    pub fn internal_address(&self, control: SocketAddr) -> SocketAddr {
        SocketAddr::new(control.ip(), self.internal_port)
    }

    /// This process's own address for messages.
    pub fn own_internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port)
    }
}

struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn parse(text: &'a str) -> Result<Lines<'a>> {
        let mut values = BTreeMap::new();
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
        for line in lines {
            let (key, value) = line.split_once('=').ok_or_else(|| anyhow!("no key=value: {line}"))?;
            values.insert(key.trim(), value.trim());
        }
        Ok(Lines(values))
    }

    fn value(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|value| !value.is_empty())
    }

    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>> {
        let parse = |value: &str| value.parse().map_err(|_| anyhow!("{key}: cannot be read: {value}"));
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
        items.map(|item| item.parse().map_err(|_| anyhow!("{key}: cannot be read: {item}"))).collect()
    }
}
