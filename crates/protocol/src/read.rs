//! From Cap'n Proto to plain types.

mod draw;

use crate::codec::DecodeError;
use crate::compression;
use crate::internal_capnp as wire;
use crate::message::*;
use capnp::message::ReaderOptions;
use capnp::serialize;
use pathbank_coordination::types::{
    Entry, Member, Membership, Message, Payload, SnapshotChunk, SnapshotId, StoreId, Term,
};

type Read<T> = Result<T, DecodeError>;

fn text(reader: capnp::text::Reader<'_>) -> Read<String> {
    Ok(reader.to_str()?.to_owned())
}

fn texts(list: capnp::text_list::Reader<'_>) -> Read<Vec<String>> {
    list.iter().map(|item| text(item?)).collect()
}

/// A message whose body came compressed. One within another is none that anybody sends.
fn decompressed(body: &[u8]) -> Read<Frame> {
    let body = compression::decompress(body)?;
    let mut rest = &body[..];
    let reader = serialize::read_message_from_flat_slice(&mut rest, ReaderOptions::new())?;
    let inner = reader.get_root::<wire::frame::Reader<'_>>()?;
    match inner.which()? {
        wire::frame::Which::Compressed(_) => {
            Err(DecodeError::Compressed("a compressed message within another"))
        }
        _ => frame(inner),
    }
}

pub fn frame(frame: wire::frame::Reader<'_>) -> Read<Frame> {
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
        Which::Compressed(body) => return decompressed(body?),
        Which::FetchDifference(known) => Frame::FetchDifference(known),
        Which::Loads(loads) => Frame::Loads(loads?.get_loads()?.iter().map(read_load).collect::<Read<_>>()?),
        Which::AdmissionRequest(request) => {
            let request = request?;
            let options = request.get_options()?.iter().map(read_option).collect::<Read<_>>()?;
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
        Which::DrawGrant(grant) => Frame::DrawGrant(draw::grant(grant?)?),
        Which::DrawResult(result) => Frame::DrawResult(draw::result(result?)?),
        Which::OrderStatus(news) => Frame::OrderStatus(read_order_status(news?)?),
        Which::ExpectedModels(models) => {
            let models = models?.get_models()?.iter().map(read_expected).collect::<Read<_>>()?;
            Frame::ExpectedModels(models)
        }
        Which::ModelVersions(models) => {
            let models = models?.get_models()?.iter().map(draw::model_versions).collect::<Read<_>>()?;
            Frame::ModelVersions(models)
        }
    })
}

fn read_order_status(news: wire::order_status::Reader<'_>) -> Read<OrderStatus> {
    let read_withheld = |withheld: wire::withheld_model::Reader<'_>| {
        let (model, adapter) = (text(withheld.get_model()?)?, text(withheld.get_adapter()?)?);
        Ok(WithheldModel { model, adapter })
    };
    let models = || news.get_models()?.iter().map(read_model).collect::<Read<_>>();
    Ok(OrderStatus {
        instance: text(news.get_instance()?)?,
        withheld: news.get_withheld()?.iter().map(read_withheld).collect::<Read<_>>()?,
        models: news.get_reported().then(models).transpose()?,
        busy: news.get_busy(),
    })
}

fn read_option(option: wire::admission_option::Reader<'_>) -> Read<AdmissionOption> {
    let instance = text(option.get_instance()?)?;
    Ok(AdmissionOption {
        instance,
        prefill_ms: option.get_prefill_ms(),
        other_cost_ms: option.get_other_cost_ms(),
    })
}

fn read_hello(hello: wire::hello::Reader<'_>) -> Read<Hello> {
    let role = match hello.get_role()? {
        wire::Role::Edge => ProcessRole::Edge,
        wire::Role::Core => ProcessRole::Core,
    };
    let (name, zone) = (text(hello.get_name()?)?, text(hello.get_zone()?)?);
    let accepts_compression = hello.get_accepts_compression();
    Ok(Hello { role, name, zone, incarnation: hello.get_incarnation(), accepts_compression })
}

fn read_member(member: wire::member::Reader<'_>) -> Read<Member> {
    Ok(Member {
        id: StoreId(member.get_id()),
        name: text(member.get_name()?)?,
        address: text(member.get_address()?)?,
        control_address: text(member.get_control_address()?)?,
    })
}

fn read_members(list: capnp::struct_list::Reader<'_, wire::member::Owned>) -> Read<Vec<Member>> {
    list.iter().map(read_member).collect()
}

fn read_membership(membership: wire::membership::Reader<'_>) -> Read<Membership> {
    let voters = read_members(membership.get_voters()?)?;
    Ok(Membership { voters, outgoing: read_members(membership.get_outgoing()?)? })
}

fn read_entry(entry: wire::entry::Reader<'_>) -> Read<Entry> {
    use wire::entry::payload::Which;
    let payload = match entry.get_payload().which()? {
        Which::LeaderStart(name) => Payload::LeaderStart(text(name?)?),
        Which::Membership(membership) => Payload::Membership(read_membership(membership?)?),
        Which::Command(bytes) => Payload::Command(bytes?.to_vec()),
    };
    Ok(Entry { index: entry.get_index(), term: entry.get_term(), payload })
}

fn read_snapshot_part(
    term: Term,
    part: wire::replica_message::snapshot_part::Reader<'_>,
) -> Read<SnapshotChunk> {
    let id = part.get_id()?;
    Ok(SnapshotChunk {
        term,
        id: SnapshotId { index: id.get_index(), length: id.get_length(), checksum: id.get_checksum() },
        offset: part.get_offset(),
        bytes: part.get_bytes()?.to_vec(),
        sent_at: part.get_sent_at(),
    })
}

