//! Reads what a head has told: filters lines, follows one request through its attempts, and sums up requests. No I/O:
//! lines come in, reports go out.

use crate::syslog::Severity;
use crate::syslog::parse::{Malformed, Message, parse};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write};

/// One condition on a message: a field of the head or a parameter of any element, and what its value must be.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    pub name: String,
    pub is: Is,
    pub value: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Is {
    Equal,
    Unequal,
    Containing,
    /// As numbers.
    AtLeast,
    AtMost,
}

#[derive(Debug, PartialEq, Eq)]
pub struct NoCondition(String);

impl fmt::Display for NoCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no condition: NAME=VALUE, NAME!=VALUE, NAME~PART, NAME>=N or NAME<=N is due",
            self.0
        )
    }
}

impl std::error::Error for NoCondition {}

impl std::str::FromStr for Condition {
    type Err = NoCondition;

    fn from_str(text: &str) -> Result<Condition, NoCondition> {
        let signs = [
            ("!=", Is::Unequal),
            (">=", Is::AtLeast),
            ("<=", Is::AtMost),
            ("~", Is::Containing),
            ("=", Is::Equal),
        ];
        // The first sign in the text, the longer one where two begin at the same place.
        let first = signs.iter().filter_map(|(sign, is)| Some((text.find(sign)?, *sign, *is)));
        let (at, sign, is) =
            first.min_by_key(|(at, sign, _)| (*at, 2 - sign.len())).ok_or(NoCondition(text.into()))?;
        let (name, value) = (&text[..at], &text[at + sign.len()..]);
        if name.is_empty() || matches!(is, Is::AtLeast | Is::AtMost) && value.parse::<f64>().is_err() {
            return Err(NoCondition(text.into()));
        }
        Ok(Condition { name: name.into(), is, value: value.into() })
    }
}

impl Condition {
    pub fn fits(&self, message: &Message) -> bool {
        let value = match self.name.as_str() {
            "msgid" => message.id.map(Into::into),
            "host" => message.host.map(Into::into),
            "app" => message.app.map(Into::into),
            "process" => message.process.map(Into::into),
            "time" => message.timestamp.map(Into::into),
            "severity" => Some(message.severity.name().into()),
            "text" => message.text.clone(),
            name => match name.split_once('.') {
                Some((element, parameter)) => message.parameter(element, parameter).cloned(),
                None => message.any(name).cloned(),
            },
        };
        let number = |text: &str| text.parse::<f64>().ok();
        match (self.is, value) {
            (Is::Unequal, value) => value.is_none_or(|value| value != self.value),
            (_, None) => false,
            (Is::Equal, Some(value)) => value == self.value,
            (Is::Containing, Some(value)) => value.contains(&self.value),
            (is, Some(value)) => match (number(&value), number(&self.value)) {
                (Some(value), Some(bound)) if is == Is::AtLeast => value >= bound,
                (Some(value), Some(bound)) => value <= bound,
                _ => false,
            },
        }
    }
}

/// The message in a line: whole, or with what a collector's file or octet counting puts in front.
pub fn message(line: &[u8]) -> Result<Message<'_>, Malformed> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_digit()).count();
    let counted = digits > 0 && line.get(digits) == Some(&b' ') && line.get(digits + 1) == Some(&b'<');
    let start = if counted { digits + 1 } else { 0 };
    parse(&line[start..]).map_err(|error| Malformed { at: error.at + start, ..error })
}

/// Passes each line once, however often collectors got it: by host, process and sequence id.
#[derive(Debug, Default)]
pub struct Once {
    seen: BTreeMap<String, BTreeSet<u64>>,
    pub repeats: u64,
}

impl Once {
    pub fn first(&mut self, message: &Message) -> bool {
        let sequence = message.parameter("meta", "sequenceId").and_then(|value| value.parse().ok());
        let Some(sequence) = sequence else { return true };
        let from = format!("{} {}", message.host.unwrap_or("-"), message.process.unwrap_or("-"));
        let first = self.seen.entry(from).or_default().insert(sequence);
        self.repeats += u64::from(!first);
        first
    }

    /// Sequence ids that are missing between the first and the last of each process.
    pub fn gaps(&self) -> u64 {
        let gap = |ids: &BTreeSet<u64>| match (ids.first(), ids.last()) {
            (Some(first), Some(last)) => last - first + 1 - ids.len() as u64,
            _ => 0,
        };
        self.seen.values().map(gap).sum()
    }
}

/// Requests of one kind, summed up.
#[derive(Debug)]
struct Sum {
    /// By outcome, each as many as it stands for.
    outcomes: BTreeMap<String, u64>,
    attempts: u64,
    late: u64,
    units: f64,
    total: Histogram<u64>,
    held: Histogram<u64>,
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).ok()
}

