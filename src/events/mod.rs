//! The catalogue of events, each with its MSGID, its severity and the structured data that it always carries.
//! Code logs an event with `event!`, which uses the log crate; `docs/operators/events.md` is generated from
//! the catalogue.

pub mod pressure;
pub mod requests;

use crate::syslog::Severity;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::OnceLock;

/// Prefix of the targets of log records that are events; the rest of the target is the MSGID.
pub const TARGET: &str = "pathbank::event::";

/// An event of the catalogue.
#[derive(Debug, PartialEq, Eq)]
pub struct Entry {
    /// The MSGID.
    pub id: &'static str,
    /// The target of its log records.
    pub target: &'static str,
    /// The SD-ID of the element with its parameters.
    pub element: &'static str,
    pub severity: Severity,
    /// What it means.
    pub about: &'static str,
    /// Names and meanings of its parameters, in order.
    pub parameters: &'static [(&'static str, &'static str)],
    /// It also carries the sender and the quality of its clock (`origin`, `timeQuality`).
    pub identity: bool,
}

impl Entry {
    /// The level of the log crate by which the event is filtered.
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
        $(#[doc = $about]
        pub const $name: Entry = Entry {
            id: stringify!($name),
            target: concat!("pathbank::event::", stringify!($name)),
            element: concat!($element, "@32473"),
            severity: Severity::$severity,
            about: $about,
            parameters: &[$(($parameter, $meaning)),*],
            identity: $identity,
        };)*
        /// All events, in the order of the catalogue.
        pub const ALL: &[&Entry] = &[$(&$name),*];
    };
}

