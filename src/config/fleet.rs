//! The fleet's file: whether this head takes part in the view that the heads keep, and by which times. Errors name the key.

use super::{ConfigError, operators_file, unreadable};
use crate::fleet::member::Times;
use serde::Deserialize;

const PATH: &str = "deploy/fleet.toml";

#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Only heads of one name hear each other.
    pub fleet: String,
    pub times: Times,
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
        let usual = Times::default();
        let period = file.period_ms.map_or(usual.period, |ms| ms.saturating_mul(1_000));
        let helpers = file.helpers.unwrap_or(usual.helpers);
        for (key, good, why) in [
            ("fleet", !file.fleet.is_empty(), "a name is due"),
            ("period_ms", (20_000..=10_000_000).contains(&period), "20 to 10000 are due"),
            ("helpers", helpers <= 10, "10 is the most"),
        ] {
            if !good {
                return Err(unreadable(format!("fleet: {key}"), why));
            }
        }
        Ok(Some(FleetView { fleet: file.fleet, times: Times { period, helpers } }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_read_whole_or_refused_by_its_key() {
        for off in ["", "enabled = false\nfleet = \"a\"\n"] {
            assert_eq!(FleetView::read(off).unwrap(), None);
        }
        let read = |text: &str| FleetView::read(&format!("enabled = true\n{text}"));
        let usual = FleetView { fleet: "a".into(), times: Times::default() };
        assert_eq!(read("fleet = \"a\"\n").unwrap(), Some(usual));
        let set = read("fleet = \"a\"\nperiod_ms = 500\nhelpers = 0\n").unwrap().unwrap();
        assert_eq!(set.times, Times { period: 500_000, helpers: 0 });
        for (text, key) in [
            ("", "fleet"),
            ("fleet = \"a\"\nperiod_ms = 19\n", "period_ms"),
            ("fleet = \"a\"\nperiod_ms = 10001\n", "period_ms"),
            ("fleet = \"a\"\nhelpers = 11\n", "helpers"),
            ("fleet = \"a\"\nhelper = 1\n", "helper"),
            ("fleet = 7\n", "fleet"),
        ] {
            let problem = read(text).expect_err(text).to_string();
            assert!(problem.contains(key), "{key}: {problem}");
        }
    }
}
