//! The module's settings: read the same way from the simulator's text and from a head's JSON.

use crate::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A head is named by 16 bits on the simulator's wire.
const MOST_HOSTS: f64 = 65_535.0;
/// Microseconds in a day; and more attempts than any request can have in its time.
const LONGEST_SPAN: f64 = 86_400e6;
const MOST_ATTEMPTS: f64 = 1_000.0;
/// Units that a node could bear at once: far more than any does, far less than would make a guard void.
const MOST_UNITS: f64 = 1e6;

#[derive(Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// The settings text: `path=value`, one a line.
#[derive(Debug)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    pub fn from_text(text: &str) -> Pairs {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Pairs(pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect())
    }

    /// The same object as nested JSON: an inner key follows a dot, a list of objects has its length under
    /// `.count`, a list of plain values is joined by commas.
    pub fn from_json(value: &Value) -> Pairs {
        let mut pairs = BTreeMap::new();
        flatten(String::new(), value, &mut pairs);
        Pairs(pairs)
    }

    /// The names of a list of objects, in order. Each entry has one of its own.
    pub fn names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let mut names: Vec<String> = Vec::new();
        for i in 0..self.parse::<usize>(&format!("{list}.count"))?.unwrap_or(0) {
            let key = format!("{list}.{i}.name");
            let name: String = self.need(&key)?;
            if name.is_empty() || names.contains(&name) {
                let fault = if name.is_empty() { "empty" } else { "there twice" };
                return Err(SettingsError(format!("{key} is {fault}")));
            }
            names.push(name);
        }
        Ok(names)
    }

    /// A list of plain values.
    pub fn list(&self, key: &str) -> Vec<String> {
        self.0.get(key).map(|text| text.split(',').map(str::to_string).collect()).unwrap_or_default()
    }

    fn parse<T: std::str::FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        match self.0.get(key) {
            None => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(SettingsError(format!("{key} is unreadable: {text:?}"))),
            },
        }
    }

    pub fn need<T: std::str::FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.parse(key)?.ok_or_else(|| SettingsError(format!("{key} is missing")))
    }

    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.parse(key)?.unwrap_or(0.0);
        if value.is_finite() { Ok(value) } else { Err(SettingsError(format!("{key} is not finite"))) }
    }

    pub fn time(&self, key: &str) -> Result<Micros, SettingsError> {
        Ok(self.number(key)?.max(0.0) as Micros)
    }

    /// A number that has to lie between two bounds: the module divides by it, or shares it out.
    fn within(&self, key: &str, value: f64, least: f64, most: f64) -> Result<f64, SettingsError> {
        match (least..=most).contains(&value) {
            true => Ok(value),
            false => Err(SettingsError(format!("{key} is out of range: {value} ({least} to {most})"))),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.parse(key)?.unwrap_or(false))
    }

    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, SettingsError> {
        let text: String = self.need(key)?;
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        found.ok_or_else(|| SettingsError(format!("{key} is unreadable: {text:?}")))
    }
}

/// Reads the settings that came with an instance's start; unknown keys are skipped.
pub fn settings(text: &str) -> Result<Settings, SettingsError> {
    read(&Pairs::from_text(text))
}

