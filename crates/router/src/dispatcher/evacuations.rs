//! Moves streams away from model servers that announced when they end.

use super::{Action, Dispatcher, Evacuation, PendingRequest, Stage};
use crate::Millis;
use crate::draw::unit_draw;
use crate::evacuation;
use crate::model_servers::{Instance, KnownModelServer};

impl Dispatcher {
    /// Plans when each stream at a model server moves, if the server announced when it ends. Streams that are
    /// planned already keep their time.
    pub(super) fn plan_evacuation(&mut self, now: Millis, instance: &Instance) {
        let Some(ends_at) = self.servers.get(instance).and_then(KnownModelServer::ends_at) else { return };
        let is_there = |pending: &PendingRequest| matches!(&pending.stage, Stage::Sent(at) if at == instance);
        let movable = self.pending.iter().filter(|(_, pending)| {
            is_there(pending) && pending.offer.resumable && pending.evacuation == Evacuation::NotPlanned
        });
        let streams = movable
            .map(|(id, pending)| evacuation::Stream { id: *id, deadline: pending.offer.deadline })
            .collect();
        for (id, evacuate_at) in evacuation::plan(now, ends_at, streams, unit_draw(self.seed, instance)) {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.evacuation = Evacuation::Planned(evacuate_at);
            }
        }
    }

    /// Asks the edge to move the streams whose time has come.
    pub(super) fn evacuate_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for (id, pending) in &mut self.pending {
            if !matches!(pending.evacuation, Evacuation::Planned(evacuate_at) if now >= evacuate_at) {
                continue;
            }
            pending.evacuation = Evacuation::Notified;
            let Stage::Sent(instance) = &pending.stage else { continue };
            let ends_at = self.servers.get(instance).and_then(KnownModelServer::ends_at);
            actions.extend(ends_at.map(|ends_at| Action::Evacuate { id: *id, ends_at }));
        }
    }
}
