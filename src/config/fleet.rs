//! The fleet's file: whether this head takes part in the view that the heads keep, and by which times. Errors name the key.

use super::{ConfigError, operators_file, unreadable};
use pathbank_coordination::gossip::timing::GossipTiming;
use serde::Deserialize;

const PATH: &str = "deploy/fleet.toml";

#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Only heads of one name hear each other.
    pub fleet: String,
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
    /// `None`: it is off, as on the platform.
    pub fn from_environment() -> Result<Option<FleetView>, ConfigError> {
        match operators_file("PATHBANK_FLEET", PATH)? {
            Some(text) => FleetView::read(&text),
            None => Ok(None),
        }
    }

    pub fn read(text: &str) -> Result<Option<FleetView>, ConfigError> {
        let file: File = toml::from_str(text).map_err(|problem| unreadable("fleet", problem))?;
        if !file.enabled {
            return Ok(None);
        }
        let usual = GossipTiming::default();
        let period = file.period_ms.map_or(usual.probe_interval_us, |ms| ms.saturating_mul(1_000));
        let helpers = file.helpers.unwrap_or(usual.indirect_probes);
        for (key, good, why) in [
            ("fleet", !file.fleet.is_empty(), "a name is due"),
            ("period_ms", (20_000..=10_000_000).contains(&period), "20 to 10000 are due"),
            ("helpers", helpers <= 10, "10 is the most"),
        ] {
            if !good {
                return Err(unreadable(format!("fleet: {key}"), why));
            }
        }
        Ok(Some(FleetView {
            fleet: file.fleet,
            timing: GossipTiming { probe_interval_us: period, indirect_probes: helpers },
        }))
    }
}

#[cfg(test)]
mod tests;
