//! The fleet's file: whether this process takes part in the membership view that the processes gossip, and its timing.
//! Errors name the key.

use super::optional_file::{self, Rule};
use super::{ConfigError, unreadable};
use pathbank_coordination::gossip::timing::GossipTiming;
use serde::Deserialize;
use std::ops::RangeInclusive;

const PATH: &str = "deploy/fleet.toml";
const PROBE_INTERVAL_US: RangeInclusive<u64> = 20_000..=10_000_000;
const MAX_INDIRECT_PROBES: usize = 10;

/// The membership view that processes of one fleet keep by gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Messages of processes with another name are dropped.
    pub fleet: String,
    /// Probe interval and indirect probes (SWIM, section 4.1).
    pub timing: GossipTiming,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    enabled: bool,
    #[serde(default)]
    fleet: String,
    period_ms: Option<u64>,
    helpers: Option<usize>,
}

impl FleetView {
    /// Reads the file that `PATHBANK_FLEET` names, or `deploy/fleet.toml`. `None`: it is off, as on the platform.
    ///
    /// # Errors
    ///
    /// The file that is named cannot be read, or a key is wrong.
    pub fn from_environment() -> Result<Option<FleetView>, ConfigError> {
        optional_file::from_environment("PATHBANK_FLEET", PATH, FleetView::read)
    }

    /// Reads the file's text. `None`: it says that the view is off.
    ///
    /// # Errors
    ///
    /// The key that is wrong, and what it has to be.
    pub fn read(text: &str) -> Result<Option<FleetView>, ConfigError> {
        let file: File = toml::from_str(text).map_err(|problem| unreadable("fleet", problem))?;
        if !file.enabled {
            return Ok(None);
        }
        let usual = GossipTiming::default();
        let period = file.period_ms.map_or(usual.probe_interval_us, |ms| ms.saturating_mul(1_000));
        let helpers = file.helpers.unwrap_or(usual.indirect_probes);
        optional_file::check(
            "fleet",
            [
                Rule { key: "fleet", holds: !file.fleet.is_empty(), expected: "a name is due" },
                Rule {
                    key: "period_ms",
                    holds: PROBE_INTERVAL_US.contains(&period),
                    expected: "20 to 10000 are due",
                },
                Rule { key: "helpers", holds: helpers <= MAX_INDIRECT_PROBES, expected: "10 is the most" },
            ],
        )?;
        Ok(Some(FleetView {
            fleet: file.fleet,
            timing: GossipTiming { probe_interval_us: period, indirect_probes: helpers },
        }))
    }
}

#[cfg(test)]
mod tests;
