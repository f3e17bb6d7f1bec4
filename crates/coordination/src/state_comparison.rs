//! Comparison of the state machines of a group. Replicas that apply the same log reach the same state. A
//! replica may differ because its memory was damaged or because its program applies a command differently. To
//! find it, all replicas compute a digest of their state at the same index.
//!
//! The leader chooses an index that it has not applied yet, or has just applied. Each replica computes its
//! digest when that entry is the last one it has applied, and sends the digest to all others; each replica
//! then decides whether its own state differs. Digests of different formats are never compared: programs of
//! two versions may store the same state in different forms.

use crate::types::{Index, Membership, StoreId, Term};
use std::collections::BTreeMap;
use std::fmt;

/// Identifies a comparison. A comparison with a greater id replaces one with a smaller id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ComparisonId {
    /// The term of the leader that requested the comparison.
    pub term: Term,
    /// The number of the comparison in that term, from 1.
    pub number: u64,
}

/// A leader's request for the digests of all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ComparisonRequest {
    /// The comparison.
    pub id: ComparisonId,
    /// The index of the entry after which the digest is computed.
    pub index: Index,
}

/// The digest of a replica's state machine.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct StateDigest {
    /// The version of the encoding that the digest covers.
    pub format: u32,
    /// The first 128 bits of a SHA-256.
    pub digest: u128,
}

impl fmt::Debug for StateDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x} of format {}", self.digest, self.format)
    }
}

/// A replica's answer to a [`ComparisonRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ComparisonReport {
    /// The replica.
    pub store: StoreId,
    /// The request that the report answers.
    pub request: ComparisonRequest,
    /// The digest of the replica's state.
    pub state: StateDigest,
}

/// The result of a comparison for one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough replicas of the same format have reported.
    Undecided,
    /// A majority has the same state as this replica.
    Agrees,
    /// A majority has a different state, with this digest.
    Differs(u128),
    /// The states differ, and no state can be that of a majority.
    NoMajority,
}

/// The comparison in progress, as one replica sees it.
///
/// ```
/// use pathbank_coordination::state_comparison::*;
/// use pathbank_coordination::types::{Member, Membership, StoreId};
///
/// let no_text = String::new;
/// let member =
///     |id| Member { id: StoreId(id), name: no_text(), address: no_text(), control_address: no_text() };
/// let group = Membership::of(vec![member(1), member(2), member(3)]);
/// let request = ComparisonRequest { id: ComparisonId { term: 1, number: 1 }, index: 9 };
/// let mut comparison = StateComparison::default();
/// for (store, digest) in [(1, 70), (2, 71), (3, 71)] {
///     let state = StateDigest { format: 1, digest };
///     comparison.record(ComparisonReport { store: StoreId(store), request, state });
/// }
/// assert_eq!(comparison.verdict(StoreId(1), &group), Verdict::Differs(71));
/// assert_eq!(comparison.verdict(StoreId(2), &group), Verdict::Agrees);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StateComparison {
    request: Option<ComparisonRequest>,
    reports: BTreeMap<StoreId, StateDigest>,
    /// Whether [`StateComparison::take_due`] has returned the request.
    own_requested: bool,
}

impl StateComparison {
    /// The request of the newest comparison; `None` if there was none yet.
    pub fn request(&self) -> Option<ComparisonRequest> {
        self.request
    }

    /// The id of the next comparison that the leader of `term` requests.
    pub fn next_id(&self, term: Term) -> ComparisonId {
        let last = self.request.map(|request| request.id).filter(|id| id.term == term);
        ComparisonId { term, number: last.map_or(0, |id| id.number) + 1 }
    }

    /// Begins the requested comparison, unless it is older than or the same as the one in progress.
    pub fn begin(&mut self, request: ComparisonRequest) {
        if self.request.is_none_or(|known| known.id < request.id) {
            *self = StateComparison { request: Some(request), ..StateComparison::default() };
        }
    }

    /// The request, if this replica's digest has to be computed now because `applied` is the requested index.
    /// Returns each request only once.
    pub fn take_due(&mut self, applied: Index) -> Option<ComparisonRequest> {
        let due = self.request.filter(|request| request.index == applied && !self.own_requested)?;
        self.own_requested = true;
        Some(due)
    }

    /// Records a report of this or another replica. A report may arrive before the request and then begins
    /// the comparison.
    pub fn record(&mut self, report: ComparisonReport) {
        self.begin(report.request);
        if self.request == Some(report.request) {
            self.reports.insert(report.store, report.state);
        }
    }

    /// The verdict on the replica `me` by the reports received so far.
    pub fn verdict(&self, me: StoreId, membership: &Membership) -> Verdict {
        let Some(own) = self.reports.get(&me) else { return Verdict::Undecided };
        let has = |id: StoreId, digest: u128| {
            self.reports.get(&id).is_some_and(|state| state.format == own.format && state.digest == digest)
        };
        let comparable = self.reports.values().filter(|state| state.format == own.format);
        let digests: Vec<u128> = comparable.map(|state| state.digest).collect();
        let majority = digests.iter().find(|digest| membership.has_quorum(|id| has(id, **digest)));
        if let Some(majority) = majority {
            return if *majority == own.digest { Verdict::Agrees } else { Verdict::Differs(*majority) };
        }
        // Voters that have not reported, or that reported another format, may still make up a majority. A
        // store that has not joined yet knows no voters.
        let may_decide = |digest: Option<u128>| {
            membership.has_quorum(|id| {
                self.reports.get(&id).is_none_or(|state| {
                    digest.is_some_and(|digest| has(id, digest)) || state.format != own.format
                })
            })
        };
        let is_open = may_decide(None) || digests.iter().any(|digest| may_decide(Some(*digest)));
        match is_open || membership.members().next().is_none() {
            true => Verdict::Undecided,
            false => Verdict::NoMajority,
        }
    }
}
