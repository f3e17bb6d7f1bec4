//! From plain types to Cap'n Proto.

mod draw;

use crate::internal_capnp as wire;
use crate::message::*;
use pathbank_coordination::types::{Entry, Member, Membership, Message, Payload, SnapshotChunk};

/// Writes each item of a slice into a list of the same length.
macro_rules! write_list {
    ($items:expr, $list:expr, $write:expr) => {{
        let mut list = $list;
        for (position, item) in $items.iter().enumerate() {
            $write(item, list.reborrow().get(position as u32));
        }
    }};
}

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
        Frame::DrawGrant(grant) => draw::grant(grant, out.init_draw_grant()),
        Frame::DrawResult(result) => draw::result(result, out.init_draw_result()),
        Frame::OrderStatus(news) => write_order_status(news, out.init_order_status()),
        Frame::ExpectedModels(models) => {
            let out = out.init_expected_models();
            write_list!(models, out.init_models(models.len() as u32), write_expected);
        }
        Frame::ModelVersions(models) => {
            let out = out.init_model_versions();
            write_list!(models, out.init_models(models.len() as u32), draw::model_versions);
        }
    }
}

fn write_order_status(news: &OrderStatus, mut out: wire::order_status::Builder<'_>) {
    let write_withheld = |withheld: &WithheldModel, mut out: wire::withheld_model::Builder<'_>| {
        out.set_model(&withheld.model);
        out.set_adapter(&withheld.adapter);
    };
    out.set_instance(&news.instance);
    write_list!(news.withheld, out.reborrow().init_withheld(news.withheld.len() as u32), write_withheld);
    out.set_reported(news.models.is_some());
    out.set_busy(news.busy);
    if let Some(models) = &news.models {
        write_list!(models, out.init_models(models.len() as u32), write_model);
    }
}

fn write_option(option: &AdmissionOption, mut out: wire::admission_option::Builder<'_>) {
    out.set_instance(&option.instance);
    out.set_prefill_ms(option.prefill_ms);
    out.set_other_cost_ms(option.other_cost_ms);
}

fn write_hello(hello: &Hello, mut out: wire::hello::Builder<'_>) {
    out.set_role(match hello.role {
        ProcessRole::Edge => wire::Role::Edge,
        ProcessRole::Core => wire::Role::Core,
    });
    out.set_name(&hello.name);
    out.set_zone(&hello.zone);
    out.set_incarnation(hello.incarnation);
    out.set_accepts_compression(hello.accepts_compression);
}

fn write_member(member: &Member, mut out: wire::member::Builder<'_>) {
    out.set_id(member.id.0);
    out.set_name(&member.name);
    out.set_address(&member.address);
    out.set_control_address(&member.control_address);
}

fn write_membership(membership: &Membership, mut out: wire::membership::Builder<'_>) {
    write_list!(membership.voters, out.reborrow().init_voters(membership.voters.len() as u32), write_member);
    write_list!(membership.outgoing, out.init_outgoing(membership.outgoing.len() as u32), write_member);
}

fn write_entry(entry: &Entry, mut out: wire::entry::Builder<'_>) {
    out.set_index(entry.index);
    out.set_term(entry.term);
    let mut payload = out.init_payload();
    match &entry.payload {
        Payload::LeaderStart(name) => payload.set_leader_start(name),
        Payload::Membership(membership) => write_membership(membership, payload.init_membership()),
        Payload::Command(bytes) => payload.set_command(bytes),
    }
}

fn write_snapshot_part(part: &SnapshotChunk, mut out: wire::replica_message::snapshot_part::Builder<'_>) {
    out.set_offset(part.offset);
    out.set_bytes(&part.bytes);
    out.set_sent_at(part.sent_at);
    let mut id = out.init_id();
    id.set_index(part.id.index);
    id.set_length(part.id.length);
    id.set_checksum(part.id.checksum);
}