fn read_replica(message: wire::replica_message::Reader<'_>) -> Read<(Member, Message)> {
    use wire::replica_message::Which;
    let from = read_member(message.get_from()?)?;
    let term = message.get_term();
    let message = match message.which()? {
        Which::VoteRequest(request) => Message::VoteRequest {
            term,
            pre: request.get_pre(),
            leadership_transfer: request.get_handover(),
            last_index: request.get_last_index(),
            last_term: request.get_last_term(),
        },
        Which::VoteReply(reply) => {
            Message::VoteReply { term, pre: reply.get_pre(), granted: reply.get_granted() }
        }
        Which::Append(append) => Message::Append {
            term,
            previous_index: append.get_previous_index(),
            previous_term: append.get_previous_term(),
            entries: append.get_entries()?.iter().map(read_entry).collect::<Read<_>>()?,
            commit: append.get_commit(),
            sent_at: append.get_sent_at(),
        },
        Which::AppendReply(reply) => Message::AppendReply {
            term,
            accepted: reply.get_accepted(),
            index: reply.get_index(),
            sent_at: reply.get_sent_at(),
        },
        Which::ObsoleteInstallSnapshot(_) => {
            return Err(capnp::Error::unimplemented("a whole snapshot in one message".into()).into());
        }
        Which::SnapshotPart(part) => Message::SnapshotChunk(read_snapshot_part(term, part)?),
        Which::SnapshotReply(reply) => Message::SnapshotReply {
            term,
            index: reply.get_index(),
            received: reply.get_received(),
            sent_at: reply.get_sent_at(),
        },
        Which::CampaignNow(()) => Message::CampaignNow { term },
        Which::Join(()) => Message::Join,
        Which::Leave(()) => Message::Leave,
        Which::LeaveReply(reply) => Message::LeaveReply { term, replacing: reply.get_waits() },
    };
    Ok((from, message))
}

fn read_core(status: wire::core::Reader<'_>) -> Read<CoreStatus> {
    Ok(CoreStatus {
        members: read_members(status.get_members()?)?,
        leader: text(status.get_leader()?)?,
        edges: status.get_edges(),
        wall_clock_ms: status.get_wall_clock_ms(),
        zone: text(status.get_zone()?)?,
        configuration_index: status.get_configuration_index(),
        current: status.get_current(),
    })
}

fn read_model(model: wire::loaded_model::Reader<'_>) -> Read<LoadedModel> {
    let (name, adapters) = (text(model.get_name()?)?, texts(model.get_adapters()?)?);
    Ok(LoadedModel { name, version: model.get_version(), adapters })
}

fn read_server(server: wire::model_server::Reader<'_>) -> Read<ModelServer> {
    Ok(ModelServer {
        instance: text(server.get_instance()?)?,
        backend: text(server.get_backend()?)?,
        address: text(server.get_address()?)?,
        zone: text(server.get_zone()?)?,
        version: text(server.get_version()?)?,
        capacity: server.get_capacity(),
        state: match server.get_state()? {
            wire::ModelServerState::Ready => ModelServerState::Ready,
            wire::ModelServerState::Draining => ModelServerState::Draining,
            wire::ModelServerState::Removed => ModelServerState::Removed,
        },
        cold_remaining_ms: server.get_cold_remaining_ms(),
        remaining_ms: server.get_remaining_ms(),
        models: server.get_models()?.iter().map(read_model).collect::<Read<_>>()?,
        sequence: server.get_sequence(),
        busy: server.get_busy(),
    })
}

fn read_servers(list: capnp::struct_list::Reader<'_, wire::model_server::Owned>) -> Read<Vec<ModelServer>> {
    list.iter().map(read_server).collect()
}

fn read_window(window: wire::usage_window::Reader<'_>) -> Read<UsageWindow> {
    let count = |count: wire::tenant_count::Reader<'_>| Ok((text(count.get_tenant()?)?, count.get_count()));
    let counts = window.get_counts()?.iter().map(count).collect::<Read<_>>()?;
    Ok(UsageWindow { window: window.get_window(), counts })
}

fn read_demand(demand: wire::model_demand::Reader<'_>) -> Read<ModelDemand> {
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

fn read_expected(expected: wire::expected_model::Reader<'_>) -> Read<ExpectedModel> {
    let (backend, model) = (text(expected.get_backend()?)?, text(expected.get_model()?)?);
    Ok(ExpectedModel { backend, model, ready_in_ms: expected.get_ready_in_ms() })
}

fn read_load(load: wire::model_server_load::Reader<'_>) -> Read<ModelServerLoad> {
    let instance = text(load.get_instance()?)?;
    Ok(ModelServerLoad {
        instance,
        in_flight: load.get_in_flight(),
        failed: load.get_failed(),
        answered: load.get_answered(),
        error_permille: load.get_error_permille(),
    })
}

fn read_report(report: wire::edge_report::Reader<'_>) -> Read<EdgeReport> {
    Ok(EdgeReport {
        edge: text(report.get_edge()?)?,
        incarnation: report.get_incarnation(),
        usage: report.get_usage()?.iter().map(read_window).collect::<Read<_>>()?,
        demand: report.get_demand()?.iter().map(read_demand).collect::<Read<_>>()?,
        loads: report.get_loads()?.iter().map(read_load).collect::<Read<_>>()?,
        demand_span_ms: report.get_demand_span_ms(),
        configuration: ConfigurationInForce {
            index: report.get_configuration_index(),
            version: report.get_configuration_version(),
            for_ms: report.get_configuration_for_ms(),
        },
    })
}
