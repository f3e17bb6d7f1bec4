//! Analyzes a host's event log: filters lines, follows one request through its attempts, and summarizes
//! requests. Does no I/O.

use crate::syslog::Severity;
use crate::syslog::parse::{Malformed, Message, parse};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write};

/// A condition on a message: a field of the header or a parameter of any element, and what its value must be.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The name of the field or parameter, or `ELEMENT.PARAMETER`.
    pub name: String,
    /// How the values are compared.
    pub operator: Operator,
    /// The value to compare with.
    pub value: String,
}

/// How a condition compares values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// The values are equal.
    Equal,
    /// The values differ, or the message has none.
    Unequal,
    /// The message's value contains the other.
    Containing,
    /// The message's value is a number that is not less than the other.
    AtLeast,
    /// The message's value is a number that is not greater than the other.
    AtMost,
}

/// Error: the text is not a condition.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidCondition(String);

impl fmt::Display for InvalidCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid condition {:?}: expected NAME=VALUE, NAME!=VALUE, NAME~PART, NAME>=N or NAME<=N",
            self.0
        )
    }
}

impl std::error::Error for InvalidCondition {}

impl std::str::FromStr for Condition {
    type Err = InvalidCondition;

    fn from_str(text: &str) -> Result<Condition, InvalidCondition> {
        let signs = [
            ("!=", Operator::Unequal),
            (">=", Operator::AtLeast),
            ("<=", Operator::AtMost),
            ("~", Operator::Containing),
            ("=", Operator::Equal),
        ];
        // The first sign in the text, or the longer one where two begin at the same position.
        let first = signs.iter().filter_map(|(sign, operator)| Some((text.find(sign)?, *sign, *operator)));
        let (at, sign, operator) =
            first.min_by_key(|(at, sign, _)| (*at, 2 - sign.len())).ok_or(InvalidCondition(text.into()))?;
        let (name, value) = (&text[..at], &text[at + sign.len()..]);
        if name.is_empty()
            || matches!(operator, Operator::AtLeast | Operator::AtMost) && value.parse::<f64>().is_err()
        {
            return Err(InvalidCondition(text.into()));
        }
        Ok(Condition { name: name.into(), operator, value: value.into() })
    }
}

impl Condition {
    /// Whether a message meets the condition.
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
        match (self.operator, value) {
            (Operator::Unequal, value) => value.is_none_or(|value| value != self.value),
            (_, None) => false,
            (Operator::Equal, Some(value)) => value == self.value,
            (Operator::Containing, Some(value)) => value.contains(&self.value),
            (operator, Some(value)) => match (number(&value), number(&self.value)) {
                (Some(value), Some(bound)) if operator == Operator::AtLeast => value >= bound,
                (Some(value), Some(bound)) => value <= bound,
                _ => false,
            },
        }
    }
}

/// Parses the message in a line, with or without the length that octet counting puts in front.
///
/// # Errors
/// The message is malformed; the position is counted in the whole line.
pub fn message(line: &[u8]) -> Result<Message<'_>, Malformed> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_digit()).count();
    let counted = digits > 0 && line.get(digits) == Some(&b' ') && line.get(digits + 1) == Some(&b'<');
    let start = if counted { digits + 1 } else { 0 };
    parse(&line[start..]).map_err(|error| Malformed { at: error.at + start, ..error })
}

/// Finds lines that several collectors received, by host, process and sequence id.
#[derive(Debug, Default)]
pub struct Deduplicator {
    seen: BTreeMap<String, BTreeSet<u64>>,
    /// The number of repeated lines.
    pub repeats: u64,
}

impl Deduplicator {
    /// Whether a message is seen for the first time. Messages without a sequence id always are.
    pub fn first(&mut self, message: &Message) -> bool {
        let sequence = message.parameter("meta", "sequenceId").and_then(|value| value.parse().ok());
        let Some(sequence) = sequence else { return true };
        let from = format!("{} {}", message.host.unwrap_or("-"), message.process.unwrap_or("-"));
        let first = self.seen.entry(from).or_default().insert(sequence);
        self.repeats += u64::from(!first);
        first
    }

    /// Returns the number of sequence ids that are missing between the first and the last of each process.
    pub fn gaps(&self) -> u64 {
        let gap = |ids: &BTreeSet<u64>| match (ids.first(), ids.last()) {
            (Some(first), Some(last)) => last - first + 1 - ids.len() as u64,
            _ => 0,
        };
        self.seen.values().map(gap).sum()
    }
}

/// The summary of the requests or attempts of one kind.
#[derive(Debug)]
struct KindSummary {
    /// Counts by outcome; a sampled request counts as many times as it represents.
    outcomes: BTreeMap<String, u64>,
    attempts: u64,
    late: u64,
    units: f64,
    total: Histogram<u64>,
    held: Histogram<u64>,
}

/// Creates a histogram of times from 1 us to one hour, with three significant digits.
fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).ok()
}

/// The key by which requests or attempts are summarized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum GroupBy {
    Volume,
    Plan,
    Class,
    Outcome,
    /// Attempts, by node.
    Node,
    /// Attempts, by result.
    Ending,
    /// Attempts, by the reason for which they were made.
    Why,
}

impl GroupBy {
    /// Returns the name of the event parameter.
    fn name(self) -> &'static str {
        match self {
            GroupBy::Volume => "volume",
            GroupBy::Plan => "plan",
            GroupBy::Class => "class",
            GroupBy::Outcome => "outcome",
            GroupBy::Node => "node",
            GroupBy::Ending => "ending",
            GroupBy::Why => "why",
        }
    }

    /// Whether attempts are summarized instead of requests.
    fn of_attempts(self) -> bool {
        matches!(self, GroupBy::Node | GroupBy::Ending | GroupBy::Why)
    }
}

/// The summaries of requests or attempts; displayed as a table.
#[derive(Debug)]
pub struct Summaries {
    by: GroupBy,
    kinds: BTreeMap<String, KindSummary>,
}

impl Summaries {
    /// Creates empty summaries.
    pub fn new(by: GroupBy) -> Summaries {
        Summaries { by, kinds: BTreeMap::new() }
    }

    /// Adds a message if it is of the summarized event.
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
                let empty =
                    KindSummary { outcomes: BTreeMap::new(), attempts: 0, late: 0, units: 0.0, total, held };
                self.kinds.entry(kind).or_insert(empty)
            }),
        }) else {
            return;
        };
        // A logged request may represent several.
        let represented = number("one_in").max(1);
        let outcome = get(if self.by.of_attempts() { "ending" } else { "outcome" });
        *sum.outcomes.entry(outcome.to_string()).or_default() += represented;
        sum.attempts += number("attempts") * represented;
        sum.late += u64::from(get("late") == "yes") * represented;
        sum.units += get("units").parse::<f64>().unwrap_or(0.0) * represented as f64;
        let (held, out) = if self.by.of_attempts() {
            (0, number("took_us"))
        } else {
            (number("held_us"), number("out_us"))
        };
        // Values outside the bounds of the histogram are saturated.
        sum.total.saturating_record_n((held + out).max(1), represented);
        sum.held.saturating_record_n(held.max(1), represented);
    }
}

impl fmt::Display for Summaries {
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
            let KindSummary { total, held, late, .. } = sum;
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

/// Formats a message about a request or an attempt as a line; `None` for other messages.
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

/// Whether a message is at least as severe as `least`.
pub fn at_least_as_severe(message: &Message, least: Severity) -> bool {
    message.severity <= least
}

#[cfg(test)]
mod tests;