catalogue! {
    UP "head" Notice true "The host accepts requests." {
        "name": "the host's name", "listen": "the address for clients"
    }
    FILES_UP "head" Notice false "The SFTP front accepts connections." {
        "listen": "the address for clients"
    }
    GRPC_UP "head" Notice false "The gRPC front accepts connections." {
        "listen": "the address for clients", "calls": "maximum number of concurrent calls",
        "channels": "maximum number of connections to nodes"
    }
    RELOADED "head" Notice true "The configuration was reloaded." {
        "discovery": "the address of discovery", "classes": "the names of the classes in force"
    }
    RELOAD_FAILED "head" Warning false "A configuration could not be read; the previous one stays in force." {
        "problem": "what is wrong with the configuration"
    }
    DRAIN "head" Notice true "An operator started or ended a drain." {
        "on": "yes: started; no: ended"
    }
    TWIN "head" Notice true "Another process of this host started or ended. While both run, each uses half of the limits." {
        "here": "yes: the other process runs; no: it has ended"
    }
    NO_TWINS "head" Warning false "The host cannot look for another process of its own: this process uses half of the limits." {
        "folder": "the folder of the processes' files"
    }
    IDS_UNWRITTEN "head" Warning false "Request ids cannot be written for the other process of an upgrade, which will not recognize them." {
        "problem": "the cause"
    }
    TALK "head" Notice false "The host receives datagrams from its peers." {
        "listen": "the address for datagrams", "peers": "the number of peers from which it accepts them"
    }
    TALK_OFF "head" Warning false "The host cannot receive datagrams from its peers and continues without them." {
        "listen": "the address for datagrams", "problem": "the cause"
    }
    FLEET "fleet" Notice false "The host takes part in fleet membership." {
        "own": "the host's number", "heads": "the number of hosts", "period_ms": "the interval at which each host probes another one, milliseconds"
    }
    FLEET_OFF "fleet" Warning false "The host cannot take part in fleet membership and continues without it." {
        "problem": "the cause"
    }
    MEMBER "fleet" Notice false "The membership state of a host changed." {
        "member": "the member's number", "state": "joining, alive, dead or left", "was": "the state before", "start": "the member's start time, in seconds of its clock", "spoke_up": "how often the member has refuted a suspicion", "why": "heard: a message from it arrived; silent: it was suspect for too long; told-by-N: host N reported it"
    }
    DOUBT "fleet" Informational false "A host does not answer; it will be declared dead unless it refutes the suspicion." {
        "member": "the member's number", "start": "the member's start time, in seconds of its clock", "spoke_up": "how often the member has refuted a suspicion", "why": "unanswered: it answered neither this host nor others; told-by-N: host N reported it"
    }
    PEERS "head" Notice true "Datagrams were rejected in the last minute." {
        "sent": "messages sent so far", "heard": "messages accepted", "strangers": "rejected: the sender is not on the list",
        "malformed": "rejected: empty or over 256 bytes", "too_many": "rejected: over the rate limit of one host"
    }
    AGREE "agree" Notice true "The host acts by the agreed documents." {
        "cluster": "the cluster's name", "listen": "the address for voters and hosts, or none", "voter": "this voter's number, or none"
    }
    READING "agree" Notice true "The revision or the lease by which the host acts changed." {
        "level": "held (both leases run), loose (only the long lease runs) or bottom (neither runs: nothing is sent)",
        "was": "the level before", "revised": "yes: the documents changed", "read": "the last entry that the host knows",
        "prepared": "the last edit for which the host is prepared", "active": "the last edit in force",
        "ignored": "fields of the documents that the host does not recognize"
    }
    LEADER "agree" Notice true "The leader that a voter knows changed." {
        "leader": "the leader's number, or none", "term": "the leader's term", "commit": "the last committed entry", "own": "yes: this voter is the leader"
    }
    REVISION "agree" Notice true "An edit that this voter knows came into force, with all edits before it." {
        "entry": "the edit's entry", "commit": "the last committed entry", "digest": "the digest of all entries up to that one", "at_us": "Unix time, microseconds"
    }
    VOTER_ILL "agree" Error false "The voter's disk is unusable: until it is usable, the voter grants no votes and no leases." {
        "problem": "what is wrong with the disk"
    }
    VOTER_BACK "agree" Notice false "The voter's disk is usable." {
        "voter": "the voter's number", "starts": "the number of the voter's starts", "last": "the voter's last entry"
    }
    OLD_DISK "agree" Error false "A voter runs from an older copy of its disk; its messages are ignored." {
        "voter": "the voter's number"
    }
    ARCHIVED "agree" Notice false "Old entries were moved from the voter's disk to its archive." {
        "from": "the first entry", "to": "the last entry"
    }
    ARCHIVE_ILL "agree" Error false "Old entries could not be archived; they stay on the voter's disk until they can." {
        "problem": "the cause"
    }
    LATE_ACT "agree" Warning true "An attempt started too long after the check of the agreed rules." {
        "late_us": "the time between the check and the start, microseconds", "request": "the request's number"
    }
    ACT "agree" Debug false "An attempt started; with the rules that allowed it." {
        "at_us": "Unix time, microseconds", "late_us": "the time since the check of the rules, microseconds", "request": "the request's number", "class": "the number of the request's class",
        "attempt": "the attempt's number, from 0", "attempts": "the maximum number of attempts in the class", "node": "the storage node's id", "level": "as in READING",
        "read": "as in READING", "active": "as in READING", "limits": "the rate limits of the plans, in their order"
    }
    OPS_UP "head" Notice false "The operators' interface accepts connections." {
        "listen": "the address for operators", "callers": "the maximum number of concurrent callers"
    }
    LEAVING "head" Notice true "The host received SIGTERM and finishes its open requests." {
        "open": "the number of open requests"
    }
    CLIENTS "head" Informational false "The counts of a front's connections, logged when the host stops." {
        "taken": "connections accepted", "over_limit": "connections closed because they broke a limit",
        "for_others": "connections closed to make room for others"
    }
    GRPC_COUNTS "head" Informational false "The counts of the gRPC front, logged when the host stops." {
        "calls": "calls", "attempts": "streams to nodes", "opened": "connections opened to nodes",
        "no_room": "calls rejected because too many were open", "offences": "limits that clients broke, by name"
    }
    LEFT "head" Notice true "The host stops." {
        "opened": "connections opened to nodes", "attempts": "attempts", "no_room": "requests rejected because too many were open"
    }
    CORE_ENDED "head" Critical false "The event loop ended unexpectedly; the host stops." {
        "reason": "the cause"
    }
    MODULE_PANIC "head" Critical false "The scheduling policy panicked and was restarted; all open requests failed." {
        "open": "the number of requests that failed"
    }
    HANDLER_PANIC "head" Error false "The handler of a request panicked; the client received an error." {
        "front": "the front's name"
    }
    MEMORY_SHORT "head" Warning false "A share of the memory was exhausted; what would have taken more was refused, or its connection ended. Told at the first refusal of a share, and each time their number has doubled." {
        "share": "the share's name", "limit": "its bytes", "refused": "the number of refusals so far"
    }
    ACCEPT_FAILED "head" Warning false "A connection could not be accepted." {
        "problem": "the operating system's error"
    }
    PRESSURE "head" Notice false "The number of open requests crossed a threshold." {
        "level": "calm, busy or full", "was": "the level before", "open": "the number of open requests",
        "most": "the maximum number of open requests"
    }
    REFUSALS "head" Informational false "The counts of requests by outcome, for a period in which some were not served." {
        "refused": "refused by the policy: a retry is harmless", "failed": "failed: the request may have run", "no_room": "rejected because too many were open",
        "left": "the client left", "served": "served", "period_ms": "the length of the period, milliseconds"
    }
    NO_ANSWER "request" Error false "The policy had not answered a request by its deadline; the request failed." {
        "request": "the request's number"
    }
    ATTEMPT "request" Informational false "An attempt of a request, logged with the request." {
        "request": "the request's number at this host", "volume": "the app store's volume",
        "attempt": "the attempt's number, from 0", "why": "first, another (a retry after the named result), or copy (a hedged request)",
        "node": "the storage node's id", "ending": "the attempt's result", "took_us": "the time from its start to its end, microseconds"
    }
    REQUEST "request" Informational false "A request ended. Requests that were refused, failed, retried or late are always logged, the others are sampled." {
        "request": "the request's number at this host", "volume": "the app store's volume", "plan": "the plan's name", "class": "the class's name",
        "units": "the request's size", "attempts": "the number of attempts", "held_us": "the time from its arrival to its first attempt, microseconds",
        "out_us": "the time from its first attempt to its end, microseconds", "outcome": "served, refused, failed or left",
        "late": "yes: served after the target of its class", "one_in": "how many requests of its kind this one represents"
    }
    NODE "node" Informational false "A node of the node list is new or has changed." {
        "node": "the node's id", "address": "the node's address", "number": "the node's number in the policy",
        "shard": "the shard that the node holds", "state": "Ready, Draining or Gone"
    }
    WATCH "node" Informational false "The watch on the node list is established." {
        "version": "the list's version", "address": "the address of discovery"
    }
    WATCH_MOVES "node" Informational false "The watch on the node list moves to another address." {
        "address": "the address of discovery"
    }
    WATCH_BROKE "node" Warning false "The watch on the node list broke." {
        "version": "the list's version", "reason": "the cause"
    }
    LIST_OVERDUE "node" Warning false "The node list may be out of date for longer than the settings allow: no attempts start." {
        "open": "the number of open requests"
    }
    LIST_RENEWED "node" Notice false "The node list is up to date again." {
        "overdue_ms": "for how long no attempts started, milliseconds"
    }
    CHANNEL_LEAVES "node" Informational false "A node accepts no new streams on a channel; open streams continue." {
        "channel": "the channel's number", "last": "the last stream that the node may have processed"
    }
    CHANNEL_STALLED "node" Warning false "A node does not read what streams on a channel send; new streams use other channels." {
        "channel": "the channel's number"
    }
    FILE_CLIENT_GONE "client" Informational false "An SFTP client left." {
        "reason": "the cause", "handles": "the number of its open files", "in_flight": "the number of its commands without an answer"
    }
    GRPC_CLIENT_GONE "client" Informational false "A gRPC client left." {
        "reason": "the cause", "calls": "the number of its open calls", "refused": "the number of its streams refused over the limit"
    }
    GRPC_CLIENT_CUT "client" Warning false "A gRPC client broke a limit; its connection was closed." {
        "offence": "the limit's name", "so_far": "how often clients have broken this limit so far", "calls": "the number of its open calls"
    }
    DROPPED "log" Warning false "Log lines were dropped for lack of space." {
        "where": "stderr, queue or spool", "msgid": "the MSGIDs of the dropped lines", "count": "the number of dropped lines", "from": "the time of the first one",
        "until": "the time of the last one"
    }
    COLLECTOR "log" Notice false "The connection to a collector was established or lost." {
        "collector": "the collector's position in the order, from 0", "address": "the collector's address", "state": "up, down or failed",
        "reason": "the cause", "given_up": "the number of lines that may be lost"
    }
    SPOOL "log" Error false "The spool on disk is not fully usable." {
        "problem": "what is wrong with the spool", "lines": "the number of lines that it holds"
    }
}

/// Returns the entry of a log record's target.
pub fn entry(target: &str) -> Option<&'static Entry> {
    static BY_ID: OnceLock<HashMap<&str, &Entry>> = OnceLock::new();
    let id = target.strip_prefix(TARGET)?;
    BY_ID.get_or_init(|| ALL.iter().map(|entry| (entry.id, *entry)).collect()).get(id).copied()
}

/// Logs an event of the catalogue, with all of its parameters as key-values of the log crate.
#[macro_export]
macro_rules! event {
    ($entry:ident, $($pairs:tt)+) => {
        ::log::log!(target: $crate::events::$entry.target, $crate::events::$entry.level(), $($pairs)+; "")
    };
}

/// Returns the text of `docs/operators/events.md`.
pub fn page() -> String {
    let mut page = String::from(
        "# Events\n\nGenerated from the catalogue in `src/events/mod.rs` by `pathbank-log events`; a test checks it. \
         Each line is an RFC 5424\nmessage with the MSGID and severity below, one element of its own with all the \
         parameters named, and `meta` with\n`sequenceId`. Events marked * also carry `origin` and `timeQuality`. \
         Where values were truncated, `cut` is\nthe number of them. Lines without an entry here have the MSGID `-`, the \
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
