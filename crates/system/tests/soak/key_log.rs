//! When the configuration held the clients' key, as its operator knows it.

use crate::contact::CONTACT;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// `config_apply_ms` of the settings.
const APPLY: Duration = Duration::from_millis(2_000);

/// Whether the configuration holds the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    Held,
    TakenAway,
}

/// A change of the key's state.
struct KeyChange {
    state: KeyState,
    sent_at: Instant,
    /// `None`: not confirmed yet.
    confirmed_at: Option<Instant>,
}

/// The changes so far. The key is held at first.
#[derive(Default)]
pub struct KeyLog(Mutex<Vec<KeyChange>>);

impl KeyLog {
    /// A change is about to be sent.
    pub fn sends(&self, state: KeyState) {
        self.0.lock().unwrap().push(KeyChange { state, sent_at: Instant::now(), confirmed_at: None });
    }

    /// The last change was confirmed.
    pub fn confirmed(&self) {
        if let Some(last) = self.0.lock().unwrap().last_mut() {
            last.confirmed_at = Some(Instant::now());
        }
    }

    /// The only state that an edge in touch may go by for a request that was sent and answered at these times. `None`: it
    /// may go by either.
    pub fn state_between(&self, sent_at: Instant, answered_at: Instant) -> Option<KeyState> {
        let changes = self.0.lock().unwrap();
        let Some(last) = changes.iter().rev().find(|change| change.sent_at <= answered_at) else {
            return Some(KeyState::Held);
        };
        let in_force_at = last.confirmed_at? + APPLY + CONTACT;
        (in_force_at <= sent_at).then_some(last.state)
    }
}
