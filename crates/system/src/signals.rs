//! SIGTERM and SIGHUP.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What the platform asks of a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Stop, in order.
    Stop,
    /// The settings file has changed.
    Reload,
}

/// The signals that are listened for.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens from now on.
    pub fn new() -> std::io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }

    /// The next signal.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}
