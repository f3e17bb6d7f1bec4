//! The catalogue of events: each with its MSGID, severity and the structured data that it always carries. Code tells
//! one by `event!`, which goes through the log crate; `docs/operators/events.md` is made from here.

pub mod pressure;
pub mod requests;

use crate::syslog::Severity;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::OnceLock;

/// Log records with such a target are events; the rest of it is the MSGID.
pub const TARGET: &str = "pathbank::event::";

#[derive(Debug, PartialEq, Eq)]
pub struct Entry {
    pub id: &'static str,
    pub target: &'static str,
    /// The SD-ID of its own element.
    pub element: &'static str,
    pub severity: Severity,
    pub about: &'static str,
    /// Names and meanings, in order.
    pub parameters: &'static [(&'static str, &'static str)],
    /// It also says who speaks and how good its clock is (`origin`, `timeQuality`).
    pub identity: bool,
}

impl Entry {
    /// The log crate's level, by which an event is let through or not.
    pub const fn level(&self) -> log::Level {
        match self.severity {
            Severity::Emergency | Severity::Alert | Severity::Critical | Severity::Error => log::Level::Error,
            Severity::Warning => log::Level::Warn,
            Severity::Notice | Severity::Informational => log::Level::Info,
            Severity::Debug => log::Level::Debug,
        }
    }
}

macro_rules! catalogue {
    ($($name:ident $element:literal $severity:ident $identity:literal $about:literal
        { $($parameter:literal: $meaning:literal),* $(,)? })*) => {
        $(pub const $name: Entry = Entry {
            id: stringify!($name),
            target: concat!("pathbank::event::", stringify!($name)),
            element: concat!($element, "@32473"),
            severity: Severity::$severity,
            about: $about,
            parameters: &[$(($parameter, $meaning)),*],
            identity: $identity,
        };)*
        pub const ALL: &[&Entry] = &[$(&$name),*];
    };
}

