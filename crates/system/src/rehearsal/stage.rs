//! The processes and hollow parts of one rehearsal.

use super::hollow;
use super::scale::{ScalePlan, ScaleRun};
use crate::command::call;
use crate::edge::hollow::HollowEdge;
use crate::net::link::traffic;
use crate::settings::Settings;
use crate::stand_in::HeartbeatCounts;
use anyhow::{Context, Result, ensure};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

const TIMEOUT: Duration = Duration::from_secs(60);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOOK: Duration = Duration::from_millis(2);
const ZONES: usize = 12;
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Every so many edges are one region: a fifth of all.
const REGIONS: usize = 5;

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

/// Real cores, hollow edges and model servers.
pub struct Stage {
    folder: PathBuf,
    cores: Vec<Core>,
    edges: Vec<HollowEdge>,
    /// Tasks that report in the edges' names.
    reports: Vec<AbortHandle>,
    counts: Arc<HeartbeatCounts>,
    version: u64,
    models: usize,
    servers: usize,
    /// Settings that all processes share.
    common: String,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.cores.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A span as milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

impl Stage {
    /// Starts all of it.
    pub fn start(plan: &ScalePlan) -> Result<Stage> {
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
        let counts = Arc::<HeartbeatCounts>::default();
        for number in 0..plan.servers {
            tokio::spawn(hollow::server(number, plan.models, HEARTBEAT, control.clone(), counts.clone()));
        }
        let mut stage = Stage {
            folder,
            cores,
            edges: Vec::new(),
            reports: Vec::new(),
            counts,
            version: 0,
            models: plan.models,
            servers: plan.servers,
            common,
        };
        for number in 0..plan.edges {
            let (edge, reports) = stage.start_edge(number)?;
            stage.edges.push(edge);
            stage.reports.push(reports);
        }
        Ok(stage)
    }

    fn start_edge(&self, number: usize) -> Result<(HollowEdge, AbortHandle)> {
        let ip = self.cores.first().context("no control head")?.control.ip();
        let zone = number % ZONES;
        let own = format!("node_name=edge-{number}\nzone=z{zone}\nip={ip}\n{}", self.common);
        let edge = HollowEdge::start(Settings::parse(&own)?);
        let reports = tokio::spawn(hollow::reports(edge.clone(), self.servers, self.models));
        Ok((edge, reports.abort_handle()))
    }

    fn knows_all(&self, edge: &HollowEdge) -> bool {
        edge.servers() >= self.servers && edge.configuration_version() == self.version
    }

    /// Waits until every edge has the newest configuration and every model server.
    pub async fn until_all_know(&self) -> Result<()> {
        self.until("every edge knows all model servers and the configuration", |stage| {
            stage.edges.iter().all(|edge| stage.knows_all(edge))
        })
        .await
    }

