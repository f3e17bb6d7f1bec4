//! What a head may do by the documents: the settings that its decision module is told, which nodes are out, and whether
//! an attempt may start at this moment. Documents and their fields, as `docs/operators/agreement.md` has them:
//! `plan/NAME` (`limit`; plain `rate`, `reserve`, `weight`, `price`), `class/NAME` (`attempts`, `repeats`), `nodes` (a
//! field for each node's id), `volumes` (a plan's name for each volume).

use super::document::{Level, Repeats, Value};
use super::holder::View;
use super::ledger::Ledger;
use super::{Index, Micros};
use crate::interface::{self, Plan, Settings, VolumeId};
use std::collections::BTreeMap;

pub const NODES: &str = "nodes";
pub const VOLUMES: &str = "volumes";

/// An agreed limit of nothing: 0 would be no limit to the module.
const NO_UNITS: f64 = f64::MIN_POSITIVE;

/// What the module's numbers stand for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
}

/// The rules that a request came under. Stricter ones bind it from their time on, laxer ones never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Came {
    pub attempts: u32,
    pub repeats: Repeats,
}

/// What the documents say, by the module's numbers.
#[derive(Clone, Debug, Default, PartialEq)]
struct Acting {
    attempts: Vec<Option<Value>>,
    repeats: Vec<Option<Value>>,
    limits: Vec<Option<Value>>,
    plans: Vec<Figures>,
    nodes: BTreeMap<String, Value>,
    volumes: BTreeMap<VolumeId, usize>,
    /// Fields that mean nothing here.
    ignored: Vec<String>,
}

/// A plan's plain figures, where the documents have any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Figures {
    rate: Option<f64>,
    reserve: Option<f64>,
    weight: Option<f64>,
    price: Option<f64>,
}

/// What has changed since the last look.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    pub level: Level,
    pub was: Level,
    /// The documents say something else to a head.
    pub revised: bool,
}

impl Reading {
    /// The module has to be told.
    pub fn matters(&self) -> bool {
        self.revised || self.level != self.was
    }
}

#[derive(Debug)]
pub struct Rules {
    base: Settings,
    names: Names,
    view: View,
    level: Level,
    /// Up to which entry `acting` was read.
    read: Index,
    acting: Acting,
}

impl Rules {
    pub fn new(base: Settings, names: Names, view: View) -> Rules {
        let mut rules = Rules { base, names, view, level: Level::Bottom, read: 0, acting: Acting::default() };
        rules.acting = rules.compile();
        rules
    }

    /// The head's own settings are others now.
    pub fn rebase(&mut self, base: Settings, names: Names) {
        (self.base, self.names) = (base, names);
        self.acting = self.compile();
    }

    pub fn level(&self) -> Level {
        self.level
    }

    pub fn ledger(&self) -> &Ledger {
        self.view.ledger()
    }

    pub fn ignored(&self) -> &[String] {
        &self.acting.ignored
    }

    /// Whether what was looked at last is still how things stand.
    pub fn fresh(&self, now: Micros, view: &View) -> bool {
        view.ledger().read() == self.read && view.level(now) == self.level
    }

    /// The look before each act. What has changed since the last one, if a lease has, or an edit was prepared or came into
    /// force.
    pub fn look(&mut self, now: Micros, view: &View) -> Option<Reading> {
        if self.fresh(now, view) {
            return None;
        }
        let (was, level) = (self.level, view.level(now));
        let edits = |view: &View| (view.ledger().prepared(), view.ledger().active());
        let moved = edits(&self.view) != edits(view);
        (self.level, self.read, self.view) = (level, view.ledger().read(), view.clone());
        let acting = self.compile();
        let revised = acting != self.acting;
        self.acting = acting;
        (moved || level != was).then_some(Reading { level, was, revised })
    }

