//! An edge's report, to Cap'n Proto.

use super::model_servers::write_load;
use crate::internal_capnp as wire;
use crate::message::{EdgeReport, ModelDemand, UsageWindow};

fn write_window(window: &UsageWindow, mut out: wire::usage_window::Builder<'_>) {
    out.set_window(window.window);
    write_list!(
        window.counts,
        out.init_counts(window.counts.len() as u32),
        |(tenant, count): &(String, u64), mut out: wire::tenant_count::Builder<'_>| {
            out.set_tenant(tenant);
            out.set_count(*count);
        }
    );
}

fn write_demand(demand: &ModelDemand, mut out: wire::model_demand::Builder<'_>) {
    out.set_backend(&demand.backend);
    out.set_model(&demand.model);
    out.set_adapter(&demand.adapter);
    out.set_arrived(demand.arrived);
    out.set_tokens(demand.tokens);
    out.set_waiting(demand.waiting);
    out.set_prefill_ms(demand.prefill_ms);
    out.set_slot_time_ms(demand.slot_time_ms);
    out.set_objective_ms(demand.objective_ms);
}

pub(super) fn write_report(report: &EdgeReport, mut out: wire::edge_report::Builder<'_>) {
    out.set_edge(&report.edge);
    out.set_incarnation(report.incarnation);
    out.set_demand_span_ms(report.demand_span_ms);
    out.set_configuration_index(report.configuration.index);
    out.set_configuration_version(report.configuration.version);
    out.set_configuration_for_ms(report.configuration.for_ms);
    write_list!(report.usage, out.reborrow().init_usage(report.usage.len() as u32), write_window);
    write_list!(report.demand, out.reborrow().init_demand(report.demand.len() as u32), write_demand);
    write_list!(report.loads, out.init_loads(report.loads.len() as u32), write_load);
}
