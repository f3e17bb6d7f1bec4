//! The agreement's file: whether it is on, who votes, where this process's voter has its database, and the times that the
//! guarantee rests on. Errors name the key.

use super::optional_file::{self, Rule};
use super::{ConfigError, unreadable};
use crate::agree::voter::Voters;
use crate::agree::{Micros, Timings, VoterId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const PATH: &str = "deploy/agree.toml";
/// The file's name in errors.
const FILE: &str = "agreement";
const MAX_VOTERS: usize = 9;
const MICROS_PER_MS: Micros = 1_000;
/// A day: a longer time is taken as one.
const MAX_TIME_MS: u64 = 86_400_000;
const MIN_HEARTBEAT_INTERVAL: Micros = 10_000;
const MIN_LEASE: Micros = 200_000;
const MAX_DRIFT_PPM: u64 = 200_000;
const DEFAULT_DISK_MB: u64 = 4_096;
/// About 40 MB, and months of edits by hand.
const DEFAULT_KEEP_ENTRIES: u64 = 100_000;
/// File descriptors of the agreement beside its callers' connections: two for each voter, the runtime, the listener and
/// the database.
pub const FIXED_DESCRIPTORS: usize = 2 * MAX_VOTERS + 8;
/// Connections of peers, lease holders and operators to a voter.
const DEFAULT_MAX_CONNECTIONS: usize = 1_152;

/// What the file says of an agreement that is on.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreement {
    /// Processes of another name are rejected.
    pub cluster: String,
    /// `None`: this process has no voter.
    pub voter: Option<VoterSettings>,
    /// Who votes while the log says nothing else, and where they are reached from here whatever the log says.
    pub voters: Voters,
    /// Leases, elections and heartbeats.
    pub times: Timings,
    /// For rehearsals: how far this process's clock is ahead, microseconds.
    pub clock_ahead: Micros,
    /// For rehearsals: how much faster it runs, in parts of a million.
    pub clock_ppm: i64,
}