fn write_replica(from: &Member, message: &Message, mut out: wire::replica_message::Builder<'_>) {
    write_member(from, out.reborrow().init_from());
    match message {
        Message::VoteRequest { term, pre, leadership_transfer, last_index, last_term } => {
            out.set_term(*term);
            let mut request = out.init_vote_request();
            request.set_pre(*pre);
            request.set_handover(*leadership_transfer);
            request.set_last_index(*last_index);
            request.set_last_term(*last_term);
        }
        Message::VoteReply { term, pre, granted } => {
            out.set_term(*term);
            let mut reply = out.init_vote_reply();
            reply.set_pre(*pre);
            reply.set_granted(*granted);
        }
        Message::Append { term, previous_index, previous_term, entries, commit, sent_at } => {
            out.set_term(*term);
            let mut append = out.init_append();
            append.set_previous_index(*previous_index);
            append.set_previous_term(*previous_term);
            append.set_commit(*commit);
            append.set_sent_at(*sent_at);
            write_list!(entries, append.init_entries(entries.len() as u32), write_entry);
        }
        Message::AppendReply { term, accepted, index, sent_at } => {
            out.set_term(*term);
            let mut reply = out.init_append_reply();
            reply.set_accepted(*accepted);
            reply.set_index(*index);
            reply.set_sent_at(*sent_at);
        }
        Message::SnapshotChunk(part) => {
            out.set_term(part.term);
            write_snapshot_part(part, out.init_snapshot_part());
        }
        Message::SnapshotReply { term, index, received, sent_at } => {
            out.set_term(*term);
            let mut reply = out.init_snapshot_reply();
            reply.set_index(*index);
            reply.set_received(*received);
            reply.set_sent_at(*sent_at);
        }
        Message::CampaignNow { term } => {
            out.set_term(*term);
            out.set_campaign_now(());
        }
        Message::Join => out.set_join(()),
        Message::Leave => out.set_leave(()),
        Message::LeaveReply { term, replacing } => {
            out.set_term(*term);
            out.init_leave_reply().set_waits(*replacing);
        }
    }
}

fn write_core(status: &CoreStatus, mut out: wire::core::Builder<'_>) {
    write_list!(status.members, out.reborrow().init_members(status.members.len() as u32), write_member);
    out.set_leader(&status.leader);
    out.set_edges(status.edges);
    out.set_wall_clock_ms(status.wall_clock_ms);
    out.set_zone(&status.zone);
    out.set_configuration_index(status.configuration_index);
    out.set_current(status.current);
}

fn write_model(model: &LoadedModel, mut out: wire::loaded_model::Builder<'_>) {
    out.set_name(&model.name);
    out.set_version(model.version);
    let mut adapters = out.init_adapters(model.adapters.len() as u32);
    for (position, adapter) in model.adapters.iter().enumerate() {
        adapters.set(position as u32, adapter);
    }
}

fn write_server(server: &ModelServer, mut out: wire::model_server::Builder<'_>) {
    out.set_instance(&server.instance);
    out.set_backend(&server.backend);
    out.set_address(&server.address);
    out.set_zone(&server.zone);
    out.set_version(&server.version);
    out.set_capacity(server.capacity);
    out.set_state(match server.state {
        ModelServerState::Ready => wire::ModelServerState::Ready,
        ModelServerState::Draining => wire::ModelServerState::Draining,
        ModelServerState::Removed => wire::ModelServerState::Removed,
    });
    out.set_cold_remaining_ms(server.cold_remaining_ms);
    out.set_remaining_ms(server.remaining_ms);
    out.set_sequence(server.sequence);
    out.set_busy(server.busy);
    write_list!(server.models, out.init_models(server.models.len() as u32), write_model);
}

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

fn write_expected(expected: &ExpectedModel, mut out: wire::expected_model::Builder<'_>) {
    out.set_backend(&expected.backend);
    out.set_model(&expected.model);
    out.set_ready_in_ms(expected.ready_in_ms);
}

fn write_load(load: &ModelServerLoad, mut out: wire::model_server_load::Builder<'_>) {
    out.set_instance(&load.instance);
    out.set_in_flight(load.in_flight);
    out.set_failed(load.failed);
    out.set_answered(load.answered);
    out.set_error_permille(load.error_permille);
}

fn write_report(report: &EdgeReport, mut out: wire::edge_report::Builder<'_>) {
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