catalogue! {
    UP "head" Notice true "The head serves." {
        "name": "its name", "listen": "where clients connect"
    }
    FILES_UP "head" Notice false "The front for file commands serves." {
        "listen": "where clients connect"
    }
    GRPC_UP "head" Notice false "The front for gRPC serves." {
        "listen": "where clients connect", "calls": "calls at once at most",
        "channels": "connections to nodes at most"
    }
    RELOADED "head" Notice true "The configuration was read again." {
        "discovery": "where the list of nodes is asked for", "classes": "the classes in force, by name"
    }
    RELOAD_FAILED "head" Warning false "A configuration could not be read; the old one stays in force." {
        "problem": "what is wrong with it"
    }
    DRAIN "head" Notice true "An operator's drain began or is over." {
        "on": "yes or no"
    }
    TWIN "head" Notice true "Another process of this head lives, and each keeps to half; or this one is alone again." {
        "here": "yes or no"
    }
    NO_TWINS "head" Warning false "Another process of this head cannot be looked for: this one keeps to half." {
        "folder": "where their files should be"
    }
    IDS_UNWRITTEN "head" Warning false "Ids cannot be written down for the other process of an upgrade: it will not know them." {
        "problem": "why"
    }
    TALK "head" Notice false "Datagrams of other heads are heard." {
        "listen": "where they come", "peers": "heads that are listened to"
    }
    TALK_OFF "head" Warning false "Datagrams of other heads cannot be heard: the head goes on without." {
        "listen": "where they should come", "problem": "why"
    }
    FLEET "fleet" Notice false "This head takes part in the view of the fleet that the heads keep." {
        "own": "its place among the heads", "heads": "how many there are", "period_ms": "each asks one other so often"
    }
    FLEET_OFF "fleet" Warning false "This head cannot take part in the view of the fleet: it goes on without." {
        "problem": "why"
    }
    MEMBER "fleet" Notice false "What is thought of a head has changed." {
        "member": "its place among the heads", "state": "joining, alive, dead or left", "was": "what it was thought to be", "start": "its start, in seconds of its clock", "spoke_up": "how often it has spoken up against a verdict", "why": "heard: it spoke; silent: it was suspect for too long; told-by-N: head N says so"
    }
    DOUBT "fleet" Informational false "A head does not answer; unless it speaks up it will be thought dead." {
        "member": "its place among the heads", "start": "its start, in seconds of its clock", "spoke_up": "how often it has spoken up against a verdict", "why": "unanswered: this head and others asked it in vain; told-by-N: head N says so"
    }
    PEERS "head" Notice true "Datagrams were turned away since the last minute." {
        "sent": "messages sent, so far", "heard": "passed on", "strangers": "from nobody of the list",
        "malformed": "empty or over 256 bytes", "too_many": "beyond what one head may say"
    }
    AGREE "agree" Notice true "The head acts by what the heads agree on." {
        "cluster": "whose heads", "listen": "where other voters and heads ask, or none", "voter": "this voter's number, or none"
    }
    READING "agree" Notice true "What the head acts on has changed: another revision, or another lease." {
        "level": "held (both leases run), loose (the long one does) or bottom (neither does: nothing is sent)",
        "was": "the level before", "revised": "yes: the documents say something else", "read": "the last entry known",
        "prepared": "the last edit prepared for", "active": "the last edit in force",
        "ignored": "fields of documents that mean nothing to this head"
    }
    LEADER "agree" Notice true "A voter sees another leader, or none." {
        "leader": "its number, or none", "term": "its term", "commit": "the last entry that counts", "own": "yes: it is this voter"
    }
    REVISION "agree" Notice true "An edit that this voter knows of came into force, and all before it." {
        "entry": "its entry", "commit": "the last entry that counts", "digest": "of all up to that", "at_us": "Unix microseconds"
    }
    VOTER_ILL "agree" Error false "The voter's disk cannot be used: it votes and grants nothing until it can." {
        "problem": "what is wrong with it"
    }
    VOTER_BACK "agree" Notice false "The voter's disk can be used." {
        "voter": "its number", "starts": "how often it was started", "last": "its last entry"
    }
    OLD_DISK "agree" Error false "A voter spoke from an older copy of its disk, and is not heard." {
        "voter": "its number"
    }
    ARCHIVED "agree" Notice false "Old entries left the voter's disk for its archive." {
        "from": "the first of them", "to": "the last"
    }
    ARCHIVE_ILL "agree" Error false "Old entries could not leave the voter's disk; they stay there until they can." {
        "problem": "what is wrong"
    }
    LATE_ACT "agree" Warning true "An attempt started long after the look at what the heads agree on." {
        "late_us": "how long", "request": "the request"
    }
    ACT "agree" Debug false "An attempt started, and by which rules." {
        "at_us": "Unix microseconds", "late_us": "since the look at the rules", "request": "the request", "class": "its class's number",
        "attempt": "its number, from 0", "attempts": "as many as its class may have", "node": "the store node", "level": "as in READING",
        "read": "as in READING", "active": "as in READING", "limits": "the plans' limits, in their order"
    }
    OPS_UP "head" Notice false "The operators' line is open." {
        "listen": "where operators call", "callers": "callers at once at most"
    }
    LEAVING "head" Notice true "SIGTERM came; the head finishes what it has." {
        "open": "requests that are open"
    }
    CLIENTS "head" Informational false "A front's connections, told at the end." {
        "taken": "connections", "over_limit": "told to go over a limit",
        "for_others": "told to go because another wanted the place"
    }
    GRPC_COUNTS "head" Informational false "The gRPC front's counts, told at the end." {
        "calls": "calls", "attempts": "streams at nodes", "opened": "connections to nodes",
        "no_room": "calls turned away for want of room", "offences": "bounds that clients broke, by name"
    }
    LEFT "head" Notice true "The head ends." {
        "opened": "connections to nodes", "attempts": "attempts", "no_room": "requests turned away for want of room"
    }
    CORE_ENDED "head" Critical false "The core's task ended; the head ends with it." {
        "reason": "why"
    }
    MODULE_PANIC "head" Critical false "The decision module panicked and starts anew; what it held has failed." {
        "open": "requests that have failed by it"
    }
    HANDLER_PANIC "head" Error false "A request's handler panicked; its client got a failure." {
        "front": "which front"
    }
    ACCEPT_FAILED "head" Warning false "A connection could not be accepted." {
        "problem": "the system's word"
    }
    PRESSURE "head" Notice false "The part of the places for requests that is taken went over or under a bound." {
        "level": "calm, busy or full", "was": "the level before", "open": "requests that are open",
        "most": "as many as may be"
    }
    REFUSALS "head" Informational false "Requests that were not served, by cause, in a period with any." {
        "refused": "by the module: repeating is harmless", "failed": "no promise", "no_room": "too many were open",
        "left": "their clients went", "served": "and those that were served", "period_ms": "the period"
    }
    NO_ANSWER "request" Error false "The module had no answer by a request's deadline; it has failed." {
        "request": "the request"
    }
    ATTEMPT "request" Informational false "An attempt to carry a request out, told with its request." {
        "request": "the request's number at this head", "volume": "the app store",
        "attempt": "its number, from 0", "why": "first, another (after the ending named), or copy (while one is out)",
        "node": "the store node", "ending": "how it ended", "took_us": "from its start to its end"
    }
    REQUEST "request" Informational false "A request's end: each that was refused, failed, tried again or late, and of those served one in as many as is set." {
        "request": "its number at this head", "volume": "the app store", "plan": "its plan", "class": "its class",
        "units": "its size", "attempts": "attempts made", "held_us": "from its arrival to its first attempt",
        "out_us": "from its first attempt to its end", "outcome": "served, refused, failed or left",
        "late": "yes: after its class's target", "one_in": "how many of its kind it stands for"
    }
    NODE "node" Informational false "A node on the list is new or has changed." {
        "node": "its id", "address": "where it listens", "number": "its number in the module",
        "shard": "the shard that it holds", "state": "Ready, Draining or Gone"
    }
    WATCH "node" Informational false "The watch on the list of nodes stands." {
        "version": "the list's version", "address": "discovery"
    }
    WATCH_MOVES "node" Informational false "The watch moves to another address." {
        "address": "discovery"
    }
    WATCH_BROKE "node" Warning false "The watch on the list of nodes broke." {
        "version": "the list's version", "reason": "why"
    }
    LIST_OVERDUE "node" Warning false "The list of nodes may be out of date for longer than the settings allow: no node gets new work." {
        "open": "requests that are open"
    }
    LIST_RENEWED "node" Notice false "The list of nodes is good again." {
        "overdue_ms": "for how long no node got new work, milliseconds"
    }
    CHANNEL_LEAVES "node" Informational false "A node takes no new streams on a channel; those that run go on." {
        "channel": "the channel's number", "last": "the last stream that the node may have looked at"
    }
    CHANNEL_STALLED "node" Warning false "A node does not read what streams on a channel send; others go elsewhere." {
        "channel": "the channel's number"
    }
    FILE_CLIENT_GONE "client" Informational false "A client of file commands has gone." {
        "reason": "why", "handles": "files it had open", "in_flight": "commands without an answer"
    }
    GRPC_CLIENT_GONE "client" Informational false "A gRPC client has gone." {
        "reason": "why", "calls": "calls without an end", "refused": "streams turned away over its bound"
    }
    GRPC_CLIENT_CUT "client" Warning false "A gRPC client broke a bound; its connection is cut off." {
        "offence": "which bound", "so_far": "how often any client did so", "calls": "its calls without an end"
    }
    DROPPED "log" Warning false "Lines were dropped for want of room." {
        "where": "stderr, queue or spool", "msgid": "which events", "count": "how many", "from": "the first one's time",
        "until": "the last one's"
    }
    COLLECTOR "log" Notice false "A collector of these lines was reached, or is gone." {
        "collector": "its place in the order, from 0", "address": "where it listens", "state": "up, down or failed",
        "reason": "why", "given_up": "lines that may be lost"
    }
    SPOOL "log" Error false "The spool on disk cannot be used as it should." {
        "problem": "what is wrong", "lines": "lines that wait in it"
    }
}

