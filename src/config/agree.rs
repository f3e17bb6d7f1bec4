//! The agreement's file: whether it is on, who votes, where this head's voter has its disk, and the times
//! that the promise rests on. Errors name the key.

use super::{ConfigError, operators_file, unreadable};
use crate::agree::voter::Voters;
use crate::agree::{Micros, Timings, VoterId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const PATH: &str = "deploy/agree.toml";
const MAX_VOTERS: usize = 9;
const MAX_TIME_MS: u64 = 86_400_000;
const DEFAULT_DISK_MB: u64 = 4_096;
/// About 40 MB, and months of edits by hand.
const DEFAULT_KEEP_ENTRIES: u64 = 100_000;
/// Descriptors of a head's own: two for each voter, and its runtime, listener and disk.
pub const FIXED_DESCRIPTORS: usize = 2 * MAX_VOTERS + 8;
/// Others that ask at once, each by a connection.
const DEFAULT_MAX_CONNECTIONS: usize = 1_152;

#[derive(Clone, Debug, PartialEq)]
pub struct Agreement {
    /// Only heads of one name talk to each other.
    pub cluster: String,
    /// `None`: this head has no voter.
    pub voter: Option<VoterSettings>,
    /// Who votes while the log says nothing else, and where they are reached from here, whatever the log
    /// says.
    pub voters: Voters,
    pub times: Timings,
    /// For rehearsals: what this process's clock is ahead, and how much faster it runs in parts of a million.
    pub clock_ahead: Micros,
    pub clock_ppm: i64,
}

/// A voter of this head.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterSettings {
    pub listen: SocketAddr,
    pub directory: PathBuf,
    pub max_bytes: u64,
    /// So many old entries stay on the disk at least, the others leave for the archive; `None`: all stay.
    pub keep_entries: Option<u64>,
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
    /// `None`: it is off, as on the platform.
    pub fn from_environment() -> Result<Option<Agreement>, ConfigError> {
        match operators_file("PATHBANK_AGREE", PATH)? {
            Some(text) => Agreement::read(&text),
            None => Ok(None),
        }
    }

    pub fn read(text: &str) -> Result<Option<Agreement>, ConfigError> {
        let file: File = toml::from_str(text).map_err(|problem| unreadable("agreement", problem))?;
        if !file.enabled {
            return Ok(None);
        }
        let bad = |key: &str, why: &str| Err(unreadable(format!("agreement: {key}"), why));
        if file.cluster.is_empty()
            || !file.cluster.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        {
            return bad("cluster", "a name of letters, digits and -_. is due");
        }
        let mut voters = Voters::new();
        for (number, address) in &file.voters {
            let number: VoterId =
                number.parse().map_err(|e| unreadable(format!("agreement: voters.{number}"), e))?;
            voters.insert(number, address.to_string());
        }
        if voters.is_empty() || voters.len() > MAX_VOTERS || voters.len() < file.voters.len() {
            return bad("voters", "1 to 9 of different numbers are due");
        }
        let (usual, keys) = (Timings::default(), &file.times);
        let ms = |key: Option<u64>, usual: Micros| key.map_or(usual, |ms| ms.min(MAX_TIME_MS) * 1_000);
        let times = Timings {
            lease: ms(keys.lease_ms, usual.lease),
            long_lease: ms(keys.long_lease_ms, usual.long_lease),
            drift_ppm: keys.drift_ppm.unwrap_or(usual.drift_ppm),
            election_timeout: ms(keys.election_ms, usual.election_timeout),
            heartbeat_interval: ms(keys.beat_ms, usual.heartbeat_interval),
            retained_entries: file.rehearsal.kept.unwrap_or(usual.retained_entries),
        };
        for (key, good, why) in [
            ("times.beat_ms", times.heartbeat_interval >= 10_000, "10 is the least"),
            (
                "times.election_ms",
                times.election_timeout >= 3 * times.heartbeat_interval,
                "at least three beats are due",
            ),
            ("times.lease_ms", times.lease >= 200_000, "200 is the least"),
            ("times.long_lease_ms", times.long_lease >= times.lease, "at least the lease is due"),
            ("times.drift_ppm", times.drift_ppm <= 200_000, "200000 is the most"),
            (
                "rehearsal.clock_ppm",
                file.rehearsal.clock_ppm.abs() <= 200_000,
                "200000 is the most, either way",
            ),
        ] {
            if !good {
                return bad(key, why);
            }
        }
        let voter = match (file.listen, file.directory) {
            (Some(listen), Some(directory)) => Some(VoterSettings {
                listen,
                directory,
                max_bytes: file.disk_mb.unwrap_or(DEFAULT_DISK_MB).max(1) * 1024 * 1024,
                keep_entries: Some(file.keep_entries.unwrap_or(DEFAULT_KEEP_ENTRIES))
                    .filter(|keep| *keep > 0),
                max_connections: file.callers.unwrap_or(DEFAULT_MAX_CONNECTIONS).max(2 * MAX_VOTERS),
            }),
            (None, None) => None,
            (None, Some(_)) => return bad("listen", "a voter needs it beside its directory"),
            (Some(_), None) => return bad("directory", "a voter needs it beside its address"),
        };
        let (clock_ahead, clock_ppm) = (file.rehearsal.clock_ahead_ms * 1_000, file.rehearsal.clock_ppm);
        Ok(Some(Agreement { cluster: file.cluster, voter, voters, times, clock_ahead, clock_ppm }))
    }

    /// Where a voter is reached from here.
    pub fn address(&self, id: VoterId, told: &Voters) -> Option<String> {
        self.voters.get(&id).or(told.get(&id)).cloned()
    }
}

#[cfg(test)]
mod tests;
