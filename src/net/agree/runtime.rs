//! Starts the thread of the agreement. It has its own runtime for this process's leases and its voter, if there is one,
//! so that no client's request waits for the database.

use super::call::Caller;
use super::lease_renewal::LeaseRenewal;
use super::voter_service::VoterService;
use crate::agree::lease_holder::LeaseView;
use crate::agree::{HolderId, Micros};
use crate::clock::LeaseClock;
use crate::config::agree::Agreement;
use crate::core::Handle;
use crate::event;
use pathbank_memory::share::MemoryShare;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const THREAD_NAME: &str = "agree";
/// The position of the process id in a holder's start number, so that two processes that start in the same microsecond
/// differ.
const PROCESS_ID_SHIFT: u32 = 44;

/// Starts the thread. Returns the view on which this process acts, which the thread keeps current; `handle` gets
/// `Input::AgreementChanged` when the view changes. Calls to the voter take their memory of `voter_memory`.
///
/// # Errors
///
/// The runtime or the thread cannot be created. A voter that cannot listen or open its database is not an error: it
/// retries while the process serves, since an earlier process of this host may hold both until it ends.
pub fn start(
    config: Agreement,
    process: &str,
    handle: Handle,
    pace: LeaseClock,
    voter_memory: MemoryShare,
) -> io::Result<Arc<Mutex<LeaseView>>> {
    let caller = Caller::new(&config.cluster);
    let renewal = LeaseRenewal::new(holder_id(process), config.clone(), caller.clone(), pace, handle);
    let view = renewal.view();
    let voter = VoterService::new(config.clone(), caller, pace, voter_memory).map(Arc::new);
    let listener = voter.as_ref().and_then(|voter| voter.bind());
    if voter.is_none() {
        log_started(&config.cluster, None, None);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let work = async move {
        if let Some(voter) = voter {
            tokio::spawn(voter.run(listener));
        }
        renewal.run().await;
    };
    thread::Builder::new().name(THREAD_NAME.to_string()).spawn(move || runtime.block_on(work))?;
    Ok(view)
}

/// The identifier of this process as a lease holder. Processes of one host have different ones, also after a restart.
fn holder_id(process: &str) -> HolderId {
    let process_id = u64::from(std::process::id()) << PROCESS_ID_SHIFT;
    HolderId { head: process.to_string(), start: unix_time_us() ^ process_id }
}

pub(super) fn log_started(cluster: &str, listener: Option<&TcpListener>, voter: Option<u64>) {
    let voter = voter.map_or("none".to_string(), |id| id.to_string());
    let address = listener.and_then(|listener| listener.local_addr().ok());
    let listen = address.map_or("none".to_string(), |address| address.to_string());
    event!(AGREE, cluster, listen, voter);
}

pub(super) fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn duration(time: Micros) -> Duration {
    Duration::from_micros(time)
}
