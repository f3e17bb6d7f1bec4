//! A small system of real processes on loopback, with stand-ins for bricks, clients and the operator.
//! Standard library only.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = "target/release/pathbank-system";

/// What was sent, answered and run, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = fs::File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), lines: Arc::new(Mutex::new(file)) }
    }
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn say(&self, text: &str) {
        let mut file = self.lines.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), text);
    }
}

/// One process of a role. It is killed when it is dropped.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("PATHBANK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.child = Some(child);
        // What bootstrap says counts for the very first start only.
        let text = fs::read_to_string(&self.settings).unwrap();
        let later = self.settings.with_extension("later");
        fs::write(later, text.replace("bootstrap=true", "bootstrap=false")).unwrap();
    }
    pub fn restart(&mut self) {
        self.kill();
        fs::copy(self.settings.with_extension("later"), &self.settings).unwrap();
        self.start();
    }
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    /// `STOP`, `CONT`, `TERM` or `HUP` to this process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        }
    }
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
    pub fn has_ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Cores and edges, each at a loopback address of its own.
pub struct System {
    pub cores: Vec<Process>,
    pub edges: Vec<Process>,
    pub controls: Vec<SocketAddr>,
    pub ingresses: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
    pub folder: PathBuf,
    net: [u8; 2],
    next_port: AtomicU64,
}

