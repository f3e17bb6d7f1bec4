//! The quick start: the whole system on loopback addresses of this machine, with a stand-in model server, and
//! one request.

use crate::command::operator::call;
use crate::local::{LocalPlan, LocalSystem, until};
use crate::stand_in::drawn::DrawnLog;
use crate::stand_in::{self, StandInSettings, StandInState};
use anyhow::{Context, Result};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts everything, shows a request's answer, and stops everything.
pub fn run() -> Result<()> {
    let plan = LocalPlan { program: std::env::current_exe()?, cores: 3, edges: 1, zones: 1, quiet: false };
    let mut system = LocalSystem::new(&plan)?;
    system.start()?;
    let ingress = system.edges.first().context("an edge head")?.ingress;
    println!("control planes: {:?}   clients: {ingress}", system.control);
    start_server(system.server_address(0)?, &system.control)?;
    until("the configuration is taken", TIMEOUT, || {
        call(system.control[0], "POST", "/api/config/replace", Some(0), &document())
            .is_ok_and(|answer| answer.status == 200)
    })?;
    println!("configuration taken; a request:");
    let mut answer = String::new();
    until("the request is answered", TIMEOUT, || {
        answer = ask(ingress).unwrap_or_default();
        answer.starts_with("HTTP/1.1 200")
    })?;
    println!("{answer}");
    Ok(())
}

/// The model server runs on a thread of its own until the process ends.
fn start_server(address: SocketAddr, control: &[SocketAddr]) -> Result<()> {
    let settings = StandInSettings::new("i-demo", "llm", "z1", &["m1"], control);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let server = async move {
        if let Ok(listener) = tokio::net::TcpListener::bind(address).await {
            let state = StandInState::new(&settings, DrawnLog::default());
            let _ = stand_in::run(listener, settings, state).await;
        }
    };
    std::thread::Builder::new().name("brick".into()).spawn(move || runtime.block_on(server))?;
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
    let mut stream = TcpStream::connect_timeout(&ingress, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(
        b"POST /chat/1 HTTP/1.1\r\nHost: demo.example\r\nX-Pathbank-Request-Id: demo-1\r\nX-Pathbank-Model: m1\r\n\
          X-Pathbank-Token-Count: 5,5\r\nX-Pathbank-Credential: demo-key\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