pub fn read(pairs: &Pairs) -> Result<Settings, SettingsError> {
    let mut classes = Vec::new();
    // A time that is due has to be one: more than nothing, and no more than a day.
    let span =
        |key: &str| Ok::<_, SettingsError>(pairs.within(key, pairs.need(key)?, 1.0, LONGEST_SPAN)? as Micros);
    for i in 0..pairs.need::<usize>("profiles.count")? {
        let key = |name: &str| format!("profiles.{i}.{name}");
        let repeats = [
            ("idempotent", Repeats::Safe),
            ("deduplicated", Repeats::Keyed),
            ("at_most_once", Repeats::Unsafe),
        ];
        let repeats = pairs.word(&key("idempotency"), &repeats)?;
        let scopes = [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Shard)];
        let scope = match repeats {
            Repeats::Keyed => pairs.word(&key("dedup_scope"), &scopes)?,
            _ => Scope::All,
        };
        classes.push(Class {
            target: span(&key("target"))?,
            deadline: span(&key("hard_limit"))?,
            value: pairs.need(&key("worth"))?,
            late_value: pairs.number(&key("late_value"))?,
            repeats,
            window: pairs.time(&key("window"))?,
            scope,
            streamed: pairs.flag(&key("streamed"))?,
            in_order: pairs.flag(&key("fifo_by_key"))?,
        });
    }
    let mut plans = Vec::new();
    for i in 0..pairs.parse::<usize>("plans.count")?.unwrap_or(0) {
        let number = |name: &str| pairs.number(&format!("plans.{i}.{name}"));
        plans.push(Plan {
            rate: number("nominal")?,
            reserve: number("floor_rate")?,
            weight: number("proportion")?,
            price: number("worth_factor")?,
            limit: number("limit")?,
            limit_burst: number("burst")?,
        });
    }
    let budget = match pairs.parse::<f64>("contract.counted_over")? {
        Some(window) => Some(AttemptBudget {
            floor: pairs.number("contract.extra_floor")?,
            ratio: pairs.number("contract.repeat_ratio")?,
            window: window as Micros,
        }),
        None => None,
    };
    Ok(Settings {
        hosts: pairs.within("balancers", pairs.need("balancers")?, 1.0, MOST_HOSTS)? as u32,
        position: pairs.need("position")?,
        classes,
        plans,
        must_subscribe: pairs.word("membership_mode", &[("automatic", false), ("subscribe", true)])?,
        max_unsubscribed: pairs.time("contract.ask_within")?,
        drain_grace: pairs.time("contract.stop_sending_within")?,
        tick: pairs.time("tick")?,
        answer_slack: pairs.time("contract.answer_slack")?,
        max_attempts: pairs.within(
            "policy_limits.send_cap",
            pairs.need("policy_limits.send_cap")?,
            1.0,
            MOST_ATTEMPTS,
        )? as u32,
        hedging: pairs.flag("policy_limits.second_copies")?,
        cancel: pairs.flag("policy_limits.cancel")?,
        peers: pairs.flag("policy_limits.peers")?,
        probing: pairs.flag("policy_limits.probing")?,
        max_retry_after: match pairs.flag("policy_limits.retry_after")? {
            true => Some(pairs.time("policy_limits.max_retry_after")?),
            false => None,
        },
        slow_start_fraction: pairs.within(
            "contract.cold_from",
            pairs.number("contract.cold_from")?,
            0.0,
            1.0,
        )?,
        slow_start_duration: pairs.time("contract.cold")?,
        fall: pairs.time("contract.fall")?,
        fall_multiple: pairs.number("contract.fall_multiple")?,
        slow_start_units: pairs.within(
            "domain.young_limit",
            pairs.number("domain.young_limit")?,
            0.0,
            MOST_UNITS,
        )?,
        key_hold: pairs.time("contract.order_settle")?,
        budget,
        max_units: pairs.number("domain.max_units")?,
        mean_units: pairs.number("domain.usual_units")?,
        share_value: pairs.number("domain.share_worth")?,
        spare_value: pairs.number("domain.idle_worth")?,
        use_period: pairs.time("domain.use_period")?,
        reports: match pairs.0.get("report.how").map(String::as_str) {
            Some("piggyback") => Reports::Answers,
            Some("pull") => Reports::Probes,
            _ => Reports::None,
        },
    })
}

fn flatten(path: String, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(under(name), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(under("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(under(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            if items.is_empty() {
                pairs.insert(under("count"), "0".to_string());
            }
            let plain: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path, plain.join(","));
        }
        _ => drop(pairs.insert(path, plain(value))),
    }
}

/// A whole number that JSON writes as `8.0` reads as `8` here, like on the simulator's wire.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(n) if number.is_f64() && n.fract() == 0.0 && n.abs() < 9e15 => (n as i64).to_string(),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}