impl Drop for System {
    fn drop(&mut self) {
        self.edges.clear();
        self.cores.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
}

impl System {
    /// Writes settings like those of DEPLOY.md and starts everything.
    pub fn start(cores: u8, edges: u8, platform: Option<SocketAddr>, more: &str) -> System {
        let mut seed = std::process::id();
        let net = loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = [10 + (seed >> 24) as u8 % 200, (seed >> 16) as u8];
            let at = |host: u8, port: u16| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host)), port);
            let hosts = (1..=cores).chain((1..=edges).map(|edge| 100 + edge));
            if hosts.into_iter().all(|host| [8405, 8406, 8407, 7660].iter().all(|port| is_free(at(host, *port)))) {
                break net;
            }
        };
        let ip = |host: u8| Ipv4Addr::new(127, net[0], net[1], host);
        let folder = std::env::temp_dir().join(format!("pathbank-review-{}-{}", std::process::id(), seed));
        fs::create_dir_all(&folder).unwrap();
        let seeds: Vec<String> = (1..=cores.min(3)).map(|core| format!("{}:8407", ip(core))).collect();
        let zones = ["north", "south", "west"];
        let common = format!(
            "region=lk-west\nzones.north=lk-west\nzones.south=lk-west\nzones.west=lk-west\n\
             internal_port_range=7660,7675\nseed_nodes={}\nbootstrap=true\nlimits.max_fds=4100\n\
             discovery=registration\nentry_point=vip\nheartbeat_ms=1200\n\
             guarantees=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,leader\n\
             fault_tolerance.nodes=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.downgrade_ms=250\nbounds.max_skew_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=56\n\
             bounds.fencing_enabled=false\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n\
             bounds.report_window_s=5\nbounds.usage_tolerance=0.05\nbounds.usage_delay_s=10\n\
             bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.ceiling_window_s=5\n\
             bounds.ceiling_overshoot=1.1\n{}{more}",
            seeds.join(","),
            platform.map_or(String::new(), |address| format!(
                "cloud_api.address={address}\ncloud_api.rate_per_s=50.0\n\
                 cloud_api.duties=usage_reporting,autoscale\ncloud_api.duty_per_s=50.0\n"
            )),
        );
        let process = |name: String, role: &'static str, text: String| {
            let settings = folder.join(format!("{name}.conf"));
            fs::write(&settings, text).unwrap();
            Process { log: folder.join(format!("{name}.log")), name, role, settings, child: None }
        };
        let mut system = System {
            cores: Vec::new(),
            edges: Vec::new(),
            controls: (1..=cores).map(|core| format!("{}:8407", ip(core)).parse().unwrap()).collect(),
            ingresses: Vec::new(),
            readiness: Vec::new(),
            folder: folder.clone(),
            net,
            next_port: AtomicU64::new(9000),
        };
        for core in 1..=cores {
            let data = folder.join(format!("data-{core}"));
            fs::create_dir_all(&data).unwrap();
            let zone = zones[(core as usize - 1) % 3];
            let text = format!(
                "node_name=core-{core}\nrole=core\nmachine_class=core\nserves=control_plane\nip={ip}\nzone={zone}\n\
                 listeners_map.control_plane={ip}:8407\ncounts_for_quorum=true\nlimits.memory_mb=256\n\
                 limits.disk_mb=128\ndata_dir={}\n{common}",
                data.display(),
                ip = ip(core),
            );
            system.cores.push(process(format!("core-{core}"), "core", text));
        }
        for edge in 1..=edges {
            let ip = ip(100 + edge);
            let zone = zones[(edge as usize - 1) % 3];
            let text = format!(
                "node_name=edge-{edge}\nrole=edge\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\n\
                 listeners_map.ingress={ip}:8405\nlisteners_map.readiness={ip}:8406\ncounts_for_quorum=false\n\
                 limits.memory_mb=260\nlimits.disk_mb=0\n{common}",
            );
            system.ingresses.push(format!("{ip}:8405").parse().unwrap());
            system.readiness.push(format!("{ip}:8406").parse().unwrap());
            system.edges.push(process(format!("edge-{edge}"), "edge", text));
        }
        system.cores.iter_mut().for_each(Process::start);
        system.edges.iter_mut().for_each(Process::start);
        system
    }

    /// An address for a stand-in brick.
    pub fn brick_address(&self) -> SocketAddr {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed) as u16;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], 200)), port)
    }

    pub fn wait_for_leader(&self, within: Duration) -> Option<usize> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            for (position, control) in self.controls.iter().enumerate() {
                if let Ok(answer) = call(*control, "GET", "/api/status", &[], b"", Duration::from_millis(500)) {
                    let text = answer.text();
                    if text.contains("\"role\":\"Leader\"") && text.contains("\"current\":true") {
                        return Some(position);
                    }
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    pub fn wait_ready(&self, edge: usize, within: Duration) -> bool {
        until(within, || {
            call(self.readiness[edge], "GET", "/api/readyz", &[], b"", Duration::from_millis(500))
                .is_ok_and(|answer| answer.status == 200)
        })
    }

    /// An operator's call: follows two redirects, moves on to another core after a failure or a 5xx.
    pub fn operator(&self, record: &Record, method: &str, path: &str, base: u64, body: &str) -> Option<Answer> {
        let until = Instant::now() + Duration::from_secs(12);
        let mut core = 0;
        while Instant::now() < until {
            let mut address = self.controls[core % self.controls.len()];
            core += 1;
            for _ in 0..3 {
                let base = base.to_string();
                let headers = [("content-type", "application/json"), ("x-pathbank-base-version", base.as_str())];
                let answer = call(address, method, path, &headers, body.as_bytes(), Duration::from_secs(4));
                let Ok(answer) = answer else { break };
                if answer.status == 307 {
                    let to = answer.header("location").unwrap_or_default();
                    let host = to.trim_start_matches("http://").split('/').next().unwrap_or_default();
                    match host.parse() {
                        Ok(other) => address = other,
                        Err(_) => break,
                    }
                    continue;
                }
                if answer.status >= 500 || answer.status == 408 || answer.status == 429 {
                    break;
                }
                record.say(&format!("operator {method} {path} on {base}: {} {}", answer.status, answer.short()));
                return Some(answer);
            }
            thread::sleep(Duration::from_millis(150));
        }
        record.say(&format!("operator {method} {path} on {base}: no clear answer"));
        None
    }
}

pub fn until(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + within;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
    pub fn short(&self) -> String {
        self.text().chars().take(160).collect::<String>().replace('\n', " ")
    }
}

/// The head of a request or an answer: its first line and its headers, names in lower case.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, Vec<u8>)>)> {
    let line = |reader: &mut dyn BufRead| -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        reader.read_until(b'\n', &mut bytes)?;
        if bytes.last() != Some(&b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while matches!(bytes.last(), Some(b'\n' | b'\r')) {
            bytes.pop();
        }
        Ok(bytes)
    };
    let first = String::from_utf8_lossy(&line(reader)?).into_owned();
    let mut headers = Vec::new();
    loop {
        let bytes = line(reader)?;
        if bytes.is_empty() {
            return Ok((first, headers));
        }
        let colon = bytes.iter().position(|byte| *byte == b':').ok_or(io::ErrorKind::InvalidData)?;
        let name = String::from_utf8_lossy(&bytes[..colon]).to_ascii_lowercase();
        headers.push((name, bytes[colon + 1..].trim_ascii().to_vec()));
    }
}

fn value<'a>(headers: &'a [(String, Vec<u8>)], name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_slice())
}

