//! The rules that the documents set for a process: the settings of its decision module, which nodes are out of
//! rotation, and whether an attempt may start now. Documents and their fields, described in
//! `docs/operators/agreement.md`, are `plan/NAME` (`limit`; plain `rate`, `reserve`, `weight`, `price`), `class/NAME`
//! (`attempts`, `repeats`), `nodes` (a field for each node's id) and `volumes` (a plan's name for each volume).

use super::document::{LeaseLevel, Repeats, Value};
use super::document_state::DocumentState;
use super::lease_holder::LeaseView;
use super::{Index, Micros};
use crate::interface::{self, Plan, Settings, VolumeId};
use std::collections::BTreeMap;

/// The name of the document with a field for each node.
pub const NODES: &str = "nodes";
/// The name of the document with a field for each volume.
pub const VOLUMES: &str = "volumes";

/// The rate, in units per second, that stands for a limit of 0, which the decision module takes for no limit.
const MIN_RATE: f64 = f64::MIN_POSITIVE;

/// Names of classes and plans, by their numbers in the decision module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of classes, by number.
    pub classes: Vec<String>,
    /// Names of plans, by number.
    pub plans: Vec<String>,
}

/// The rules at a request's arrival. Stricter rules that become known later apply to the request, laxer ones don't.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedRules {
    /// Limit on attempts at the request, the first one included.
    pub attempts: u32,
    /// Whether the request may be sent again.
    pub repeats: Repeats,
}

/// The effective values of the documents, by the decision module's numbers.
#[derive(Clone, Debug, Default, PartialEq)]
struct EffectiveRules {
    attempts: Vec<Option<Value>>,
    repeats: Vec<Option<Value>>,
    limits: Vec<Option<Value>>,
    plans: Vec<PlanOverrides>,
    nodes: BTreeMap<String, Value>,
    volumes: BTreeMap<VolumeId, usize>,
    /// Fields that this process does not understand.
    ignored: Vec<String>,
}

/// A plan's values that the documents override.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PlanOverrides {
    rate: Option<f64>,
    reserve: Option<f64>,
    weight: Option<f64>,
    price: Option<f64>,
}

/// A change of the leases or the rules since the last refresh.
#[derive(Clone, Debug, PartialEq)]
pub struct RulesChange {
    /// The leases now.
    pub level: LeaseLevel,
    /// The leases at the last refresh.
    pub was: LeaseLevel,
    /// Whether the effective rules have changed.
    pub revised: bool,
}

impl RulesChange {
    /// Whether the decision module needs the new settings.
    pub fn affects_policy(&self) -> bool {
        self.revised || self.level != self.was
    }
}

/// The rules of this process, compiled from the documents.
#[derive(Debug)]
pub struct Rules {
    base: Settings,
    names: Names,
    view: LeaseView,
    level: LeaseLevel,
    /// The last entry that `effective` includes.
    compiled_at: Index,
    effective: EffectiveRules,
}

impl Rules {
    /// Creates the rules over the process's own settings `base`, without a lease until the first refresh.
    pub fn new(base: Settings, names: Names, view: LeaseView) -> Rules {
        let mut rules = Rules {
            base,
            names,
            view,
            level: LeaseLevel::NoLease,
            compiled_at: 0,
            effective: EffectiveRules::default(),
        };
        rules.effective = rules.compile();
        rules
    }

    /// Replaces the process's own settings and names.
    pub fn rebase(&mut self, base: Settings, names: Names) {
        (self.base, self.names) = (base, names);
        self.effective = self.compile();
    }

    /// The leases at the last refresh.
    pub fn level(&self) -> LeaseLevel {
        self.level
    }

    /// The state at the last refresh.
    pub fn state(&self) -> &DocumentState {
        self.view.state()
    }

    /// Fields that this process does not understand, for the log.
    pub fn ignored(&self) -> &[String] {
        &self.effective.ignored
    }

    /// Whether the rules still match the view and its leases at `now`.
    pub fn is_current(&self, now: Micros, view: &LeaseView) -> bool {
        view.state().applied() == self.compiled_at && view.level(now) == self.level
    }

    /// Updates the rules; called before each action. Returns the change since the last refresh if a lease changed, or
    /// an edit was prepared or came into force.
    pub fn refresh(&mut self, now: Micros, view: &LeaseView) -> Option<RulesChange> {
        if self.is_current(now, view) {
            return None;
        }
        let (was, level) = (self.level, view.level(now));
        let edits = |view: &LeaseView| (view.state().prepared(), view.state().active());
        let edits_changed = edits(&self.view) != edits(view);
        (self.level, self.compiled_at, self.view) = (level, view.state().applied(), view.clone());
        let effective = self.compile();
        let revised = effective != self.effective;
        self.effective = effective;
        (edits_changed || level != was).then_some(RulesChange { level, was, revised })
    }

