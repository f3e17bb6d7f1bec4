//! The versions that an answer names: one in its headers, and one in an event at each change.

use crate::Version;
use serde::{Deserialize, Serialize};

/// The versions that an answer names, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTrail {
    /// The version in its headers; `None`: they name none.
    #[serde(rename = "head")]
    header_version: Option<Version>,
    /// Versions in events, where they differ from the one before.
    changes: Vec<Version>,
    /// The answer is complete.
    complete: bool,
}

impl VersionTrail {
    /// An answer whose headers name this version.
    pub fn begin(header_version: Option<Version>) -> VersionTrail {
        VersionTrail { header_version, ..VersionTrail::default() }
    }

    /// Records the version that an event names.
    pub fn record_event(&mut self, version: Version) {
        let last = self.changes.last().copied().or(self.header_version);
        if last != Some(version) {
            self.changes.push(version);
        }
    }

    /// Marks the answer as complete.
    pub fn finish(&mut self) {
        self.complete = true;
    }

    /// The one version that generated the complete answer; `None`: the answer does not show that. An answer whose headers
    /// name no version shows nothing, whatever its events name.
    ///
    /// ```
    /// use pathbank_rollout::evidence::VersionTrail;
    ///
    /// let mut trail = VersionTrail::begin(Some(4));
    /// assert_eq!(trail.single(), None, "not complete yet");
    /// trail.finish();
    /// assert_eq!(trail.single(), Some(4));
    /// trail.record_event(5);
    /// assert_eq!(trail.single(), None, "the version changed");
    /// ```
    pub fn single(&self) -> Option<Version> {
        self.header_version.filter(|_| self.complete && self.changes.is_empty())
    }
}