/// The entry of a log record's target.
pub fn entry(target: &str) -> Option<&'static Entry> {
    static BY_ID: OnceLock<HashMap<&str, &Entry>> = OnceLock::new();
    let id = target.strip_prefix(TARGET)?;
    BY_ID.get_or_init(|| ALL.iter().map(|entry| (entry.id, *entry)).collect()).get(id).copied()
}

/// Tells an event of the catalogue, with all of its parameters as the log crate's key-values.
#[macro_export]
macro_rules! event {
    ($entry:ident, $($pairs:tt)+) => {
        ::log::log!(target: $crate::events::$entry.target, $crate::events::$entry.level(), $($pairs)+; "")
    };
}

/// `docs/operators/events.md`.
pub fn page() -> String {
    let mut page = String::from(
        "# Events\n\nMade from the catalogue in `src/events/mod.rs` by `pathbank-log events`; a test holds it to that. \
         Each line is an RFC 5424\nmessage with the MSGID and severity below, one element of its own with all the \
         parameters named, and `meta` with\n`sequenceId`. Events marked * also carry `origin` and `timeQuality`. \
         Where a value was cut, the element says how many by\n`cut`. Lines with no entry here have the MSGID `-`, the \
         element `pathbank@32473` and a text.\n",
    );
    for entry in ALL {
        let star = if entry.identity { " *" } else { "" };
        let _ = write!(
            page,
            "\n## {}{star}\n\n{} Severity {}, element `{}`.\n\n| parameter | meaning |\n| --- | --- |\n",
            entry.id,
            entry.about,
            entry.severity.name(),
            entry.element
        );
        for (name, meaning) in entry.parameters {
            let _ = writeln!(page, "| `{name}` | {meaning} |");
        }
    }
    page
}

#[cfg(test)]
mod tests;
