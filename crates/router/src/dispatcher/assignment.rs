//! Chooses the model server for which a request is queued.

use super::{Dispatcher, Offer, PendingRequest, RequestId, Stage};
use crate::Millis;
use crate::model_servers::{Instance, KnownModelServer};

impl Dispatcher {
    pub(super) fn assign(&mut self, now: Millis, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let granted =
            pending.offer.granted.as_ref().filter(|instance| self.may_send_to(now, &pending.offer, instance));
        let stage = match granted.cloned().or_else(|| self.best_server(now, &pending.offer)) {
            Some(instance) => Stage::Queued(instance),
            None => Stage::Unassigned,
        };
        // A load brings in the newest version, which cannot serve a request that expects an older version.
        let offer = &pending.offer;
        let is_loaded = || self.servers.with_model(now, &offer.backend, &offer.name).next().is_some();
        let other_version = offer.version.is_some() && is_loaded();
        let is_first_report = stage == Stage::Unassigned && !pending.reported && !other_version;
        let arrived =
            matches!(stage, Stage::Queued(_)) && pending.stage == Stage::Unassigned && pending.reported;
        let missed = arrived.then(|| (offer.clone(), pending.lacks_adapter_only));
        if is_first_report {
            self.record_unassigned(now, id);
        }
        self.set_stage(now, id, stage);
        match missed {
            Some((offer, lacked_adapter_only)) => {
                self.model_eta.observe_resident(now, &offer, lacked_adapter_only);
            }
            None => self.note_residency(now, id),
        }
    }

    /// Records whether the model of a request is resident nowhere.
    fn note_residency(&mut self, now: Millis, id: RequestId) {
        let Some(PendingRequest { offer, .. }) = self.pending.get(&id) else { return };
        if self.servers_for(now, offer).next().is_some() {
            return self.model_eta.forget_missing(offer);
        }
        let lacks_adapter_only = self.lacks_adapter_only(now, offer);
        self.model_eta.note_missing(now, offer, lacks_adapter_only);
    }

    /// Model servers where the model of a request is resident, in the expected version, and that were not tried
    /// before.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Millis,
        offer: &'a Offer,
    ) -> impl Iterator<Item = (&'a Instance, &'a KnownModelServer)> {
        self.servers_for(now, offer).filter(|(instance, _)| !offer.excluded.contains(*instance))
    }

    /// Model servers where the model of a request is resident, in the expected version.
    pub(super) fn servers_for<'a>(
        &'a self,
        now: Millis,
        offer: &'a Offer,
    ) -> impl Iterator<Item = (&'a Instance, &'a KnownModelServer)> {
        let with_model = self.servers.with_model(now, &offer.backend, &offer.name);
        with_model.filter(|(_, known)| known.has_version(&offer.name.model, offer.version))
    }

    /// Whether a request may be sent to a model server now.
    fn may_send_to(&self, now: Millis, offer: &Offer, instance: &Instance) -> bool {
        self.candidates(now, offer).any(|(candidate, known)| candidate == instance && known.has_slot(now))
    }

    /// The model server with the lowest cost for a request.
    fn best_server(&self, now: Millis, offer: &Offer) -> Option<Instance> {
        let scored = self
            .candidates(now, offer)
            .map(|(instance, known)| (self.cost(now, offer, instance, known), instance));
        scored.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, instance)| instance.clone())
    }
}
