//! The memory for what model servers report of themselves, which anybody can send in a heartbeat.

use crate::memory::share::{MemoryLease, MemoryShare, ShareExhausted};
use pathbank_protocol::message::{LoadedModel, ModelServer};
use std::collections::BTreeMap;

/// What a record costs beside its texts.
const RECORD_BYTES: usize = 1_024;
/// What a model or an adapter of a record costs beside its name.
const ITEM_BYTES: usize = 64;
/// A record is held as it is, as it was published, and in updates that wait for edges and other cores.
const COPIES: usize = 4;

/// The leases for the records of model servers.
pub struct ServerMemory {
    share: MemoryShare,
    leases: BTreeMap<String, MemoryLease>,
}

impl ServerMemory {
    /// No records yet.
    pub fn new(share: MemoryShare) -> ServerMemory {
        ServerMemory { share, leases: BTreeMap::new() }
    }

    /// Takes the memory for a model server's record, or for the difference to what it had.
    ///
    /// # Errors
    ///
    /// The share is exhausted: the record must stay as it is.
    pub fn cover(&mut self, server: &ModelServer) -> Result<(), ShareExhausted> {
        let bytes = record_bytes(server);
        let covered = match self.leases.get_mut(&server.instance) {
            Some(lease) if lease.bytes() >= bytes => {
                lease.shrink(bytes);
                Ok(())
            }
            Some(lease) => lease.grow(bytes - lease.bytes()),
            None => self.share.lease(bytes).map(|lease| {
                self.leases.insert(server.instance.clone(), lease);
            }),
        };
        covered.inspect_err(|_| self.share.count_refusal())
    }

    /// Gives back the memory of records that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.leases.retain(|instance, _| is_known(instance));
    }
}

fn record_bytes(server: &ModelServer) -> usize {
    let texts = [&server.instance, &server.backend, &server.address, &server.zone, &server.version];
    let texts: usize = texts.into_iter().map(String::len).sum();
    let models: usize = server.models.iter().map(model_bytes).sum();
    COPIES * (RECORD_BYTES + texts + models)
}

fn model_bytes(model: &LoadedModel) -> usize {
    let adapters: usize = model.adapters.iter().map(|adapter| ITEM_BYTES + adapter.len()).sum();
    ITEM_BYTES + model.name.len() + adapters
}
