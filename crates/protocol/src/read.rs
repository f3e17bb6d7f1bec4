//! From Cap'n Proto to plain types, one module for each subject.

mod admission;
mod connection;
mod generations;
mod model_servers;
mod replica;
mod reports;
mod state_comparison;

use crate::compression::CompressionError;
use crate::decode_error::DecodeError;
use crate::internal_capnp as wire;
use crate::message::{
    AdmissionGrant, AdmissionRequest, ConfigurationUpdate, DrawOffer, DrawRequest, Frame, ModelServerUpdate,
    Subscription,
};
use admission::read_option;
use connection::{read_core, read_hello};
use generations::{read_grant, read_model_versions, read_result};
use model_servers::{read_expected, read_load, read_order_status, read_servers};
use replica::read_replica;
use reports::read_report;

type Decoded<T> = Result<T, DecodeError>;

fn text(reader: capnp::text::Reader<'_>) -> Decoded<String> {
    Ok(reader.to_str()?.to_owned())
}

fn texts(list: capnp::text_list::Reader<'_>) -> Decoded<Vec<String>> {
    list.iter().map(|item| text(item?)).collect()
}

/// Reads a message that is not compressed; the codec restores compressed ones before.
pub fn frame(frame: wire::frame::Reader<'_>) -> Decoded<Frame> {
    use wire::frame::Which;
    Ok(match frame.which()? {
        Which::Hello(hello) => Frame::Hello(read_hello(hello?)?),
        Which::Replica(message) => {
            let (from, message) = read_replica(message?)?;
            Frame::Replica(from, message)
        }
        Which::Core(status) => Frame::Core(read_core(status?)?),
        Which::Configuration(update) => {
            let update = update?;
            let document = update.get_document()?.to_vec();
            let (index, base_index) = (update.get_index(), update.get_base_index());
            Frame::Configuration(ConfigurationUpdate { index, base_index, document })
        }
        Which::ModelServers(update) => {
            let update = update?;
            let servers = read_servers(update.get_servers()?)?;
            Frame::ModelServers(ModelServerUpdate { complete: update.get_complete(), servers })
        }
        Which::Report(report) => Frame::Report(read_report(report?)?),
        Which::Heartbeats(heartbeats) => Frame::Heartbeats(read_servers(heartbeats?.get_servers()?)?),
        Which::Ping(clock) => Frame::Ping(clock),
        Which::Subscribe(subscription) => {
            let subscription = subscription?;
            let known_index = subscription.get_known_index();
            Frame::Subscribe(Subscription { wanted: subscription.get_wanted(), known_index })
        }
        Which::FetchConfiguration(()) => Frame::FetchConfiguration,
        Which::Compressed(_) => return Err(CompressionError::Nested.into()),
        Which::FetchDifference(known) => Frame::FetchDifference(known),
        Which::Loads(loads) => {
            Frame::Loads(loads?.get_loads()?.iter().map(read_load).collect::<Decoded<_>>()?)
        }
        Which::AdmissionRequest(request) => {
            let request = request?;
            let options = request.get_options()?.iter().map(read_option).collect::<Decoded<_>>()?;
            Frame::AdmissionRequest(AdmissionRequest {
                request: request.get_request(),
                options,
                urgency: request.get_urgency(),
            })
        }
        Which::AdmissionGrant(grant) => {
            let grant = grant?;
            let (request, option) = (grant.get_request(), grant.get_option());
            Frame::AdmissionGrant(AdmissionGrant { request, option, wait_ms: grant.get_wait_ms() })
        }
        Which::DrawOffer(offer) => Frame::DrawOffer(DrawOffer { count: offer?.get_count() }),
        Which::DrawRequest(request) => {
            let request = request?;
            let (requested_at, count) = (request.get_requested_at(), request.get_count());
            Frame::DrawRequest(DrawRequest { requested_at, count })
        }
        Which::DrawGrant(grant) => Frame::DrawGrant(read_grant(grant?)?),
        Which::DrawResult(result) => Frame::DrawResult(read_result(result?)?),
        Which::OrderStatus(status) => Frame::OrderStatus(read_order_status(status?)?),
        Which::ExpectedModels(models) => {
            let models = models?.get_models()?.iter().map(read_expected).collect::<Decoded<_>>()?;
            Frame::ExpectedModels(models)
        }
        Which::ModelVersions(models) => {
            let models = models?.get_models()?.iter().map(read_model_versions).collect::<Decoded<_>>()?;
            Frame::ModelVersions(models)
        }
        Which::ComparisonRequest(request) => {
            Frame::ComparisonRequest(state_comparison::read_request(request?))
        }
        Which::ComparisonReport(report) => Frame::ComparisonReport(state_comparison::read_report(report?)?),
    })
}