/// The voter of this process.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterSettings {
    /// Where peers, lease holders and operators reach it.
    pub listen: SocketAddr,
    /// The folder of its database and archive.
    pub directory: PathBuf,
    /// The most that the database's file may hold.
    pub max_bytes: u64,
    /// As many old entries stay in the database at least, the others move to the archive; `None`: all stay.
    pub keep_entries: Option<u64>,
    /// Connections at once; more wait in the kernel.
    pub max_connections: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    enabled: bool,
    #[serde(default)]
    cluster: String,
    listen: Option<SocketAddr>,
    directory: Option<PathBuf>,
    disk_mb: Option<u64>,
    keep_entries: Option<u64>,
    callers: Option<usize>,
    #[serde(default)]
    voters: BTreeMap<String, SocketAddr>,
    #[serde(default)]
    times: TimeKeys,
    #[serde(default)]
    rehearsal: RehearsalKeys,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TimeKeys {
    lease_ms: Option<u64>,
    long_lease_ms: Option<u64>,
    drift_ppm: Option<u64>,
    election_ms: Option<u64>,
    beat_ms: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RehearsalKeys {
    #[serde(default)]
    clock_ahead_ms: u64,
    #[serde(default)]
    clock_ppm: i64,
    kept: Option<usize>,
}

impl Agreement {
    /// Reads the file that `PATHBANK_AGREE` names, or `deploy/agree.toml`. `None`: it is off, as on the platform.
    ///
    /// # Errors
    ///
    /// The file that is named cannot be read, or a key is wrong.
    pub fn from_environment() -> Result<Option<Agreement>, ConfigError> {
        optional_file::from_environment("PATHBANK_AGREE", PATH, Agreement::read)
    }

    /// Reads the file's text. `None`: it says that the agreement is off.
    ///
    /// # Errors
    ///
    /// The key that is wrong, and what it has to be.
    pub fn read(text: &str) -> Result<Option<Agreement>, ConfigError> {
        let file: File = toml::from_str(text).map_err(|problem| unreadable(FILE, problem))?;
        if !file.enabled {
            return Ok(None);
        }
        let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if file.cluster.is_empty() || !file.cluster.bytes().all(is_name_byte) {
            return Err(wrong("cluster", "a name of letters, digits and -_. is due"));
        }
        let voters = file.voters()?;
        let times = file.timings();
        let clock_ppm = file.rehearsal.clock_ppm;
        optional_file::check(
            FILE,
            [
                Rule {
                    key: "times.beat_ms",
                    holds: times.heartbeat_interval >= MIN_HEARTBEAT_INTERVAL,
                    expected: "10 is the least",
                },
                Rule {
                    key: "times.election_ms",
                    holds: times.election_timeout >= 3 * times.heartbeat_interval,
                    expected: "at least three beats are due",
                },
                Rule { key: "times.lease_ms", holds: times.lease >= MIN_LEASE, expected: "200 is the least" },
                Rule {
                    key: "times.long_lease_ms",
                    holds: times.long_lease >= times.lease,
                    expected: "at least the lease is due",
                },
                Rule {
                    key: "times.drift_ppm",
                    holds: times.drift_ppm <= MAX_DRIFT_PPM,
                    expected: "200000 is the most",
                },
                Rule {
                    key: "rehearsal.clock_ppm",
                    holds: clock_ppm.unsigned_abs() <= MAX_DRIFT_PPM,
                    expected: "200000 is the most, either way",
                },
            ],
        )?;
        let voter = file.voter()?;
        let clock_ahead = file.rehearsal.clock_ahead_ms * MICROS_PER_MS;
        Ok(Some(Agreement { cluster: file.cluster, voter, voters, times, clock_ahead, clock_ppm }))
    }

    /// Where a voter is reached from here: by the file, or else by the log.
    pub fn address(&self, id: VoterId, logged: &Voters) -> Option<String> {
        self.voters.get(&id).or(logged.get(&id)).cloned()
    }
}

impl File {
    fn voters(&self) -> Result<Voters, ConfigError> {
        let mut voters = Voters::new();
        for (number, address) in &self.voters {
            let id: VoterId =
                number.parse().map_err(|problem| unreadable(format!("{FILE}: voters.{number}"), problem))?;
            voters.insert(id, address.to_string());
        }
        // Two spellings of one number are one voter.
        if voters.is_empty() || voters.len() > MAX_VOTERS || voters.len() < self.voters.len() {
            return Err(wrong("voters", "1 to 9 of different numbers are due"));
        }
        Ok(voters)
    }

    fn timings(&self) -> Timings {
        let (default, keys) = (Timings::default(), &self.times);
        let micros =
            |key: Option<u64>, default: Micros| key.map_or(default, |ms| ms.min(MAX_TIME_MS) * MICROS_PER_MS);
        Timings {
            lease: micros(keys.lease_ms, default.lease),
            long_lease: micros(keys.long_lease_ms, default.long_lease),
            drift_ppm: keys.drift_ppm.unwrap_or(default.drift_ppm),
            election_timeout: micros(keys.election_ms, default.election_timeout),
            heartbeat_interval: micros(keys.beat_ms, default.heartbeat_interval),
            retained_entries: self.rehearsal.kept.unwrap_or(default.retained_entries),
        }
    }

    fn voter(&self) -> Result<Option<VoterSettings>, ConfigError> {
        match (self.listen, &self.directory) {
            (Some(listen), Some(directory)) => Ok(Some(VoterSettings {
                listen,
                directory: directory.clone(),
                max_bytes: self.disk_mb.unwrap_or(DEFAULT_DISK_MB).max(1) * 1024 * 1024,
                keep_entries: Some(self.keep_entries.unwrap_or(DEFAULT_KEEP_ENTRIES))
                    .filter(|keep| *keep > 0),
                max_connections: self.callers.unwrap_or(DEFAULT_MAX_CONNECTIONS).max(2 * MAX_VOTERS),
            })),
            (None, None) => Ok(None),
            (None, Some(_)) => Err(wrong("listen", "a voter needs it beside its directory")),
            (Some(_), None) => Err(wrong("directory", "a voter needs it beside its address")),
        }
    }
}

fn wrong(key: &str, expected: &str) -> ConfigError {
    unreadable(format!("{FILE}: {key}"), expected)
}

#[cfg(test)]
mod tests;
