//! Counts what model servers sent instead of answers, for operators.

use pathbank_router::answer::AnswerError;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// The number of errors in model servers' answers, by the error's name.
#[derive(Debug, Default)]
pub struct AnswerErrorCounts(Mutex<BTreeMap<&'static str, u64>>);

impl AnswerErrorCounts {
    /// Counts one error.
    pub fn record(&self, error: AnswerError) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry(error.name()).or_default() += 1;
    }

    /// All counts since the start of the process.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