    fn compile(&self) -> Acting {
        let (ledger, mut ignored) = (self.view.ledger(), Vec::new());
        let of = |kind: &str, names: &[String], field: &str| -> Vec<Option<Value>> {
            names.iter().map(|name| ledger.acting(&format!("{kind}/{name}"), field)).collect()
        };
        let attempts = of("class", &self.names.classes, "attempts");
        let repeats = of("class", &self.names.classes, "repeats");
        let limits = of("plan", &self.names.plans, "limit");
        let mut plans = Vec::new();
        for name in &self.names.plans {
            let document = format!("plan/{name}");
            let mut figure = |field: &str| {
                let value = ledger.acting(&document, field)?;
                let number = number(&value);
                if number.is_none() {
                    ignored.push(format!("{document}.{field}"));
                }
                number
            };
            let (rate, reserve) = (figure("rate"), figure("reserve"));
            plans.push(Figures { rate, reserve, weight: figure("weight"), price: figure("price") });
        }
        let mut nodes = BTreeMap::new();
        for node in ledger.fields(NODES) {
            match ledger.acting(NODES, node) {
                Some(value @ Value::Node(_)) => drop(nodes.insert(node.to_string(), value)),
                _ => ignored.push(format!("{NODES}.{node}")),
            }
        }
        let mut volumes = BTreeMap::new();
        for field in ledger.fields(VOLUMES) {
            let plan = match ledger.acting(VOLUMES, field) {
                Some(Value::Plain(plan)) => self.names.plans.iter().position(|known| *known == plan),
                _ => None,
            };
            match (VolumeId::from_str_radix(field, 16), plan) {
                (Ok(volume), Some(plan)) => drop(volumes.insert(volume, plan)),
                _ => ignored.push(format!("{VOLUMES}.{field}")),
            }
        }
        Acting { attempts, repeats, limits, plans, nodes, volumes, ignored }
    }

    /// The head's settings, as far as this reading lets them be.
    pub fn settings(&self) -> Settings {
        let mut settings = self.base.clone();
        for (number, class) in settings.classes.iter_mut().enumerate() {
            let allowed = self.repeats(number);
            class.repeats = match (class.repeats, allowed) {
                (repeats, Repeats::Always) => repeats,
                // Nodes that drop repeats are known of keyed classes only.
                (interface::Repeats::Keyed, Repeats::Keyed) => interface::Repeats::Keyed,
                _ => interface::Repeats::Unsafe,
            };
        }
        for (number, plan) in settings.plans.iter_mut().enumerate() {
            self.put_figures(number, plan);
        }
        settings
    }

    fn put_figures(&self, number: usize, plan: &mut Plan) {
        let figures = self.acting.plans.get(number).copied().unwrap_or_default();
        plan.rate = figures.rate.unwrap_or(plan.rate);
        plan.reserve = figures.reserve.unwrap_or(plan.reserve);
        plan.weight = figures.weight.unwrap_or(plan.weight);
        plan.price = figures.price.unwrap_or(plan.price);
        let limit = self.acting.limits.get(number).cloned().flatten().map(|value| value.at(self.level));
        let rate = match (limit, self.level) {
            (_, Level::Bottom) => 0.0,
            (Some(Value::Limit { rate, .. }), _) => rate,
            _ => return,
        };
        // What may be saved up is as long a time's units as before: a second's where nothing was said of that.
        let seconds = if plan.limit > 0.0 { plan.limit_burst / plan.limit } else { 1.0 };
        (plan.limit, plan.limit_burst) = (rate.max(NO_UNITS), rate * seconds);
    }

    /// Attempts at one request of the class that may be made, the first one counted.
    pub fn attempts(&self, class: usize) -> u32 {
        let agreed = self.acting.attempts.get(class).cloned().flatten().map(|value| value.at(self.level));
        match (agreed, self.level) {
            (Some(Value::Attempts(most)), _) => most.min(self.base.max_attempts),
            (_, Level::Bottom) => 0,
            _ => self.base.max_attempts,
        }
    }

    fn repeats(&self, class: usize) -> Repeats {
        let agreed = self.acting.repeats.get(class).cloned().flatten().map(|value| value.at(self.level));
        match (agreed, self.level) {
            (Some(Value::Repeats(repeats)), _) => repeats,
            (_, Level::Bottom) => Repeats::Never,
            _ => Repeats::Always,
        }
    }

    /// What a request that comes now comes under.
    pub fn came(&self, class: usize) -> Came {
        Came { attempts: self.attempts(class), repeats: self.repeats(class) }
    }