pub fn read_body(reader: &mut impl BufRead, headers: &[(String, Vec<u8>)], to_end: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if value(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::ErrorKind::UnexpectedEof)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    match value(headers, "content-length").and_then(|length| std::str::from_utf8(length).ok()?.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

pub fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, within.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    Ok(stream)
}

pub fn request_bytes(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn call(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], within: Duration) -> io::Result<Answer> {
    let mut stream = connect(address, within)?;
    stream.write_all(&request_bytes(address, method, path, headers, body))?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = read_body(&mut reader, &headers, true)?;
    Ok(Answer { status, headers, body })
}

// ---- bricks ----

/// A request that reached a brick.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Run {
    pub fn header(&self, name: &str) -> Option<String> {
        value(&self.headers, name).map(|value| String::from_utf8_lossy(value).into_owned())
    }
}

pub type Handler = Arc<dyn Fn(&Run, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// The models of a stand-in brick, and the orders that it has taken.
#[derive(Debug, Default)]
pub struct Engine {
    /// Models in memory.
    pub models: Vec<String>,
    /// Weights by model, MB, and the room for them.
    pub weights_mb: Vec<(String, f64)>,
    pub room_mb: f64,
    pub load_ms: u64,
    pub sequence: u64,
    pub busy: bool,
    /// Every order that reached the brick, with its answer.
    pub orders: Vec<String>,
}

impl Engine {
    fn used_mb(&self) -> f64 {
        let of = |name: &String| self.weights_mb.iter().find(|(known, _)| known == name).map_or(0.0, |(_, mb)| *mb);
        self.models.iter().map(of).sum()
    }
    fn models_json(&self) -> String {
        let one = |name: &String| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
        format!("[{}]", self.models.iter().map(one).collect::<Vec<_>>().join(","))
    }
}

/// The value of a key in a flat JSON text.
pub fn json_field(text: &str, key: &str) -> Option<String> {
    let start = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = text[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => Some(rest[..rest.find('"')?].to_owned()),
        None => Some(rest[..rest.find([',', '}'])?].trim().to_owned()),
    }
}

fn take_order(engine: &Arc<Mutex<Engine>>, own: &str, record: &Record, body: &str) -> u16 {
    let mut held = engine.lock().unwrap();
    let operation = json_field(body, "operation").unwrap_or_default();
    let model = json_field(body, "model").unwrap_or_default();
    let revision = json_field(body, "if_revision").and_then(|revision| revision.parse::<u64>().ok());
    let has = held.models.contains(&model);
    let size = held.weights_mb.iter().find(|(known, _)| *known == model).map_or(0.0, |(_, mb)| *mb);
    let status = if held.busy || revision.is_some_and(|revision| revision != held.sequence) {
        409
    } else if has == (operation == "model_load") {
        200
    } else if operation == "model_load" && held.used_mb() + size > held.room_mb {
        record.say(&format!("brick {own} is ordered beyond its room: {model}"));
        400
    } else {
        held.sequence += 1;
        held.busy = true;
        let (later, load_ms, name, loads) = (engine.clone(), held.load_ms, model.clone(), operation == "model_load");
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(load_ms));
            let mut held = later.lock().unwrap();
            held.models.retain(|known| *known != name);
            if loads {
                held.models.push(name);
            }
            held.busy = false;
        });
        202
    };
    let line = format!("brick {own} is ordered {operation} {model}: {status}");
    record.say(&line);
    held.orders.push(line);
    status
}

/// A stand-in brick.
pub struct Brick {
    pub engine: Option<Arc<Mutex<Engine>>>,
    pub instance: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub stop: Arc<AtomicBool>,
    pub draining: Arc<AtomicBool>,
    pub silent: Arc<AtomicBool>,
}

