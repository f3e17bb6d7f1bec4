//! One rehearsal: so many hollow edges and bricks before real control heads, and what it cost them.

use super::hollow::{self, BrickCounts};
use crate::command::call;
use crate::edge::hollow::HollowEdge;
use crate::net::link::traffic;
use crate::settings::Settings;
use anyhow::{Context, Result, ensure};
use clap::Args;
use serde::{Deserialize, Serialize};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How large the rehearsal is.
#[derive(Clone, Debug, Args)]
pub struct ScalePlan {
    /// Hollow edge heads.
    #[arg(long, default_value_t = 46)]
    edges: usize,
    /// Hollow bricks.
    #[arg(long, default_value_t = 150)]
    bricks: usize,
    /// Models of the service.
    #[arg(long, default_value_t = 1_900)]
    models: usize,
    /// Control heads, each a process.
    #[arg(long, default_value_t = 5)]
    cores: usize,
    /// How long the steady state is watched, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Changes of the configuration whose way is timed.
    #[arg(long, default_value_t = 20)]
    changes: usize,
    /// Where the figures go, as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// What a rehearsal measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleRun {
    /// Hollow edge heads.
    pub edges: usize,
    /// Hollow bricks.
    pub bricks: usize,
    /// Models.
    pub models: usize,
    /// Control heads.
    pub cores: usize,
    /// Until every edge knew every brick and the configuration, milliseconds.
    pub settled_ms: f64,
    /// Processor time of the busiest and of the mean control head in the steady state, cores.
    pub core_cpu_most: f64,
    /// The mean.
    pub core_cpu_mean: f64,
    /// Memory of the largest control head, megabytes.
    pub core_memory_mb: f64,
    /// Bytes a second that one edge got from all cores, and sent to them.
    pub edge_in_bytes_s: f64,
    /// Sent.
    pub edge_out_bytes_s: f64,
    /// Heartbeats a second that were acknowledged, and the part that was not.
    pub heartbeats_s: f64,
    /// Not acknowledged.
    pub heartbeats_failed_part: f64,
    /// From an acknowledgement until an edge had the change in force: half of the edges, 99 in 100, all; milliseconds.
    pub change_p50_ms: f64,
    /// 99 in 100.
    pub change_p99_ms: f64,
    /// All, the slowest change.
    pub change_most_ms: f64,
    /// Bytes that one change brought to one edge.
    pub change_bytes: f64,
    /// From the end of the leader until the next change was acknowledged, milliseconds.
    pub leader_lost_ms: f64,
}

const PATIENCE: Duration = Duration::from_secs(60);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOOK: Duration = Duration::from_millis(2);
const CLOCK_TICKS_PER_S: f64 = 100.0;

struct Core {
    control: SocketAddr,
    child: Child,
}

