//! An edge's report, from Cap'n Proto.

use super::model_servers::read_load;
use super::{Decoded, text};
use crate::internal_capnp as wire;
use crate::message::{ConfigurationInForce, EdgeReport, ModelDemand, UsageWindow};

fn read_window(window: wire::usage_window::Reader<'_>) -> Decoded<UsageWindow> {
    let count = |count: wire::tenant_count::Reader<'_>| Ok((text(count.get_tenant()?)?, count.get_count()));
    let counts = window.get_counts()?.iter().map(count).collect::<Decoded<_>>()?;
    Ok(UsageWindow { window: window.get_window(), counts })
}

fn read_demand(demand: wire::model_demand::Reader<'_>) -> Decoded<ModelDemand> {
    Ok(ModelDemand {
        backend: text(demand.get_backend()?)?,
        model: text(demand.get_model()?)?,
        adapter: text(demand.get_adapter()?)?,
        arrived: demand.get_arrived(),
        tokens: demand.get_tokens(),
        waiting: demand.get_waiting(),
        prefill_ms: demand.get_prefill_ms(),
        slot_time_ms: demand.get_slot_time_ms(),
        objective_ms: demand.get_objective_ms(),
    })
}

pub(super) fn read_report(report: wire::edge_report::Reader<'_>) -> Decoded<EdgeReport> {
    Ok(EdgeReport {
        edge: text(report.get_edge()?)?,
        incarnation: report.get_incarnation(),
        usage: report.get_usage()?.iter().map(read_window).collect::<Decoded<_>>()?,
        demand: report.get_demand()?.iter().map(read_demand).collect::<Decoded<_>>()?,
        loads: report.get_loads()?.iter().map(read_load).collect::<Decoded<_>>()?,
        demand_span_ms: report.get_demand_span_ms(),
        configuration: ConfigurationInForce {
            index: report.get_configuration_index(),
            version: report.get_configuration_version(),
            for_ms: report.get_configuration_for_ms(),
        },
    })
}
