//! Handling of SIGTERM and SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A request that the platform makes by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM: shut down gracefully.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// A listener for SIGTERM and SIGHUP.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens for signals from now on.
    ///
    /// # Errors
    ///
    /// The handlers cannot be registered.
    pub fn new() -> std::io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}
