//! What operators are told of this head, and of placement and duties. Of the latter only the leader knows;
//! others lead on to it.

use super::Node;
use pathbank_control::demand::ModelKey;
use pathbank_control::edge_configurations::EdgeConfiguration;
use pathbank_control::operator_calls::Reply;
use pathbank_control::order::Operation;
use pathbank_coordination::types::Member;
use pathbank_protocol::message::ModelServer;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

impl Node {
    /// How this head stands in the group, and who holds which configuration. Edges report to the leader
    /// alone.
    pub(super) fn status(&self, now: u64) -> Value {
        let replica = &self.replication.replica;
        let voters = replica.membership().members().map(|member: &Member| {
            json!({ "store": format!("{:016x}", member.id.0), "control": member.control_address })
        });
        let edges = self.edges().map(|edge| edge.hello.name.clone());
        let holder = |(edge, holder): (&str, &EdgeConfiguration)| {
            json!({
                "edge": edge,
                "version": holder.version,
                "index": holder.index,
                "for_ms": now.saturating_sub(holder.in_force_since),
                "told_ms_ago": now.saturating_sub(holder.reported_at),
            })
        };
        json!({
            "node": self.settings.node_name,
            "life": format!("{:016x}", self.incarnation),
            "role": format!("{:?}", replica.role()),
            "term": replica.term(),
            "leader": replica.leader().map(|leader| leader.control_address.clone()),
            "last": replica.durable().last_index(),
            "commit": replica.commit(),
            "applied": self.replication.applied(),
            "current": self.is_current(now),
            "configuration_version": self.state.version(),
            "published_index": self.publication.index(),
            "holders": self.holders.iter().map(holder).collect::<Vec<_>>(),
            "voters": voters.collect::<Vec<_>>(),
            "edges": edges.collect::<Vec<_>>(),
            "bricks": self.directory.ready().count(),
            "startup_ms": self.startup.to_json(),
        })
    }

    /// Demand and holders of each model and adapter, and the orders under way.
    pub(super) fn on_read_placement(&mut self, now: u64, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        let placer = &self.leadership.placer;
        let orders = placer.pending_orders().map(|order| {
            let operation = match order.operation {
                Operation::Load => "load",
                Operation::Unload => "unload",
            };
            json!({ "instance": order.instance, "operation": operation, "model": order.model, "adapter": order.adapter })
        });
        let reserved =
            placer.reserved().map(|(instance, model)| json!({ "instance": instance, "model": model }));
        let [fetch, reload, adapter, unload] = placer.durations().estimates(now).map(|(_, learned)| learned);
        let overview = json!({
            "order_times": {
                "fetch_factor": fetch,
                "reload_factor": reload,
                "adapter_ms": adapter,
                "unload_ms": unload,
            },
            "models": self.models(now),
            "orders": orders.collect::<Vec<_>>(),
            "reserved": reserved.collect::<Vec<_>>(),
        });
        let _ = reply.send(Reply::Json(overview.to_string().into_bytes()));
    }

    /// Everything that is asked for or held, by service, model and adapter.
    fn models(&self, now: u64) -> Vec<Value> {
        let servers: Vec<ModelServer> = self.directory.ready().collect();
        let mut holders: BTreeMap<ModelKey, Vec<&str>> = BTreeMap::new();
        for server in &servers {
            for held in &server.models {
                let names = held.adapters.iter().map(String::as_str).chain([""]);
                names.for_each(|adapter| {
                    let key = ModelKey {
                        backend: server.backend.clone(),
                        model: held.name.clone(),
                        adapter: adapter.to_owned(),
                    };
                    holders.entry(key).or_default().push(&server.instance);
                });
            }
        }
        let keys: BTreeSet<&ModelKey> = holders.keys().chain(self.demand.keys()).collect();
        let view = |key: &ModelKey| {
            json!({
                "backend": key.backend,
                "model": key.model,
                "adapter": key.adapter,
                "requests_per_s": self.demand.requests_per_s(now, key),
                "waiting": self.demand.waiting(now, key),
                "bricks": holders.get(key).cloned().unwrap_or_default(),
            })
        };
        keys.into_iter().map(view).collect()
    }

    /// Who may act on the outside, until when, and what was told to the platform.
    pub(super) fn on_read_singleton_roles(&mut self, now: u64, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        let permit = self.permit(now);
        let leadership = &self.leadership;
        let scale = leadership.autoscaler.orders().map(|order| {
            json!({ "backend": order.backend, "zone": order.zone, "desired_count": order.desired_count })
        });
        let overview = json!({
            "lease_holder": self.settings.node_name,
            "fencing_token": permit.map(|permit| permit.fencing_token),
            "lease_left_ms": permit.map(|permit| permit.until.saturating_sub(now)),
            "duties": self.settings.cloud_api.duties,
            "usage": {
                "last_sealed": self.state.last_sealed(),
                "reported": leadership.reported,
                "counted": self.usage.counted(),
            },
            "scale": scale.collect::<Vec<_>>(),
        });
        let _ = reply.send(Reply::Json(overview.to_string().into_bytes()));
    }
}