/// What requests are summed up by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum By {
    Volume,
    Plan,
    Class,
    Outcome,
    /// Attempts, by the node that they went to.
    Node,
    /// Attempts, by how they ended.
    Ending,
    /// Attempts, by why they were made.
    Why,
}

impl By {
    fn name(self) -> &'static str {
        match self {
            By::Volume => "volume",
            By::Plan => "plan",
            By::Class => "class",
            By::Outcome => "outcome",
            By::Node => "node",
            By::Ending => "ending",
            By::Why => "why",
        }
    }

    fn of_attempts(self) -> bool {
        matches!(self, By::Node | By::Ending | By::Why)
    }
}

#[derive(Debug)]
pub struct Sums {
    by: By,
    kinds: BTreeMap<String, Sum>,
}

impl Sums {
    pub fn new(by: By) -> Sums {
        Sums { by, kinds: BTreeMap::new() }
    }

    pub fn add(&mut self, message: &Message) {
        let wanted = if self.by.of_attempts() { "ATTEMPT" } else { "REQUEST" };
        if message.id != Some(wanted) {
            return;
        }
        let get = |name: &str| message.any(name).map_or("", |value| &**value);
        let number = |name: &str| get(name).parse::<u64>().unwrap_or(0);
        let kind = get(self.by.name()).to_string();
        let Some(sum) = (match self.kinds.get_mut(&kind) {
            Some(sum) => Some(sum),
            None => histogram().zip(histogram()).map(|(total, held)| {
                let empty = Sum { outcomes: BTreeMap::new(), attempts: 0, late: 0, units: 0.0, total, held };
                self.kinds.entry(kind).or_insert(empty)
            }),
        }) else {
            return;
        };
        // One that was told stands for so many.
        let stands_for = number("one_in").max(1);
        let outcome = get(if self.by.of_attempts() { "ending" } else { "outcome" });
        *sum.outcomes.entry(outcome.to_string()).or_default() += stands_for;
        sum.attempts += number("attempts") * stands_for;
        sum.late += u64::from(get("late") == "yes") * stands_for;
        sum.units += get("units").parse::<f64>().unwrap_or(0.0) * stands_for as f64;
        let (held, out) = if self.by.of_attempts() {
            (0, number("took_us"))
        } else {
            (number("held_us"), number("out_us"))
        };
        // Within the bounds that were asked for, this cannot fail.
        sum.total.saturating_record_n((held + out).max(1), stands_for);
        sum.held.saturating_record_n(held.max(1), stands_for);
    }
}

impl fmt::Display for Sums {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, rest) = (self.by.name(), ["count", "p50 ms", "p99 ms", "p99.9 ms", "held p99", "late"]);
        write!(f, "{name:<24}")?;
        rest.iter().try_for_each(|column| write!(f, " {column:>9}"))?;
        writeln!(f, "  ends")?;
        for (kind, sum) in &self.kinds {
            let ms = |histogram: &Histogram<u64>, part| histogram.value_at_quantile(part) as f64 / 1000.0;
            let mut ends = String::new();
            for (outcome, count) in &sum.outcomes {
                write!(ends, " {outcome}={count}")?;
            }
            let Sum { total, held, late, .. } = sum;
            writeln!(
                f,
                "{kind:<24} {:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {late:>9} {ends}",
                total.len(),
                ms(total, 0.5),
                ms(total, 0.99),
                ms(total, 0.999),
                ms(held, 0.99),
            )?;
        }
        Ok(())
    }
}

/// One request's way, from its lines.
pub fn follow(message: &Message) -> Option<String> {
    let get = |name: &str| message.any(name).map_or("-", |value| value);
    let ms = |name: &str| get(name).parse::<f64>().map_or("-".into(), |us| format!("{:.2} ms", us / 1000.0));
    let when = message.timestamp.unwrap_or("-");
    match message.id? {
        "ATTEMPT" => Some(format!(
            "{when}  attempt {} at {}: {}, ended {} after {}",
            get("attempt"),
            get("node"),
            get("why"),
            get("ending"),
            ms("took_us")
        )),
        "REQUEST" => Some(format!(
            "{when}  {} of volume {} ({}, {}, {} units): held {}, out {}, late: {}",
            get("outcome"),
            get("volume"),
            get("plan"),
            get("class"),
            get("units"),
            ms("held_us"),
            ms("out_us"),
            get("late")
        )),
        "NO_ANSWER" => Some(format!("{when}  the module had no answer by the deadline")),
        _ => None,
    }
}

/// Severities from the gravest down to this one.
pub fn as_grave_as(message: &Message, least: Severity) -> bool {
    message.severity <= least
}

#[cfg(test)]
mod tests;
