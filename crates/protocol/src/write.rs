//! From plain types to Cap'n Proto, one module for each subject.

/// Writes each item of a slice into a list of the same length.
macro_rules! write_list {
    ($items:expr, $list:expr, $write:expr) => {{
        let mut list = $list;
        for (position, item) in $items.iter().enumerate() {
            $write(item, list.reborrow().get(position as u32));
        }
    }};
}

mod admission;
mod connection;
mod generations;
mod model_servers;
mod replica;
mod reports;
mod state_comparison;

use crate::internal_capnp as wire;
use crate::message::Frame;
use admission::write_option;
use connection::{write_core, write_hello};
use generations::{write_grant, write_model_versions, write_result};
use model_servers::{write_expected, write_load, write_order_status, write_server};
use replica::write_replica;
use reports::write_report;

/// Writes a message, not compressed.
pub fn frame(frame: &Frame, mut out: wire::frame::Builder<'_>) {
    match frame {
        Frame::Hello(hello) => write_hello(hello, out.init_hello()),
        Frame::Replica(from, message) => write_replica(from, message, out.init_replica()),
        Frame::Core(status) => write_core(status, out.init_core()),
        Frame::Configuration(update) => {
            let mut configuration = out.init_configuration();
            configuration.set_index(update.index);
            configuration.set_base_index(update.base_index);
            configuration.set_document(&update.document);
        }
        Frame::ModelServers(update) => {
            let mut servers = out.init_model_servers();
            servers.set_complete(update.complete);
            write_list!(update.servers, servers.init_servers(update.servers.len() as u32), write_server);
        }
        Frame::Report(report) => write_report(report, out.init_report()),
        Frame::Heartbeats(servers) => {
            let heartbeats = out.init_heartbeats();
            write_list!(servers, heartbeats.init_servers(servers.len() as u32), write_server);
        }
        Frame::Ping(clock) => out.set_ping(*clock),
        Frame::Subscribe(subscription) => {
            let mut subscribe = out.init_subscribe();
            subscribe.set_wanted(subscription.wanted);
            subscribe.set_known_index(subscription.known_index);
        }
        Frame::FetchConfiguration => out.set_fetch_configuration(()),
        Frame::FetchDifference(known) => out.set_fetch_difference(*known),
        Frame::Loads(loads) => {
            write_list!(loads, out.init_loads().init_loads(loads.len() as u32), write_load);
        }
        Frame::AdmissionRequest(request) => {
            let mut out = out.init_admission_request();
            out.set_request(request.request);
            out.set_urgency(request.urgency);
            write_list!(request.options, out.init_options(request.options.len() as u32), write_option);
        }
        Frame::AdmissionGrant(grant) => {
            let mut out = out.init_admission_grant();
            out.set_request(grant.request);
            out.set_option(grant.option);
            out.set_wait_ms(grant.wait_ms);
        }
        Frame::DrawOffer(offer) => out.init_draw_offer().set_count(offer.count),
        Frame::DrawRequest(request) => {
            let mut out = out.init_draw_request();
            out.set_requested_at(request.requested_at);
            out.set_count(request.count);
        }
        Frame::DrawGrant(grant) => write_grant(grant, out.init_draw_grant()),
        Frame::DrawResult(result) => write_result(result, out.init_draw_result()),
        Frame::OrderStatus(status) => write_order_status(status, out.init_order_status()),
        Frame::ExpectedModels(models) => {
            let out = out.init_expected_models();
            write_list!(models, out.init_models(models.len() as u32), write_expected);
        }
        Frame::ModelVersions(models) => {
            let out = out.init_model_versions();
            write_list!(models, out.init_models(models.len() as u32), write_model_versions);
        }
        Frame::ComparisonRequest(request) => {
            state_comparison::write_request(request, out.init_comparison_request());
        }
        Frame::ComparisonReport(report) => {
            state_comparison::write_report(report, out.init_comparison_report());
        }
    }
}
