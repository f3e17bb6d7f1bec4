//! The leader's orders, and model servers that carry them out.

use super::*;
use pathbank_control::order::OrderKind;

impl World {
    pub(super) fn place(&mut self) {
        let servers: Vec<ModelServer> = self.leader.directory.ready().collect();
        let Leader { placer, demand, directory, outliers, .. } = &mut self.leader;
        placer.set_failing(&outliers.outliers(self.now, &servers));
        let orders = placer.plan(self.now, &self.backends, &servers, demand, directory.cached_weights());
        orders.into_iter().for_each(|order| self.carry_order_out(order));
    }

    pub(super) fn carry_order_out(&mut self, order: Order) {
        let Some(number) = order.instance.strip_prefix("i-").and_then(|number| number.parse::<usize>().ok())
        else {
            return;
        };
        if self.servers[number].is_down() {
            return self.leader.placer.clear_order(&order.instance);
        }
        match order.operation {
            Operation::Load => {
                if self.servers[number].used_mb() + MODEL_MB > ROOM_MB {
                    self.ledger.broken.insert(format!("{} is ordered to hold too much", order.instance));
                }
                if order.kind == OrderKind::Fetch {
                    self.ledger.loads.push(self.now);
                }
                self.servers[number].loading =
                    Some((order.model.clone(), self.now + order.expected_ms.max(50)));
            }
            Operation::Unload => {
                let told = self.leader.directory.withhold(&order.instance, &order.model, &order.adapter);
                self.tell(told.into_iter().collect());
                self.servers[number].told.models.retain(|held| held.name != order.model);
                self.order_ended(number);
            }
        }
    }

    pub(super) fn finish_loads(&mut self) {
        for number in 0..self.servers.len() {
            let Some((model, end)) = self.servers[number].loading.clone() else { continue };
            if self.now >= end {
                self.servers[number].loading = None;
                let loaded =
                    pathbank_protocol::message::LoadedModel { name: model, version: 1, adapters: Vec::new() };
                self.servers[number].told.models.push(loaded);
                self.order_ended(number);
            }
        }
    }

    pub(super) fn order_ended(&mut self, number: usize) {
        let instance = format!("i-{number}");
        let models = self.servers[number].told.models.clone();
        self.leader.placer.clear_order(&instance);
        self.leader.directory.release(&instance);
        let told = self.leader.directory.observe_report(self.now, &instance, models, false);
        self.tell(told.into_iter().collect());
    }
}
