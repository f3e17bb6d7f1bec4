//! Links to other processes: what comes on them, and what is published on them.

use super::{Node, Peer, STATUSES_PER_MEMBERSHIP};
use crate::clock;
use crate::core::configuration_updates::SentConfiguration;
use crate::core::event::LinkId;
use crate::net::link::Link;
use pathbank_coordination::replica::Role;
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{CoreStatus, Frame, Hello, ModelServer, ProcessRole, Subscription};
use std::net::SocketAddr;

impl Node {
    /// Links to all voters, to the seeds, and to stores that take part.
    pub(super) fn open_links(&mut self) {
        let own = self.settings.own_internal_address();
        let members = self.replication.replica.membership().members().map(|member| &member.address);
        let learners = self.replication.replica.peers().map(|(member, ..)| &member.address);
        let mut addresses: Vec<SocketAddr> =
            members.chain(learners).filter_map(|address| address.parse().ok()).collect();
        let callers = self.replication.callers.addresses();
        addresses.extend(callers.filter_map(|address| address.parse::<SocketAddr>().ok()));
        addresses.extend(self.settings.seeds.iter().map(|seed| self.settings.internal_address(*seed)));
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        self.mesh.want(&addresses);
    }

    pub(super) fn on_link(&mut self, id: LinkId, hello: Hello, link: Link) {
        if hello.role == ProcessRole::Edge {
            link.send(&Frame::Core(self.core_status(true)));
        }
        let configuration = SentConfiguration::default();
        self.peers.insert(id, Peer { hello, link, subscribed: false, configuration });
    }

    /// An edge wants all news from this head: it gets what stands first.
    pub(super) fn on_subscribe(&mut self, now: u64, id: LinkId, subscription: Subscription) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.subscribed = subscription.wanted;
        if !subscription.wanted {
            return;
        }
        let (link, hello) = (peer.link.clone(), peer.hello.clone());
        self.update_edge_from(now, id, subscription.known_index);
        link.send_encoded(self.all_servers().to(&hello));
        if let Some(versions) = self.publication.versions().filter(|versions| !versions.is_empty()) {
            link.send(&Frame::ModelVersions(versions.to_vec()));
        }
    }

    /// Another core is reached: it gets all model servers that this one knows.
    pub(super) fn on_core_reached(&mut self, address: SocketAddr) {
        let servers: Vec<ModelServer> = self.directory.servers().collect();
        if !servers.is_empty() {
            self.mesh.send(address, &Frame::Heartbeats(servers));
        }
        self.mesh.send(address, &Frame::Core(self.core_status(true)));
        self.ask_to_join(clock::now());
    }

    pub(super) fn on_frame(&mut self, now: u64, id: LinkId, frame: Frame) {
        match frame {
            Frame::Replica(from, message) => self.on_replica_message(now, from, message),
            Frame::Heartbeats(servers) => {
                servers.into_iter().for_each(|server| self.on_heartbeat(now, server, false));
            }
            Frame::Report(report) => {
                self.usage.record(&report.edge, report.incarnation, &report.usage, self.state.last_sealed());
                self.demand.record(now, &report);
                self.holders.record(now, &report);
                self.outliers.record(now, &report.loads);
                if self.replication.replica.role() == Role::Leader {
                    self.leadership.told(now, self.replication.replica.term(), &report.edge);
                }
                if report.demand.iter().any(|demand| demand.waiting > 0) {
                    self.place_soon(now);
                }
            }
            Frame::Core(status) => {
                if let Some(peer) = self.peers.get(&id) {
                    self.wall_clock.observe(now, &peer.hello.name, status.wall_clock_ms);
                }
            }
            Frame::Subscribe(subscription) => self.on_subscribe(now, id, subscription),
            Frame::FetchConfiguration => self.update_edge_from(now, id, 0),
            Frame::FetchDifference(known) => self.update_edge_from(now, id, known),
            Frame::AdmissionRequest(request) => self.on_admission_request(now, id, &request),
            // A leader's own orders are what it knows best; one that led before may still tell of its last
            // ones.
            Frame::OrderStatus(news) if !self.replication.replica.is_established_leader() => {
                let server = self.directory.apply_order_status(now, news);
                self.publish_servers(server.into_iter().collect());
            }
            Frame::DrawRequest(request) => self.on_draw_request(now, id, request),
            Frame::DrawResult(result) => self.on_draw_result(now, result),
            // The leader's word, passed on to the edges that listen here.
            Frame::Loads(_) | Frame::ExpectedModels(_) => self.publish_to_subscribers(&frame),
            Frame::Hello(_)
            | Frame::Configuration(_)
            | Frame::ModelServers(_)
            | Frame::AdmissionGrant(_)
            | Frame::DrawOffer(_)
            | Frame::DrawGrant(_)
            | Frame::ModelVersions(_)
            | Frame::OrderStatus(_)
            | Frame::Ping(_) => {}
        }
    }

    pub(super) fn edges(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.hello.role == ProcessRole::Edge && !peer.link.is_closed())
    }

    pub(super) fn publish_to_edges(&self, frame: &Frame) {
        self.tell(frame, |_| true);
    }

    pub(super) fn publish_to_subscribers(&self, frame: &Frame) {
        self.tell(frame, |edge| edge.subscribed);
    }

    pub(super) fn tell(&self, frame: &Frame, wanted: impl Fn(&Peer) -> bool) {
        let message = SharedMessage::new(frame);
        for edge in self.edges().filter(|edge| wanted(edge)) {
            edge.link.send_encoded(message.to(&edge.hello));
        }
    }

    /// A word about this head; the voters are told only now and then.
    pub(super) fn core_status(&self, with_members: bool) -> CoreStatus {
        let replica = &self.replication.replica;
        let members = replica.membership().members().filter(|_| with_members).cloned();
        CoreStatus {
            members: members.collect(),
            leader: replica.leader().map(|leader| leader.address.clone()).unwrap_or_default(),
            edges: self.edges().count() as u32,
            wall_clock_ms: clock::wall_clock(),
            zone: self.settings.zone.clone(),
            configuration_index: self.current_index(),
            current: self.is_current(clock::now()),
        }
    }

    pub(super) fn publish_status(&mut self) {
        self.wall_clock.observe(clock::now(), &self.settings.node_name, clock::wall_clock());
        self.status_round += 1;
        let with_members = self.status_round.is_multiple_of(STATUSES_PER_MEMBERSHIP);
        let frame = Frame::Core(self.core_status(with_members));
        self.publish_to_edges(&frame);
        self.mesh.send_to_all(&frame);
        self.open_links();
    }
}
