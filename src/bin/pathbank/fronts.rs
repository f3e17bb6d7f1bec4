//! The fronts: HTTP, the operators' port, SFTP and gRPC.

use crate::startup::Proxy;
use pathbank::config::ClientLimits;
use pathbank::config::grpc::GrpcFront;
use pathbank::config::sftp::SftpFront;
use pathbank::event;
use pathbank::net::ops::{self, CommandContext};
use pathbank::net::slots::{Counts, Slots};
use pathbank::net::{front, grpc, sftp};
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The fronts that serve.
#[derive(Default)]
pub struct Fronts {
    /// The tasks that accept connections.
    pub tasks: Vec<JoinHandle<()>>,
    /// The slots of each front's connections.
    pub slots: Vec<Slots>,
    /// The gRPC front, where it is switched on.
    pub grpc: Option<grpc::front::Front>,
}

impl Fronts {
    /// Starts all fronts that are switched on.
    pub async fn start(
        proxy: &mut Proxy,
        listener: TcpListener,
        http_slots: Slots,
    ) -> Result<Fronts, Box<dyn Error>> {
        let mut fronts = Fronts::default();
        fronts.tasks.push(tokio::spawn(front::serve(listener, proxy.http.clone(), http_slots.clone())));
        fronts.slots.push(http_slots);
        if let Some(address) = proxy.config.ops {
            let (metrics, lifecycle) = (proxy.handle.metrics().clone(), proxy.lifecycle.clone());
            let context = CommandContext { metrics, lifecycle, fleet: proxy.fleet.take() };
            let callers = proxy.config.ops_callers;
            event!(OPS_UP, listen:% = ops::start(address, callers, context)?, callers);
        }
        if let Some(sftp) = proxy.sftp.take() {
            fronts.serve_sftp(proxy, sftp).await?;
        }
        if let Some(grpc) = proxy.grpc.take() {
            fronts.serve_grpc(proxy, grpc).await?;
        }
        Ok(fronts)
    }

    async fn serve_sftp(&mut self, proxy: &Proxy, config: SftpFront) -> Result<(), Box<dyn Error>> {
        let listener = TcpListener::bind(config.listen).await?;
        event!(FILES_UP, listen:% = listener.local_addr()?);
        let front = sftp::front::Front {
            handle: proxy.handle.clone(),
            stores: sftp::back::Stores::new(&proxy.config, config.node_port),
            memory: proxy.memory.file_commands.clone(),
            answer_margin: proxy.config.answer_margin,
            phase: proxy.phase.clone(),
            config: Arc::new(config),
        };
        let slots = self.watched_slots(front.config.clients);
        self.tasks.push(tokio::spawn(sftp::front::serve(listener, front, slots)));
        Ok(())
    }

    async fn serve_grpc(&mut self, proxy: &Proxy, config: GrpcFront) -> Result<(), Box<dyn Error>> {
        let listener = TcpListener::bind(config.listen).await?;
        let (calls, channels) = (config.calls, config.channels.max_channels);
        event!(GRPC_UP, listen:% = listener.local_addr()?, calls, channels);
        let front = grpc::front::Front {
            handle: proxy.handle.with_room_for(config.calls),
            nodes: grpc::back::NodeChannels::new(&config, proxy.config.node_connections.connect),
            config: Arc::new(config),
            answer_margin: proxy.config.answer_margin,
            phase: proxy.phase.clone(),
            bodies: proxy.memory.bodies.clone(),
            memory: proxy.memory.calls.clone(),
            counters: Arc::default(),
        };
        tokio::spawn(front.nodes.clone().maintain_channels());
        let slots = self.watched_slots(front.config.clients);
        self.tasks.push(tokio::spawn(grpc::front::serve(listener, front.clone(), slots)));
        self.grpc = Some(front);
        Ok(())
    }

    fn watched_slots(&mut self, clients: ClientLimits) -> Slots {
        let slots = Slots::new(clients);
        tokio::spawn(slots.clone().watch());
        self.slots.push(slots.clone());
        slots
    }
}

/// Logs what the fronts have counted.
pub fn log_counts(slots: &[Slots], grpc: Option<&grpc::front::Front>) {
    for slots in slots {
        let Counts { taken, over_limit, for_others } = slots.counts();
        event!(CLIENTS, taken, over_limit, for_others);
    }
    if let Some(front) = grpc {
        let ((opened, attempts), no_room) =
            (front.nodes.channel_and_attempt_counts(), front.handle.no_room());
        let calls = front.counters.calls.load(Ordering::Relaxed);
        event!(GRPC_COUNTS, calls, attempts, opened, no_room, offences = front.counters.format_offences());
    }
}