impl Brick {
    pub fn start(
        system: &System,
        record: &Record,
        instance: &str,
        backend: &str,
        zone: &str,
        capacity: u32,
        engine: Option<Engine>,
        handler: Handler,
    ) -> Brick {
        let engine = engine.map(|engine| Arc::new(Mutex::new(engine)));
        let (listener, address) = loop {
            let address = system.brick_address();
            if let Ok(listener) = TcpListener::bind(address) {
                break (listener, address);
            }
        };
        let brick = Brick {
            engine: engine.clone(),
            instance: instance.to_owned(),
            address,
            runs: Arc::default(),
            stop: Arc::default(),
            draining: Arc::default(),
            silent: Arc::default(),
        };
        let (runs, own, said) = (brick.runs.clone(), instance.to_owned(), record.clone());
        let (held, ended) = (engine.clone(), brick.stop.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (runs, own, said, handler) = (runs.clone(), own.clone(), said.clone(), handler.clone());
                let (held, ended) = (held.clone(), ended.clone());
                thread::spawn(move || serve(stream, &runs, &own, &said, held.as_ref(), &ended, &handler));
            }
        });
        let (stop, draining, silent) = (brick.stop.clone(), brick.draining.clone(), brick.silent.clone());
        let (own, backend, zone, controls) = (instance.to_owned(), backend.to_owned(), zone.to_owned(), system.controls.clone());
        thread::spawn(move || {
            let (mut sequence, mut core) = (0_u64, 0);
            while !stop.load(Ordering::Relaxed) {
                if !silent.load(Ordering::Relaxed) {
                    sequence += 1;
                    let state = if draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
                    let models = engine.as_ref().map_or("[]".to_owned(), |engine| engine.lock().unwrap().models_json());
                    let body = format!(
                        "{{\"backend\":\"{backend}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                         \"capacity\":{capacity},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
                         \"phase\":\"prefill_decode\",\"models\":{models},\"sequence\":{sequence}}}"
                    );
                    for _ in 0..controls.len() {
                        let control = controls[core % controls.len()];
                        let path = format!("/api/instances/{own}/heartbeat");
                        let headers = [("content-type", "application/json")];
                        let answer = call(control, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
                        if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                            break;
                        }
                        core += 1;
                    }
                }
                thread::sleep(Duration::from_millis(600));
            }
        });
        brick
    }

    /// Ends for good, and says nothing.
    pub fn crash(&self) {
        self.stop.store(true, Ordering::Relaxed);
        // The listener's thread notices the end with the next connection.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn serve(
    stream: TcpStream,
    runs: &Mutex<Vec<Run>>,
    own: &str,
    record: &Record,
    engine: Option<&Arc<Mutex<Engine>>>,
    ended: &AtomicBool,
    handler: &Handler,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok((first, headers)) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &headers, false) else { return };
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or_default().to_owned(), words.next().unwrap_or_default().to_owned());
        let run = Run { at_ms: record.ms(), method, path, headers, body };
        let id = run.header("x-pathbank-request-id").unwrap_or_default();
        let target = run.header("x-pathbank-target-instance");
        let is_other = target.as_deref().is_some_and(|target| target != own);
        if !is_other && let Some(engine) = engine.filter(|_| path_is(&run, "/api/report")) {
            let held = engine.lock().unwrap();
            let body = format!(
                "{{\"phase\":\"prefill_decode\",\"models\":{},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":0}}",
                held.models_json(),
                held.busy,
                held.sequence
            );
            let _ = write!(
                writer,
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            continue;
        }
        if !is_other && let Some(engine) = engine.filter(|_| path_is(&run, "/api/order")) {
            let status = take_order(engine, own, record, &String::from_utf8_lossy(&run.body));
            let _ = write!(writer, "HTTP/1.1 {status} Order\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        let model = run.header("x-pathbank-model");
        let lacks = |engine: &Arc<Mutex<Engine>>| {
            model.as_ref().is_some_and(|model| !engine.lock().unwrap().models.contains(model))
        };
        if is_other || engine.is_some_and(lacks) {
            let _ = write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nx-pathbank-request-id: {id}\r\n\
                 x-pathbank-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            continue;
        }
        record.say(&format!(
            "brick {own} runs {} {} id={id} tenant={}",
            run.method,
            run.path,
            run.header("x-pathbank-tenant").unwrap_or_else(|| "(no header)".into())
        ));
        runs.lock().unwrap().push(run.clone());
        match handler(&run, &mut writer) {
            Ok(true) => {}
            _ => return,
        }
    }
}

fn path_is(run: &Run, path: &str) -> bool {
    run.path.split('?').next() == Some(path)
}

/// A whole answer with the brick's stamp.
pub fn answer_ok(run: &Run, writer: &mut TcpStream, body: &str) -> io::Result<bool> {
    let id = run.header("x-pathbank-request-id").unwrap_or_default();
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nx-pathbank-request-id: {id}\r\nx-pathbank-response-signature: stamp-{id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    Ok(true)
}

pub fn plain_handler() -> Handler {
    Arc::new(|run, writer| answer_ok(run, writer, "done"))
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn counts(items: &[String]) -> BTreeMap<String, usize> {
    let mut counted = BTreeMap::new();
    items.iter().for_each(|item| *counted.entry(item.clone()).or_default() += 1);
    counted
}

/// Ends the case with exit 2; all processes are ended on the way out.
pub fn could_not_run(record: &Record, why: &str) -> ! {
    record.say(&format!("could not run: {why}"));
    println!("could not run: {why}");
    std::panic::resume_unwind(Box::new("could not run"))
}

pub fn exists(path: &str) -> bool {
    Path::new(path).exists()
}
