//! The quick start: the whole system on loopback addresses of this machine, with a stand-in brick, and one request.

use crate::command::operator::call;
use crate::stand_in::drawn::DrawnLog;
use crate::stand_in::{self, StandInSettings, StandInState};
use anyhow::{Context, Result, ensure};
use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(50);
const CORES: u8 = 3;
const EDGE_HOST: u8 = 9;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts everything, shows a request's answer, and stops everything.
pub fn run() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("pathbank-demo-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let result = play(&folder);
    let _ = fs::remove_dir_all(&folder);
    result
}

fn play(folder: &Path) -> Result<()> {
    let process = (std::process::id() % 200) as u8 + 20;
    let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, process, 250, host));
    let free_port =
        |host: u8| Ok::<u16, anyhow::Error>(TcpListener::bind((ip(host), 0))?.local_addr()?.port());
    let (internal, control_port) = (free_port(1)?, free_port(1)?);
    let control: Vec<SocketAddr> = (1..=CORES).map(|host| SocketAddr::new(ip(host), control_port)).collect();
    let ingress = SocketAddr::new(ip(EDGE_HOST), free_port(EDGE_HOST)?);
    let readiness = SocketAddr::new(ip(EDGE_HOST), free_port(EDGE_HOST)?);
    let seeds: Vec<String> = control.iter().map(SocketAddr::to_string).collect();
    let common = format!(
        "zone=z\ninternal_port_range={internal}\nseed_nodes={}\nbootstrap=true\nheartbeat_ms=200\nlog_level=warn\n",
        seeds.join(",")
    );
    let mut processes = Vec::new();
    for (number, address) in control.iter().enumerate() {
        let data = folder.join(format!("data-{number}"));
        let own = format!(
            "ip={}\nlisteners_map.control_plane={address}\ndata_dir={}\n",
            address.ip(),
            data.display()
        );
        processes.push(start(folder, &format!("core-{number}"), "core", &(own + &common))?);
    }
    let own = format!(
        "ip={}\nlisteners_map.ingress={ingress}\nlisteners_map.readiness={readiness}\n",
        ingress.ip()
    );
    processes.push(start(folder, "edge-0", "edge", &(own + &common))?);
    println!("control planes: {}   clients: {ingress}", seeds.join(", "));
    start_brick(ingress.ip(), &control)?;
    until("the configuration is taken", || {
        call(control[0], "POST", "/api/config/replace", Some(0), &document())
            .is_ok_and(|answer| answer.status == 200)
    })?;
    println!("configuration taken; a request:");
    let mut answer = String::new();
    until("the request is answered", || {
        answer = ask(ingress).unwrap_or_default();
        answer.starts_with("HTTP/1.1 200")
    })?;
    println!("{answer}");
    Ok(())
}

fn start(folder: &Path, name: &str, role: &str, settings: &str) -> Result<Process> {
    let path = folder.join(format!("{name}.conf"));
    fs::write(&path, format!("node_name={name}\n{settings}"))?;
    let child = Command::new(std::env::current_exe()?)
        .arg(role)
        .env(crate::settings::SETTINGS_VARIABLE, &path)
        .stderr(Stdio::inherit())
        .spawn()
        .with_context(|| name.to_owned())?;
    Ok(Process(child))
}

/// The brick runs on a thread of its own until the process ends.
fn start_brick(ip: IpAddr, control: &[SocketAddr]) -> Result<()> {
    let settings = StandInSettings::new("i-demo", "llm", "z", &["m1"], control);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let brick = async move {
        if let Ok(listener) = tokio::net::TcpListener::bind((ip, 0)).await {
            let state = StandInState::new(&settings, DrawnLog::default());
            let _ = stand_in::run(listener, settings, state).await;
        }
    };
    std::thread::Builder::new().name("brick".into()).spawn(move || runtime.block_on(brick))?;
    Ok(())
}

fn until(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !holds() {
        ensure!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(LOOK_EVERY);
    }
    Ok(())
}

fn document() -> String {
    serde_json::json!({
        "version": 1,
        "routes": [{ "name": "chat", "hostname": "demo.example", "path_prefix": "/chat/", "type": "streaming",
            "timeout_ms": 8000, "target_latency_ms": 1000, "backend": "llm", "max_attempts": 2, "resumable": true }],
        "backends": [{ "name": "llm", "runtime": { "capacity": 8, "weights_mb": 100.0, "max_adapters": 2, "loads_per_s": 2.0,
            "models": [{ "name": "m1", "weights_mb": 40.0, "load_s": 0.1, "adapters": 0, "adapter_mb": 1.0 }] } }],
        "tenants": [{ "name": "demo", "api_keys": ["demo-key"] }],
    })
    .to_string()
}

fn ask(ingress: SocketAddr) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&ingress, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(
        b"POST /chat/1 HTTP/1.1\r\nHost: demo.example\r\nX-Pathbank-Request-Id: demo-1\r\nX-Pathbank-Model: m1\r\n\
          X-Pathbank-Token-Count: 5,5\r\nX-Pathbank-Credential: demo-key\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
