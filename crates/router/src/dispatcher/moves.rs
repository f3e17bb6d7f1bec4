//! Streams that leave a model server before it is gone.

use super::{Action, Dispatcher, Held, Leaving, Stage};
use crate::Millis;
use crate::draw::unit_draw;
use crate::evacuation;
use crate::model_servers::{Instance, KnownModelServer};

impl Dispatcher {
    // ---- streams that leave a model server before it is gone ----

    /// Plans when the streams at a model server leave, where it told how long it has. A plan that stands is
    /// kept.
    pub(super) fn plan_moves(&mut self, now: Millis, instance: &Instance) {
        let Some(gone_at) = self.servers.get(instance).and_then(KnownModelServer::gone_at) else { return };
        let is_there = |held: &Held| matches!(&held.stage, Stage::Sent(at) if at == instance);
        let moves = self
            .held
            .iter()
            .filter(|(_, held)| is_there(held) && held.offer.resumable && held.leaving == Leaving::Stays);
        let streams =
            moves.map(|(id, held)| evacuation::Stream { id: *id, deadline: held.offer.deadline }).collect();
        for (id, leaves_at) in evacuation::plan(now, gone_at, streams, unit_draw(self.seed, instance)) {
            if let Some(held) = self.held.get_mut(&id) {
                held.leaving = Leaving::At(leaves_at);
            }
        }
    }

    pub(super) fn move_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for (id, held) in &mut self.held {
            if !matches!(held.leaving, Leaving::At(leaves_at) if now >= leaves_at) {
                continue;
            }
            held.leaving = Leaving::Told;
            let Stage::Sent(instance) = &held.stage else { continue };
            let gone_at = self.servers.get(instance).and_then(KnownModelServer::gone_at);
            actions.extend(gone_at.map(|gone_at| Action::Move { id: *id, gone_at }));
        }
    }
}