impl Drop for Core {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Stage {
    folder: PathBuf,
    cores: Vec<Core>,
    edges: Vec<HollowEdge>,
    counts: Arc<BrickCounts>,
    version: u64,
    models: usize,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.cores.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Plays the rehearsal and prints its figures.
pub fn run(plan: &ScalePlan) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let measured = runtime.block_on(measure(plan))?;
    let text = serde_json::to_string_pretty(&measured)?;
    println!("{text}");
    if let Some(path) = &plan.out {
        fs::write(path, format!("{text}\n")).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

async fn measure(plan: &ScalePlan) -> Result<ScaleRun> {
    let mut stage = Stage::start(plan)?;
    let start = Instant::now();
    stage.change().await?;
    let bricks = plan.bricks;
    let version = stage.version;
    stage
        .until("every edge knows all bricks and the configuration", |stage| {
            stage.edges.iter().all(|edge| edge.bricks() >= bricks && edge.configuration_version() == version)
        })
        .await?;
    let settled_ms = millis(start.elapsed());
    let steady = stage.watch(plan.seconds).await?;
    let (delays, change_bytes) = stage.time_changes(plan.changes).await?;
    let leader_lost_ms = stage.lose_the_leader().await?;
    let at = |part: f64| delays[((delays.len() - 1) as f64 * part) as usize];
    Ok(ScaleRun {
        edges: plan.edges,
        bricks: plan.bricks,
        models: plan.models,
        cores: plan.cores,
        settled_ms,
        change_p50_ms: at(0.5),
        change_p99_ms: at(0.99),
        change_most_ms: at(1.0),
        change_bytes,
        leader_lost_ms,
        ..steady
    })
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

impl Stage {
    fn start(plan: &ScalePlan) -> Result<Stage> {
        ensure!(plan.cores >= 1 && plan.edges >= 1, "a rehearsal needs a core and an edge");
        let folder = std::env::temp_dir().join(format!("pathbank-scale-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let process = (std::process::id() % 200) as u8 + 20;
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, process, 0, host));
        let (internal, control_port) = (free_port(ip(1))?, free_port(ip(1))?);
        let control: Vec<SocketAddr> =
            (1..=plan.cores).map(|host| SocketAddr::new(ip(host as u8), control_port)).collect();
        let seeds: Vec<String> = control.iter().take(3).map(SocketAddr::to_string).collect();
        let common = format!(
            "internal_port_range={internal},{internal}\nseed_nodes={}\nbootstrap=true\nheartbeat_ms={}\n\
             limits.max_fds=60000\nlog_level=error\n",
            seeds.join(","),
            HEARTBEAT.as_millis()
        );
        let cores = control
            .iter()
            .enumerate()
            .map(|(number, address)| start_core(&folder, number, *address, &common));
        let cores = cores.collect::<Result<Vec<Core>>>()?;
        let edge = |number: usize| {
            let own = format!("node_name=edge-{number}\nzone=z{}\nip={}\n{common}", number % 12, ip(200));
            Ok(HollowEdge::start(Settings::parse(&own)?))
        };
        let edges = (0..plan.edges).map(edge).collect::<Result<Vec<HollowEdge>>>()?;
        let counts = Arc::new(BrickCounts::default());
        for number in 0..plan.bricks {
            tokio::spawn(hollow::brick(number, plan.models, HEARTBEAT, control.clone(), counts.clone()));
        }
        for edge in &edges {
            tokio::spawn(hollow::reports(edge.clone(), plan.bricks, plan.models));
        }
        Ok(Stage { folder, cores, edges, counts, version: 0, models: plan.models })
    }

    /// Looks again and again until something holds.
    async fn until(&self, what: &str, holds: impl Fn(&Stage) -> bool) -> Result<()> {
        let start = Instant::now();
        while !holds(self) {
            ensure!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
            self.edges.iter().for_each(HollowEdge::look);
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Makes the next configuration and waits for its acknowledgement.
    async fn change(&mut self) -> Result<()> {
        let (base, version) = (self.version, self.version + 1);
        let body = if base == 0 { whole_document(self.models) } else { small_update(version) };
        let path = if base == 0 { "/api/config/replace" } else { "/api/config/update" };
        let start = Instant::now();
        loop {
            for core in &self.cores {
                let (control, body, path) = (core.control, body.clone(), path.to_owned());
                let call = move || call(control, "POST", &path, Some(base), &body);
                if matches!(tokio::task::spawn_blocking(call).await?, Ok(answer) if answer.status == 200) {
                    self.version = version;
                    return Ok(());
                }
            }
            ensure!(start.elapsed() < PATIENCE, "version {version} was not acknowledged within {PATIENCE:?}");
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn watch(&self, seconds: u64) -> Result<ScaleRun> {
        let cpu = || self.cores.iter().map(|core| cpu_seconds(&core.child)).collect::<Result<Vec<f64>>>();
        let (before, bytes) = (cpu()?, traffic());
        let beats = self.counts.acknowledged.load(Ordering::Relaxed);
        let failed = self.counts.failed.load(Ordering::Relaxed);
        for _ in 0..seconds * 10 {
            self.edges.iter().for_each(HollowEdge::look);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let span = seconds as f64;
        let used: Vec<f64> =
            cpu()?.iter().zip(&before).map(|(after, before)| (after - before) / span).collect();
        let memory = self.cores.iter().map(|core| memory_mb(&core.child)).collect::<Result<Vec<f64>>>()?;
        let (now, edges) = (traffic(), self.edges.len() as f64);
        let beats = (self.counts.acknowledged.load(Ordering::Relaxed) - beats) as f64;
        let failed = (self.counts.failed.load(Ordering::Relaxed) - failed) as f64;
        Ok(ScaleRun {
            edges: 0,
            bricks: 0,
            models: 0,
            cores: 0,
            settled_ms: 0.0,
            core_cpu_most: used.iter().copied().fold(0.0, f64::max),
            core_cpu_mean: used.iter().sum::<f64>() / used.len() as f64,
            core_memory_mb: memory.into_iter().fold(0.0, f64::max),
            edge_in_bytes_s: (now.received - bytes.received) as f64 / span / edges,
            edge_out_bytes_s: (now.sent - bytes.sent) as f64 / span / edges,
            heartbeats_s: beats / span,
            heartbeats_failed_part: failed / (beats + failed).max(1.0),
            change_p50_ms: 0.0,
            change_p99_ms: 0.0,
            change_most_ms: 0.0,
            change_bytes: 0.0,
            leader_lost_ms: 0.0,
        })
    }

    /// Delays of all edges over all changes, in order, and what a change brought to one edge beyond the steady bytes.
    async fn time_changes(&mut self, changes: usize) -> Result<(Vec<f64>, f64)> {
        let mut delays = Vec::new();
        let mut bytes = 0.0;
        for _ in 0..changes.max(1) {
            let before = traffic().received;
            self.change().await?;
            let (start, version) = (Instant::now(), self.version);
            let mut waiting: Vec<&HollowEdge> = self.edges.iter().collect();
            while !waiting.is_empty() {
                ensure!(start.elapsed() < PATIENCE, "version {version} is not in force everywhere");
                let in_force = |edge: &&HollowEdge| edge.configuration_version() >= version;
                let done = waiting.iter().filter(|edge| in_force(edge)).count();
                delays.extend(std::iter::repeat_n(millis(start.elapsed()), done));
                waiting.retain(|edge| !in_force(edge));
                waiting.iter().for_each(|edge| edge.look());
                tokio::time::sleep(LOOK).await;
            }
            bytes += (traffic().received - before) as f64 / self.edges.len() as f64;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        delays.sort_by(f64::total_cmp);
        Ok((delays, bytes / changes.max(1) as f64))
    }

    async fn lose_the_leader(&mut self) -> Result<f64> {
        let mut leader = None;
        for (number, core) in self.cores.iter().enumerate() {
            let control = core.control;
            let answer =
                tokio::task::spawn_blocking(move || call(control, "GET", "/api/status", None, "")).await?;
            if answer.is_ok_and(|answer| answer.body.contains("\"role\":\"Leader\"")) {
                leader = Some(number);
            }
        }
        let leader = leader.context("no leader")?;
        drop(self.cores.remove(leader));
        let start = Instant::now();
        self.change().await?;
        Ok(millis(start.elapsed()))
    }
}

fn start_core(folder: &Path, number: usize, control: SocketAddr, common: &str) -> Result<Core> {
    let settings = folder.join(format!("core-{number}.conf"));
    let data = folder.join(format!("data-{number}"));
    let text = format!(
        "node_name=core-{number}\nzone=z{number}\nip={}\nlisteners_map.control_plane={control}\ndata_dir={}\n{common}",
        control.ip(),
        data.display()
    );
    fs::write(&settings, text)?;
    let child = Command::new(std::env::current_exe()?)
        .arg("core")
        .env(crate::settings::SETTINGS_VARIABLE, &settings)
        .stderr(Stdio::null())
        .spawn()?;
    Ok(Core { control, child })
}

fn whole_document(models: usize) -> String {
    let model = |number| serde_json::json!({ "name": format!("m{number}"), "weights_mb": 70_000.0, "load_s": 4.0, "adapters": 0, "adapter_mb": 66.0 });
    let models: Vec<_> = (0..models).map(model).collect();
    serde_json::json!({
        "version": 1, "routes": [route(15_000)],
        "backends": [{ "name": "llm", "runtime": { "capacity": 64, "kv_capacity": 120_000, "models": models,
            "weights_mb": 220_000.0, "max_adapters": 8, "loads_per_s": 1.0 } }],
        "tenants": [{ "name": "tenant-0", "api_keys": ["key"] }],
    })
    .to_string()
}

fn small_update(version: u64) -> String {
    serde_json::json!({ "version": version, "upsert": { "routes": [route(15_000 + version)] } }).to_string()
}

fn route(timeout_ms: u64) -> serde_json::Value {
    serde_json::json!({ "name": "r", "hostname": "a.example", "path_prefix": "/a/", "type": "streaming",
        "timeout_ms": timeout_ms, "target_latency_ms": 1000, "backend": "llm", "max_attempts": 2 })
}

fn free_port(ip: IpAddr) -> Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Processor time of a process so far (`proc(5)`, stat: fields 14 and 15).
fn cpu_seconds(child: &Child) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
    let fields = text.rsplit_once(')').context("stat")?.1;
    let ticks: f64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / CLOCK_TICKS_PER_S)
}

/// Memory of a process (`proc(5)`, status: VmRSS, kilobytes).
fn memory_mb(child: &Child) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{}/status", child.id()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("VmRSS")?;
    let kilobytes: f64 = line.split_whitespace().next().context("VmRSS")?.parse()?;
    Ok(kilobytes / 1_024.0)
}
