//! Status, placement and singleton roles of a core as JSON, for operators.

use super::autoscaling::AutoscalingScheduler;
use super::edge_reports::EdgeReports;
use super::links::PeerLinks;
use super::placement::PlacementScheduler;
use super::replication::Replication;
use super::state_check::StateCheck;
use super::state_machine::StateMachine;
use super::usage::UsageReporter;
use crate::settings::Settings;
use crate::startup::Startup;
use pathbank_control::demand::{DemandTable, ModelKey};
use pathbank_control::edge_configurations::EdgeConfiguration;
use pathbank_control::order::Operation;
use pathbank_coordination::fencing::Permit;
use pathbank_coordination::types::{Index, Member};
use pathbank_protocol::message::ModelServer;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// What the status of a core is made of.
pub struct StatusSources<'a> {
    /// This core's settings.
    pub settings: &'a Settings,
    /// This run of the process.
    pub incarnation: u64,
    /// The replica.
    pub replication: &'a Replication,
    /// The control state.
    pub machine: &'a StateMachine,
    /// The log entry of the configuration that edges were sent.
    pub published_index: Index,
    /// Which edges have which configuration; edges report to the leader alone.
    pub reports: &'a EdgeReports,
    /// Connected edges.
    pub links: &'a PeerLinks,
    /// Model servers that accept requests.
    pub ready_servers: usize,
    /// Deregistrations of model servers that are not committed yet.
    pub pending_deregistrations: usize,
    /// Milestones of the start.
    pub startup: &'a Startup,
    /// The comparison of the replicated state.
    pub state_check: &'a StateCheck,
}

/// The answer of `GET /api/status`.
pub fn status(now: u64, sources: &StatusSources<'_>) -> Value {
    let StatusSources { replication, machine, .. } = sources;
    let replica = replication.replica();
    let voters = replica.membership().members().map(|member: &Member| {
        json!({ "store": format!("{:016x}", member.id.0), "control": member.control_address })
    });
    let entry = |(edge, configuration): (&str, &EdgeConfiguration)| {
        json!({
            "edge": edge,
            "version": configuration.version,
            "index": configuration.index,
            "for_ms": now.saturating_sub(configuration.in_force_since),
            "told_ms_ago": now.saturating_sub(configuration.reported_at),
        })
    };
    json!({
        "node": sources.settings.node_name,
        "life": format!("{:016x}", sources.incarnation),
        "role": format!("{:?}", replica.role()),
        "term": replica.term(),
        "leader": replica.leader().map(|leader| leader.control_address.clone()),
        "last": replica.durable().last_index(),
        "commit": replica.commit(),
        "applied": machine.applied(),
        "current": replication.is_current(now),
        "configuration_version": machine.state().version(),
        "command_format": machine.state().command_format(),
        "published_index": sources.published_index,
        "state": sources.state_check.to_json(),
        "holders": sources.reports.configurations().iter().map(entry).collect::<Vec<_>>(),
        "voters": voters.collect::<Vec<_>>(),
        "edges": sources.links.edges().map(|(_, name)| name).collect::<Vec<_>>(),
        "bricks": sources.ready_servers,
        "deregistrations_pending": sources.pending_deregistrations,
        "startup_ms": sources.startup.to_json(),
    })
}

/// The answer of `GET /api/placement`: demand and replicas of each model and adapter, orders in progress, and orders that
/// were not sent.
pub fn placement(
    now: u64,
    placement: &PlacementScheduler,
    servers: &[ModelServer],
    demand: &DemandTable,
) -> Value {
    let placer = placement.placer();
    let orders = placer.pending_orders().map(|order| {
        let operation = match order.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        };
        json!({
            "instance": order.instance,
            "operation": operation,
            "model": order.model,
            "adapter": order.adapter,
        })
    });
    let reserved = placer.reserved().map(|(instance, model)| json!({ "instance": instance, "model": model }));
    let [fetch, reload, adapter, unload] = placer.durations().estimates(now).map(|(_, estimate)| estimate);
    json!({
        "order_times": {
            "fetch_factor": fetch,
            "reload_factor": reload,
            "adapter_ms": adapter,
            "unload_ms": unload,
        },
        "models": models(now, servers, demand),
        "orders": orders.collect::<Vec<_>>(),
        "reserved": reserved.collect::<Vec<_>>(),
        "orders_dropped": placement.dropped().to_json(),
    })
}

/// All models that are requested or resident, by backend, model and adapter.
fn models(now: u64, servers: &[ModelServer], demand: &DemandTable) -> Vec<Value> {
    let replicas = replicas_by_model(servers);
    let keys: BTreeSet<&ModelKey> = replicas.keys().chain(demand.keys()).collect();
    let view = |key: &ModelKey| {
        json!({
            "backend": key.backend,
            "model": key.model,
            "adapter": key.adapter,
            "requests_per_s": demand.requests_per_s(now, key),
            "waiting": demand.waiting(now, key),
            "bricks": replicas.get(key).cloned().unwrap_or_default(),
        })
    };
    keys.into_iter().map(view).collect()
}

fn replicas_by_model(servers: &[ModelServer]) -> BTreeMap<ModelKey, Vec<&str>> {
    let mut replicas: BTreeMap<ModelKey, Vec<&str>> = BTreeMap::new();
    for server in servers {
        for loaded in &server.models {
            for adapter in loaded.adapters.iter().map(String::as_str).chain([""]) {
                let key = ModelKey {
                    backend: server.backend.clone(),
                    model: loaded.name.clone(),
                    adapter: adapter.to_owned(),
                };
                replicas.entry(key).or_default().push(&server.instance);
            }
        }
    }
    replicas
}

/// What the overview of singleton roles is made of.
pub struct RoleSources<'a> {
    /// This core's settings.
    pub settings: &'a Settings,
    /// The permit to act, if the leader has one now.
    pub permit: Option<Permit>,
    /// The last window that was sealed.
    pub last_sealed: u64,
    /// Usage reporting.
    pub usage: &'a UsageReporter,
    /// Autoscaling.
    pub autoscaling: &'a AutoscalingScheduler,
}

/// The answer of `GET /api/duties`.
pub fn singleton_roles(now: u64, sources: &RoleSources<'_>) -> Value {
    let RoleSources { settings, permit, last_sealed, usage, autoscaling } = sources;
    let scale = autoscaling.orders().map(
        |order| json!({ "backend": order.backend, "zone": order.zone, "desired_count": order.desired_count }),
    );
    json!({
        "lease_holder": settings.node_name,
        "fencing_token": permit.map(|permit| permit.fencing_token),
        "lease_left_ms": permit.map(|permit| permit.valid_until.saturating_sub(now)),
        "duties": settings.cloud_api.duties,
        "usage": {
            "last_sealed": last_sealed,
            "reported": usage.reported(),
            "counted": usage.counted(),
        },
        "scale": scale.collect::<Vec<_>>(),
    })
}