    /// Looks again and again until something holds.
    async fn until(&self, what: &str, holds: impl Fn(&Stage) -> bool) -> Result<()> {
        let start = Instant::now();
        while !holds(self) {
            ensure!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
            self.edges.iter().for_each(HollowEdge::maintain);
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Makes the next configuration and waits for its acknowledgement.
    pub async fn change(&mut self) -> Result<()> {
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
            ensure!(start.elapsed() < TIMEOUT, "version {version} was not acknowledged within {TIMEOUT:?}");
            tokio::time::sleep(LOOK).await;
        }
    }

    fn cpu(&self) -> Result<Vec<f64>> {
        self.cores.iter().map(|core| cpu_seconds(&core.child)).collect()
    }

    /// Cores that each core used since `before`, over a span.
    fn cpu_since(&self, before: &[f64], span: f64) -> Result<Vec<f64>> {
        Ok(self.cpu()?.iter().zip(before).map(|(after, before)| (after - before) / span).collect())
    }

    /// Watches the steady state.
    pub async fn watch(&self, seconds: u64, run: &mut ScaleRun) -> Result<()> {
        let (cpu, bytes) = (self.cpu()?, traffic());
        let beats = self.counts.acknowledged.load(Ordering::Relaxed);
        let failed = self.counts.failed.load(Ordering::Relaxed);
        for _ in 0..seconds * 10 {
            self.edges.iter().for_each(HollowEdge::maintain);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let span = seconds as f64;
        let used = self.cpu_since(&cpu, span)?;
        let memory = self.cores.iter().map(|core| memory_mb(&core.child)).collect::<Result<Vec<f64>>>()?;
        let (now, edges) = (traffic(), self.edges.len() as f64);
        let beats = (self.counts.acknowledged.load(Ordering::Relaxed) - beats) as f64;
        let failed = (self.counts.failed.load(Ordering::Relaxed) - failed) as f64;
        run.core_cpu_most = used.iter().copied().fold(0.0, f64::max);
        run.core_cpu_mean = used.iter().sum::<f64>() / used.len() as f64;
        run.core_memory_mb = memory.into_iter().fold(0.0, f64::max);
        run.edge_in_bytes_s = (now.received - bytes.received) as f64 / span / edges;
        run.edge_out_bytes_s = (now.sent - bytes.sent) as f64 / span / edges;
        run.heartbeats_s = beats / span;
        run.heartbeats_failed_part = failed / (beats + failed).max(1.0);
        Ok(())
    }

    /// Times changes on their way to all edges, and counts what one brings to one edge.
    pub async fn time_changes(&mut self, changes: usize, run: &mut ScaleRun) -> Result<()> {
        let mut delays = Vec::new();
        let mut bytes = 0.0;
        for _ in 0..changes.max(1) {
            let before = traffic().received;
            self.change().await?;
            let (start, version) = (Instant::now(), self.version);
            let mut waiting: Vec<&HollowEdge> = self.edges.iter().collect();
            while !waiting.is_empty() {
                ensure!(start.elapsed() < TIMEOUT, "version {version} is not in force everywhere");
                let in_force = |edge: &&HollowEdge| edge.configuration_version() >= version;
                let done = waiting.iter().filter(|edge| in_force(edge)).count();
                delays.extend(std::iter::repeat_n(millis(start.elapsed()), done));
                waiting.retain(|edge| !in_force(edge));
                waiting.iter().for_each(|edge| edge.maintain());
                tokio::time::sleep(LOOK).await;
            }
            bytes += (traffic().received - before) as f64 / self.edges.len() as f64;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        delays.sort_by(f64::total_cmp);
        run.change_bytes = bytes / changes.max(1) as f64;
        run.change_p50_ms = quantile(&delays, 0.5);
        run.change_p99_ms = quantile(&delays, 0.99);
        run.change_most_ms = quantile(&delays, 1.0);
        Ok(())
    }

    /// Cuts a fifth of the edges off from control, changes the configuration meanwhile, and times their
    /// return.
    pub async fn cut_a_region(&mut self, seconds: u64, run: &mut ScaleRun) -> Result<()> {
        let in_region = |number: &usize| number.is_multiple_of(REGIONS);
        let region: Vec<HollowEdge> =
            (0..self.edges.len()).filter(in_region).map(|number| self.edges[number].clone()).collect();
        region.iter().for_each(HollowEdge::cut_off);
        self.change().await?;
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let (start, before) = (Instant::now(), traffic().received);
        region.iter().for_each(HollowEdge::heal);
        self.until_all_know().await?;
        run.region_back_ms = millis(start.elapsed());
        run.region_back_bytes = (traffic().received - before) as f64 / region.len() as f64;
        Ok(())
    }

    /// Starts all edges again, evenly over a span, and times until each knows all.
    pub async fn restart_all(&mut self, seconds: u64, run: &mut ScaleRun) -> Result<()> {
        let apart = Duration::from_secs(seconds) / self.edges.len() as u32;
        let (cpu, start) = (self.cpu()?, Instant::now());
        let mut begun: Vec<(usize, Instant)> = Vec::new();
        let mut delays: Vec<f64> = Vec::new();
        let mut next = 0;
        while next < self.edges.len() || !begun.is_empty() {
            ensure!(start.elapsed() < Duration::from_secs(seconds) + TIMEOUT, "edges do not come back");
            while next < self.edges.len() && start.elapsed() >= apart * next as u32 {
                self.restart_edge(next)?;
                begun.push((next, Instant::now()));
                next += 1;
            }
            let (done, waiting): (Vec<_>, Vec<_>) =
                begun.iter().partition(|(number, _)| self.knows_all(&self.edges[*number]));
            delays.extend(done.iter().map(|(_, at)| millis(at.elapsed())));
            begun = waiting;
            begun.iter().for_each(|(number, _)| self.edges[*number].maintain());
            tokio::time::sleep(LOOK).await;
        }
        delays.sort_by(f64::total_cmp);
        run.restart_p50_ms = quantile(&delays, 0.5);
        run.restart_most_ms = quantile(&delays, 1.0);
        let used = self.cpu_since(&cpu, start.elapsed().as_secs_f64())?;
        run.restart_core_cpu = used.into_iter().fold(0.0, f64::max);
        Ok(())
    }

    /// All cores are killed and all edges stop at once; all start again together after a while.
    pub async fn all_dark(&mut self, seconds: u64, run: &mut ScaleRun) -> Result<()> {
        let control: Vec<SocketAddr> = self.cores.iter().map(|core| core.control).collect();
        self.cores.clear();
        self.edges.iter().for_each(HollowEdge::stop);
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let start = Instant::now();
        for (number, address) in control.into_iter().enumerate() {
            self.cores.push(start_core(&self.folder, number, address, &self.common)?);
        }
        for number in 0..self.edges.len() {
            self.restart_edge(number)?;
        }
        let mut configured: Vec<Option<f64>> = vec![None; self.edges.len()];
        while !self.edges.iter().all(|edge| self.knows_all(edge)) {
            ensure!(start.elapsed() < TIMEOUT, "service does not come back within {TIMEOUT:?}");
            for (edge, at) in self.edges.iter().zip(&mut configured) {
                edge.maintain();
                if at.is_none() && edge.configuration_version() == self.version {
                    *at = Some(millis(start.elapsed()));
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        run.dark_back_ms = millis(start.elapsed());
        let mut configured: Vec<f64> = configured.into_iter().flatten().collect();
        configured.sort_by(f64::total_cmp);
        run.dark_configured_p50_ms = quantile(&configured, 0.5);
        run.dark_configured_most_ms = quantile(&configured, 1.0);
        Ok(())
    }

    fn restart_edge(&mut self, number: usize) -> Result<()> {
        self.reports[number].abort();
        self.edges[number].stop();
        let (edge, reports) = self.start_edge(number)?;
        (self.edges[number], self.reports[number]) = (edge, reports);
        Ok(())
    }

    /// A day's changes, one right after the other.
    pub async fn play_a_day(&mut self, changes: usize, run: &mut ScaleRun) -> Result<()> {
        let start = Instant::now();
        for _ in 0..changes {
            self.change().await?;
        }
        run.day_changes_s = changes as f64 / start.elapsed().as_secs_f64();
        let acknowledged = Instant::now();
        self.until_all_know().await?;
        run.day_in_force_ms = millis(acknowledged.elapsed());
        Ok(())
    }

    /// Ends the leader, and times until the next change is acknowledged, milliseconds.
    pub async fn lose_the_leader(&mut self) -> Result<f64> {
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

/// The figure below which a part of the sorted figures lies; 0 where there are none.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1) as f64;
    sorted.get((last * part) as usize).copied().unwrap_or(0.0)
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