    /// The plan of a volume, where the documents give it one.
    pub fn plan(&self, volume: VolumeId) -> Option<usize> {
        self.acting.volumes.get(&volume).copied()
    }

    /// Whether a node may be sent to. Without any lease nobody can know which of them were taken out.
    pub fn takes(&self, node: &str) -> bool {
        match self.acting.nodes.get(node).map(|value| value.at(self.level)) {
            Some(Value::Node(takes)) => takes,
            _ => self.level != Level::Bottom,
        }
    }

    /// Whether that attempt (0: the first) may start now. `ran`: an earlier one may have run.
    pub fn allows(&self, class: usize, came: Came, attempt: u32, ran: bool, node: &str) -> bool {
        let keyed =
            || self.base.classes.get(class).is_some_and(|class| class.repeats == interface::Repeats::Keyed);
        let repeated = match came.repeats.min(self.repeats(class)) {
            Repeats::Always => true,
            Repeats::Keyed => !ran || keyed(),
            Repeats::Never => !ran,
        };
        repeated && attempt < came.attempts.min(self.attempts(class)) && self.takes(node)
    }
}

fn number(value: &Value) -> Option<f64> {
    let Value::Plain(text) = value else { return None };
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agree::document::{Edit, Part};
    use crate::agree::holder::Holder;
    use crate::agree::{Command, Entry, HolderId, Message, Times};
    use crate::interface::Class;

    fn base() -> Settings {
        let class = |repeats| Class { repeats, ..Class::default() };
        let repeats = [interface::Repeats::Safe, interface::Repeats::Keyed, interface::Repeats::Unsafe];
        Settings {
            classes: repeats.map(class).to_vec(),
            plans: vec![Plan { limit: 8.0, limit_burst: 16.0, ..Plan::default() }, Plan::default()],
            max_attempts: 4,
            ..Settings::default()
        }
    }

    fn names() -> Names {
        let names = |all: &[&str]| all.iter().map(|name| name.to_string()).collect();
        Names { classes: names(&["read", "keyed", "once"]), plans: names(&["gold", "free"]) }
    }

    /// A head that holds its leases since 0 and was told these edits, in force or only prepared.
    fn holder(edits: &[&[(&str, &str, Value)]], in_force: usize) -> Holder {
        let voters = BTreeMap::from([(1, String::new())]);
        let mut holder = Holder::new(HolderId { head: "n0".into(), start: 1 }, &voters, Times::default());
        let mut entries = Vec::new();
        let mut versions: BTreeMap<&str, u64> = BTreeMap::new();
        for (id, edit) in edits.iter().enumerate() {
            let mut parts: BTreeMap<String, Part> = BTreeMap::new();
            for (document, field, value) in *edit {
                let base = versions.get(document).copied().unwrap_or(0);
                let part =
                    parts.entry(document.to_string()).or_insert(Part { base, changes: BTreeMap::new() });
                part.changes.insert(field.to_string(), Some(value.clone()));
            }
            edit.iter()
                .map(|(document, ..)| *document)
                .collect::<std::collections::BTreeSet<_>>()
                .into_iter()
                .for_each(|document| *versions.entry(document).or_insert(0) += 1);
            let edit = Edit { id: id as u64, parts, who: String::new(), why: String::new(), at_ms: 0 };
            entries.push(Entry { term: 1, command: Command::Edit(edit) });
        }
        entries.insert(in_force, Entry { term: 1, command: Command::Activate(in_force as Index) });
        let granted = Message::Granted { start: 1, asked: 0, yes: true, after: 0, snapshot: None, entries };
        holder.hear(1, granted);
        holder
    }

    #[test]
    fn every_rule_follows_the_documents_and_less_is_allowed_the_less_is_known() {
        let limit = |rate| Value::Limit { rate, least: 1.0 };
        let first: &[(&str, &str, Value)] = &[
            ("plan/gold", "limit", limit(4.0)),
            ("plan/gold", "weight", Value::Plain("2.5".into())),
            ("plan/free", "limit", limit(3.0)),
            ("plan/free", "price", Value::Plain("much".into())),
            ("class/read", "attempts", Value::Attempts(3)),
            ("class/keyed", "repeats", Value::Repeats(Repeats::Keyed)),
            ("nodes", "s-1", Value::Node(false)),
            ("volumes", "0a", Value::Plain("free".into())),
            ("volumes", "0b", Value::Plain("none".into())),
        ];
        let second: &[(&str, &str, Value)] =
            &[("plan/gold", "limit", limit(2.0)), ("class/read", "repeats", Value::Repeats(Repeats::Never))];
        let holder = holder(&[first, second], 1);
        let mut rules = Rules::new(base(), names(), holder.view().clone());
        let told = |rules: &Rules| {
            let settings = rules.settings();
            let limits: Vec<(f64, f64)> = settings.plans.iter().map(|p| (p.limit, p.limit_burst)).collect();
            let repeats: Vec<interface::Repeats> = settings.classes.iter().map(|c| c.repeats).collect();
            let takes = (rules.takes("s-1"), rules.takes("s-2"));
            (limits, repeats, (0..3).map(|class| rules.attempts(class)).collect::<Vec<_>>(), takes)
        };
        use interface::Repeats::{Keyed, Unsafe};
        let times = Times::default();
        for (at, level, wanted) in [
            (
                0,
                Level::Held,
                (vec![(2.0, 4.0), (3.0, 3.0)], vec![Unsafe, Keyed, Unsafe], vec![3, 4, 4], (false, true)),
            ),
            (
                times.lease,
                Level::Loose,
                (vec![(1.0, 2.0), (1.0, 1.0)], vec![Unsafe, Unsafe, Unsafe], vec![1, 4, 4], (false, true)),
            ),
            (
                times.long_lease,
                Level::Bottom,
                (
                    vec![(NO_UNITS, 0.0), (NO_UNITS, 0.0)],
                    vec![Unsafe, Unsafe, Unsafe],
                    vec![1, 0, 0],
                    (false, false),
                ),
            ),
        ] {
            let was = rules.level();
            let reading = rules.look(at, holder.view()).expect("it has changed");
            assert_eq!((reading.level, reading.was), (level, was));
            assert!(rules.look(at, holder.view()).is_none(), "nothing has changed since");
            assert_eq!(told(&rules), wanted, "{level:?}");
        }
        assert_eq!(rules.settings().plans[0].weight, 2.5);
        assert_eq!((rules.plan(10), rules.plan(11)), (Some(1), None));
        assert_eq!(rules.ignored(), ["plan/free.price", "volumes.0b"]);
    }

    #[test]
    fn an_open_request_is_bound_by_stricter_rules_and_never_loosened() {
        let strict: &[(&str, &str, Value)] = &[
            ("class/read", "attempts", Value::Attempts(1)),
            ("class/keyed", "repeats", Value::Repeats(Repeats::Never)),
        ];
        let lax: &[(&str, &str, Value)] = &[
            ("class/read", "attempts", Value::Attempts(3)),
            ("class/keyed", "repeats", Value::Repeats(Repeats::Always)),
        ];
        let rules = |edits: &[&[(&str, &str, Value)]]| {
            let holder = holder(edits, edits.len());
            let mut rules = Rules::new(base(), names(), holder.view().clone());
            rules.look(0, holder.view());
            rules
        };
        let (none, one, two) = (rules(&[]), rules(&[strict]), rules(&[strict, lax]));
        for (came_under, now, class, attempt, ran, wanted) in [
            (&none, &none, 0, 3, true, true),
            (&none, &none, 0, 4, true, false),
            (&none, &one, 0, 0, false, true),
            (&none, &one, 0, 1, false, false),
            (&one, &two, 0, 1, false, false),
            (&two, &two, 0, 2, false, true),
            (&none, &one, 1, 1, true, false),
            (&none, &one, 1, 1, false, true),
            (&one, &two, 1, 1, true, false),
            (&two, &two, 1, 1, true, true),
        ] {
            let came = came_under.came(class);
            assert_eq!(
                now.allows(class, came, attempt, ran, "s-9"),
                wanted,
                "{came:?} {class} {attempt} {ran}"
            );
        }
    }
}
