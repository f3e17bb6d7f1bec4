//! Graceful shutdown after SIGTERM.

use pathbank::core::{Handle, Input};
use pathbank::event;
use pathbank::net::lifecycle::Lifecycle;
use pathbank::net::slots::Slots;
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep_until, timeout_at};

/// Time for the last bytes of answers to leave.
const LAST_BYTES: Duration = Duration::from_millis(80);

/// Serves on as the lifecycle allows until no client is connected, or until the last answers are due: then what is still open
/// fails. `shared`: the listening socket is shared with another process of this host.
pub async fn drain(
    lifecycle: &Lifecycle,
    shared: bool,
    fronts: Vec<JoinHandle<()>>,
    handle: &Handle,
    slots: &[Slots],
) {
    event!(LEAVING, open = handle.open());
    lifecycle.end(shared);
    let Some(last) = lifecycle.final_answers_at() else { return };
    // Each connection holds a slot: when none is accepted any more and no slot is held, all answers have left.
    let disconnected = async {
        for front in fronts {
            let _ = front.await; // one that panicked accepts nothing either
        }
        for slots in slots {
            slots.empty().await;
        }
    };
    if timeout_at(last, disconnected).await.is_err() {
        handle.send(Input::Finish);
        sleep_until(last + LAST_BYTES).await;
    }
}
