//! Reload of the configuration on SIGHUP.

use pathbank::classes::{Directory, Numbers};
use pathbank::config::Config;
use pathbank::config::syslog::Log;
use pathbank::core::{Handle, Input};
use pathbank::event;
use pathbank::logging::Logging;
use pathbank::net::lifecycle::Lifecycle;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// What a running process can change: its settings, the address of discovery, and the collectors of its log with their
/// certificates. Everything else takes effect at the next start.
pub struct Reload {
    /// The configuration of the start.
    pub running: Arc<Config>,
    /// Numbers of classes and plans, which never change their meaning.
    pub numbers: Numbers,
    /// Publishes names of classes and plans to the fronts.
    pub names: watch::Sender<Arc<Directory>>,
    /// Publishes the address of discovery.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// The log.
    pub logging: Arc<Logging>,
    /// The core.
    pub handle: Handle,
    /// The process's lifecycle, which follows the longest deadline.
    pub lifecycle: Lifecycle,
}

impl Reload {
    /// Reads the files again at each signal. Signals that arrive meanwhile count as one.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            // Both files or neither.
            let read = self.running.again().and_then(|config| {
                let log = Log::from_environment(&config.names, config.memory, config.syslog)?;
                Ok((config, log))
            });
            self.handle.metrics().loaded(read.is_ok());
            match read {
                Ok((config, log)) => self.apply(&config, log),
                Err(problem) => event!(RELOAD_FAILED, problem:%),
            }
        }
    }

    fn apply(&mut self, config: &Config, log: Log) {
        self.logging.reload(log);
        let classes = config.names.classes.join(" ");
        event!(RELOADED, discovery:% = config.discovery, classes);
        let (settings, directory) = self.numbers.adopt(&config.names, &config.settings);
        let names = self.numbers.rule_names();
        // The core has to know a number before a front sends it.
        self.handle.send(Input::Settings { settings: Box::new(settings), names });
        self.names.send_replace(Arc::new(directory));
        self.lifecycle.set_longest(config.longest_deadline());
        self.discovery_address
            .send_if_modified(|current| std::mem::replace(current, config.discovery) != config.discovery);
    }
}