    fn compile(&self) -> EffectiveRules {
        let (state, mut ignored) = (self.view.state(), Vec::new());
        let of = |kind: &str, names: &[String], field: &str| -> Vec<Option<Value>> {
            names.iter().map(|name| state.effective_value(&format!("{kind}/{name}"), field)).collect()
        };
        let attempts = of("class", &self.names.classes, "attempts");
        let repeats = of("class", &self.names.classes, "repeats");
        let limits = of("plan", &self.names.plans, "limit");
        let mut plans = Vec::new();
        for name in &self.names.plans {
            let document = format!("plan/{name}");
            let mut figure = |field: &str| {
                let value = state.effective_value(&document, field)?;
                let number = number(&value);
                if number.is_none() {
                    ignored.push(format!("{document}.{field}"));
                }
                number
            };
            let (rate, reserve) = (figure("rate"), figure("reserve"));
            plans.push(PlanOverrides { rate, reserve, weight: figure("weight"), price: figure("price") });
        }
        let mut nodes = BTreeMap::new();
        for node in state.fields(NODES) {
            match state.effective_value(NODES, node) {
                Some(value @ Value::Node(_)) => drop(nodes.insert(node.to_string(), value)),
                _ => ignored.push(format!("{NODES}.{node}")),
            }
        }
        let mut volumes = BTreeMap::new();
        for field in state.fields(VOLUMES) {
            let plan = match state.effective_value(VOLUMES, field) {
                Some(Value::Plain(plan)) => self.names.plans.iter().position(|known| *known == plan),
                _ => None,
            };
            match (VolumeId::from_str_radix(field, 16), plan) {
                (Ok(volume), Some(plan)) => drop(volumes.insert(volume, plan)),
                _ => ignored.push(format!("{VOLUMES}.{field}")),
            }
        }
        EffectiveRules { attempts, repeats, limits, plans, nodes, volumes, ignored }
    }

    /// The process's own settings, restricted and overridden by the effective rules.
    pub fn settings(&self) -> Settings {
        let mut settings = self.base.clone();
        for (number, class) in settings.classes.iter_mut().enumerate() {
            let allowed = self.repeats(number);
            class.repeats = match (class.repeats, allowed) {
                (repeats, Repeats::Always) => repeats,
                // Only for keyed classes are nodes known to drop repeats.
                (interface::Repeats::Keyed, Repeats::Keyed) => interface::Repeats::Keyed,
                _ => interface::Repeats::Unsafe,
            };
        }
        for (number, plan) in settings.plans.iter_mut().enumerate() {
            self.apply_overrides(number, plan);
        }
        settings
    }

    fn apply_overrides(&self, number: usize, plan: &mut Plan) {
        let overrides = self.effective.plans.get(number).copied().unwrap_or_default();
        plan.rate = overrides.rate.unwrap_or(plan.rate);
        plan.reserve = overrides.reserve.unwrap_or(plan.reserve);
        plan.weight = overrides.weight.unwrap_or(plan.weight);
        plan.price = overrides.price.unwrap_or(plan.price);
        let limit =
            self.effective.limits.get(number).cloned().flatten().map(|value| value.at_level(self.level));
        let rate = match (limit, self.level) {
            (_, LeaseLevel::NoLease) => 0.0,
            (Some(Value::Limit { rate, .. }), _) => rate,
            _ => return,
        };
        // The burst stays the units of as many seconds as in the process's own settings; without a limit there, of one
        // second.
        let seconds = if plan.limit > 0.0 { plan.limit_burst / plan.limit } else { 1.0 };
        (plan.limit, plan.limit_burst) = (rate.max(MIN_RATE), rate * seconds);
    }

    /// The limit on attempts at one request of the class, the first one included.
    pub fn attempts(&self, class: usize) -> u32 {
        let agreed =
            self.effective.attempts.get(class).cloned().flatten().map(|value| value.at_level(self.level));
        match (agreed, self.level) {
            (Some(Value::Attempts(limit)), _) => limit.min(self.base.max_attempts),
            (_, LeaseLevel::NoLease) => 0,
            _ => self.base.max_attempts,
        }
    }

    fn repeats(&self, class: usize) -> Repeats {
        let agreed =
            self.effective.repeats.get(class).cloned().flatten().map(|value| value.at_level(self.level));
        match (agreed, self.level) {
            (Some(Value::Repeats(repeats)), _) => repeats,
            (_, LeaseLevel::NoLease) => Repeats::Never,
            _ => Repeats::Always,
        }
    }

    /// The rules for a request that arrives now.
    pub fn admit(&self, class: usize) -> AdmittedRules {
        AdmittedRules { attempts: self.attempts(class), repeats: self.repeats(class) }
    }

    /// The plan of a volume, if the documents set one.
    pub fn plan(&self, volume: VolumeId) -> Option<usize> {
        self.effective.volumes.get(&volume).copied()
    }

    /// Whether the process may send requests to a node. Without any lease it cannot know which nodes were taken out of
    /// rotation, and sends to none.
    pub fn accepts_requests(&self, node: &str) -> bool {
        match self.effective.nodes.get(node).map(|value| value.at_level(self.level)) {
            Some(Value::Node(in_rotation)) => in_rotation,
            _ => self.level != LeaseLevel::NoLease,
        }
    }

    /// Whether an attempt (0: the first) may start now. `admitted`: the rules at the request's arrival. `ran`: an
    /// earlier attempt may have been executed.
    pub fn allows(&self, class: usize, admitted: AdmittedRules, attempt: u32, ran: bool, node: &str) -> bool {
        let keyed =
            || self.base.classes.get(class).is_some_and(|class| class.repeats == interface::Repeats::Keyed);
        let may_repeat = match admitted.repeats.min(self.repeats(class)) {
            Repeats::Always => true,
            Repeats::Keyed => !ran || keyed(),
            Repeats::Never => !ran,
        };
        may_repeat && attempt < admitted.attempts.min(self.attempts(class)) && self.accepts_requests(node)
    }
}

fn number(value: &Value) -> Option<f64> {
    let Value::Plain(text) = value else { return None };
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

#[cfg(test)]
mod tests;
