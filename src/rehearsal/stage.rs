//! The stage: discovery, and the real program as a process of its own.

use super::{Failure, Outcome, STUCK, STUCK_AMID_OTHERS, header, read_http, wait_for};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const LOOPBACK: &str = "127.0.0.1:0";
/// Between two looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(5);

/// One entry of the list of nodes.
pub fn entry(id: &str, address: SocketAddr, shard: u16, state: &str) -> Value {
    json!({"id": id, "addr": address.to_string(), "zone": "a", "kind": "k", "cell": shard, "state": state,
        "weight": 1.0, "started_ms": 0})
}

struct List {
    version: u64,
    nodes: Vec<Value>,
    watches: Vec<Sender<Value>>,
    /// Watches that were opened before have fallen silent so often.
    silences: u64,
}

/// Discovery's stand-in: a watch begins with the whole list, then has each change as it is told.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    deaf: Arc<AtomicBool>,
    /// One for each watch that was opened.
    pub watches: Receiver<()>,
}

impl Discovery {
    pub fn start(nodes: Vec<Value>) -> Outcome<Discovery> {
        let listener = TcpListener::bind(LOOPBACK)?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(List { version: 1, nodes, watches: Vec::new(), silences: 0 }));
        let (opened, watches) = channel();
        let deaf: Arc<AtomicBool> = Arc::default();
        let discovery = Discovery { address, list: list.clone(), deaf: deaf.clone(), watches };
        thread::spawn(move || {
            let mut unheard = Vec::new();
            for stream in listener.incoming().flatten() {
                if deaf.load(Ordering::Relaxed) {
                    unheard.push(stream);
                    continue;
                }
                unheard.clear();
                let (list, opened) = (list.clone(), opened.clone());
                // A head that ends breaks its watch; that is the end of this thread, and no fault.
                thread::spawn(move || watch(stream, &list, &opened));
            }
        });
        Ok(discovery)
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn tell(&self, node: Value) -> Outcome {
        self.change(node);
        super::check(!self.list().watches.is_empty(), "no head watches the list")
    }

    /// The same, whether or not any head watches.
    pub fn change(&self, node: Value) {
        let mut list = self.list();
        list.version += 1;
        list.nodes.retain(|known| known["id"] != node["id"]);
        list.nodes.push(node.clone());
        let change = json!({"version": list.version, "full": false, "servers": [node]});
        list.watches.retain(|watch| watch.send(change.clone()).is_ok());
    }

    /// Says nothing any more, not even its beat, on the watches that stand; those that are opened later are served.
    pub fn fall_silent(&self) {
        self.list().silences += 1;
    }

    /// Gives calls no answer any more, or again, to those that come then.
    pub fn fall_deaf(&self, deaf: bool) {
        self.deaf.store(deaf, Ordering::Relaxed);
    }
}

fn watch(mut stream: TcpStream, list: &Mutex<List>, opened: &Sender<()>) -> std::io::Result<()> {
    let lock = || list.lock().unwrap_or_else(PoisonError::into_inner);
    if read_http(&mut stream)?.is_none() {
        return Ok(());
    }
    let (sender, changes) = channel();
    let (whole, silences) = {
        let mut list = lock();
        list.watches.push(sender);
        (json!({"version": list.version, "full": true, "servers": list.nodes}), list.silences)
    };
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut chunk = |text: String| write!(stream, "{:x}\r\n{text}\r\n", text.len());
    chunk(format!("{whole}\n"))?;
    let _ = opened.send(());
    loop {
        let change = changes.recv_timeout(Duration::from_secs(2));
        if lock().silences > silences {
            continue;
        }
        match change {
            Ok(change) => chunk(format!("{change}\n"))?,
            Err(RecvTimeoutError::Timeout) => chunk("\n".to_string())?,
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
    }
}

/// What kind of deployment a case is played in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Site {
    /// Aims and deadlines of seconds; discovery is asked, answers report load, nobody talks to anybody.
    #[default]
    Asked,
    /// Aims of tenths, lists that are pushed, no reports, probes and messages between heads allowed, running work goes on,
    /// one attempt at a time, a long fall time.
    Pushed,
}

impl Site {
    pub const ALL: [Site; 2] = [Site::Asked, Site::Pushed];

    pub fn name(self) -> &'static str {
        match self {
            Site::Asked => "asked",
            Site::Pushed => "pushed",
        }
    }
}

thread_local! {
    static SITE: Cell<Site> = const { Cell::new(Site::Asked) };
}

/// The cases that this thread plays from here on are in that kind of deployment.
pub fn play_in(site: Site) {
    SITE.set(site);
}

/// How the head is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub site: Site,
    /// One of 40 heads, which may probe nodes and hear of their load only so; nothing is reserved.
    pub crowd: bool,
    /// Every class's deadline.
    pub deadline: Duration,
    pub sockets: usize,
    pub files: bool,
    /// Clients of the second front at once.
    pub file_clients: usize,
    /// The gRPC front's file, where it is on.
    pub grpc: Option<String>,
    pub memory_mb: usize,
    /// The log's file.
    pub log: String,
    pub syslog: Option<SocketAddr>,
    /// How long a node keeps an idle connection.
    pub keepalive: Duration,
    /// The operators' line is open.
    pub ops: bool,
    /// The clients' socket is held here, and passed to every process.
    pub shared: Option<Arc<Shared>>,
    /// The plan's limit on each volume: units a second, and at once. 0: none.
    pub limit: f64,
    pub burst: f64,
    /// Discovery answers: the stage is set once its watch stands.
    pub watched: bool,
    /// The head's name and number, and how many heads there are.
    pub name: String,
    pub number: u32,
    pub heads: u32,
    /// The agreement's file, where it is on.
    pub agree: Option<String>,
    /// Where each head hears datagrams, by its number; none: heads do not talk.
    pub peers: Vec<SocketAddr>,
    /// The file of the fleet's view, where it is on.
    pub fleet: Option<String>,
    /// Another process of it runs, and has the voter.
    pub second: bool,
    /// What its log tells.
    pub level: &'static str,
    /// Other settings than the site's own.
    pub settings: Option<Value>,
}

impl Default for Setup {
    fn default() -> Self {
        let keepalive = Duration::from_secs(30);
        Setup {
            site: SITE.get(),
            crowd: false,
            deadline: STUCK,
            sockets: 1024,
            files: false,
            file_clients: 1,
            grpc: None,
            memory_mb: 192,
            log: String::new(),
            syslog: None,
            keepalive,
            ops: false,
            shared: None,
            limit: 0.0,
            burst: 0.0,
            watched: true,
            name: "n0".into(),
            number: 0,
            heads: 1,
            agree: None,
            peers: Vec::new(),
            fleet: None,
            second: false,
            level: "info",
            settings: None,
        }
    }
}

/// A listening socket and a folder that the processes of one head share.
#[derive(Debug)]
pub struct Shared {
    listener: TcpListener,
    pub folder: PathBuf,
    /// Where the processes are told that it listens.
    pub address: SocketAddr,
}

impl Shared {
    pub fn new() -> Outcome<Shared> {
        static SERIAL: AtomicU64 = AtomicU64::new(0);
        let name =
            format!("pathbank-shared-{}-{}", std::process::id(), SERIAL.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let listener = TcpListener::bind(LOOPBACK)?;
        let address = listener.local_addr()?;
        Ok(Shared { listener, folder, address })
    }

    /// The same, said to listen elsewhere.
    pub fn at(mut self, address: SocketAddr) -> Shared {
        self.address = address;
        self
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A running head. It is ended with the stage.
pub struct Head {
    child: Child,
    config: PathBuf,
    file: Value,
    paths: PathBuf,
    calls: PathBuf,
    logs: PathBuf,
    agreement: PathBuf,
    view: PathBuf,
    reading: Arc<AtomicBool>,
    pub http: SocketAddr,
    /// Where the second front listens, if it is on.
    pub files: Option<SocketAddr>,
    /// Where the gRPC front listens, likewise.
    pub grpc: Option<SocketAddr>,
    /// Where operators call, likewise.
    pub ops: Option<SocketAddr>,
    /// Where its voter is asked, likewise.
    pub voter: Option<SocketAddr>,
    pub log: Receiver<String>,
}

impl Head {
    pub fn start(program: &Path, setup: &Setup, discovery: SocketAddr, known: Vec<Value>) -> Outcome<Head> {
        static SERIAL: AtomicU64 = AtomicU64::new(0);
        let name = format!("pathbank-{}-{}", std::process::id(), SERIAL.fetch_add(1, Ordering::Relaxed));
        let config = std::env::temp_dir().join(format!("{name}.json"));
        let paths = std::env::temp_dir().join(format!("{name}.toml"));
        let calls = std::env::temp_dir().join(format!("{name}.grpc.toml"));
        let listen = setup.shared.as_ref().map_or(LOOPBACK.to_string(), |shared| shared.address.to_string());
        let mut file = json!({"name": setup.name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets},
            "known": {"version": 1, "full": true, "servers": known}, "settings": setup.settings.clone().unwrap_or_else(|| settings(setup))});
        if setup.ops {
            file["ops"] = json!(LOOPBACK);
        }
        if let Some(own) = setup.peers.get(setup.number as usize) {
            file["peer_listen"] = json!(own);
            file["peers"] = json!(setup.peers);
        }
        std::fs::write(&config, file.to_string())?;
        std::fs::write(&paths, paths_file(setup))?;
        std::fs::write(&calls, setup.grpc.as_deref().unwrap_or("enabled = false\n"))?;
        let logs = std::env::temp_dir().join(format!("{name}.log.toml"));
        std::fs::write(&logs, &setup.log)?;
        let agreement = std::env::temp_dir().join(format!("{name}.agree.toml"));
        std::fs::write(&agreement, setup.agree.as_deref().unwrap_or("enabled = false\n"))?;
        let mut command = Command::new(program);
        command.env("PATHBANK_SYSLOG_FILE", &logs);
        command.env("GW_CONFIG", &config).env("PATHBANK_SFTP", &paths).env("PATHBANK_LOG", setup.level);
        let view = std::env::temp_dir().join(format!("{name}.fleet.toml"));
        std::fs::write(&view, setup.fleet.as_deref().unwrap_or("enabled = false\n"))?;
        command.env("PATHBANK_AGREE", &agreement).env("PATHBANK_FLEET", &view);
        command.env("PATHBANK_GRPC", &calls);
        match setup.syslog {
            Some(receiver) => command.env("PATHBANK_SYSLOG", receiver.to_string()),
            None => command.env_remove("PATHBANK_SYSLOG"),
        };
        command.stdin(Stdio::null());
        if let Some(shared) = &setup.shared {
            // Descriptor 0 is the one that every child can be given without unsafe code.
            command.stdin(OwnedFd::from(shared.listener.try_clone()?)).env("GW_PASSED_SOCKET", "0");
            command.env("TMPDIR", &shared.folder);
        }
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let (line, log) = channel();
        let errors = child.stderr.take().ok_or_else(|| Failure::Unmet("no standard error".into()))?;
        let reading = Arc::new(AtomicBool::new(true));
        let reads = reading.clone();
        thread::spawn(move || {
            for text in BufReader::new(errors).lines().map_while(Result::ok) {
                if !reads.load(Ordering::Relaxed) {
                    thread::park(); // for good: the pipe stays open, and fills
                }
                let _ = line.send(text); // read on all the same: a full pipe would stop the head
            }
        });
        let http = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut head = Head {
            child,
            config,
            file,
            paths,
            calls,
            logs,
            agreement,
            view,
            reading,
            http,
            files: None,
            grpc: None,
            ops: None,
            voter: None,
            log,
        };
        // In whatever order these come; the watch has told the whole list, so that from here on changes arrive.
        let mut waits = vec![" UP "];
        waits.extend(setup.watched.then_some(" WATCH "));
        waits.extend(setup.ops.then_some(" OPS_UP "));
        waits.extend(setup.files.then_some(" FILES_UP "));
        waits.extend(setup.grpc.is_some().then_some(" GRPC_UP "));
        waits.extend((setup.agree.is_some() && !setup.second).then_some(" AGREE "));
        while !waits.is_empty() {
            let fits = |line: &String| is_up(line) || waits.iter().any(|text| line.contains(text));
            let line = wait_for(&head.log, &waits.join(" and "), fits)?;
            waits.retain(|text| !(line.contains(text) || *text == " UP " && is_up(&line)));
            if is_up(&line) {
                head.http = address_in(&line)?;
            } else if line.contains(" FILES_UP ") {
                head.files = Some(address_in(&line)?);
            } else if line.contains(" OPS_UP ") {
                head.ops = Some(address_in(&line)?);
            } else if line.contains(" AGREE ") {
                head.voter = address_in(&line).ok();
            } else if line.contains(" GRPC_UP ") {
                head.grpc = Some(address_in(&line)?);
            }
        }
        Ok(head)
    }

    /// The lines of the log up to when each of these has been told, in whatever order.
    pub fn logged_each(&self, what: &str, wanted: &[&dyn Fn(&str) -> bool]) -> Outcome {
        let missing = RefCell::new((0..wanted.len()).collect::<Vec<_>>());
        let last = |line: &String| {
            let mut missing = missing.borrow_mut();
            missing.retain(|at| !wanted[*at](line));
            missing.is_empty()
        };
        wait_for(&self.log, what, last).map(drop)
    }

    /// The next line of the log that contains the text.
    pub fn logged(&self, text: &str) -> Outcome<String> {
        wait_for(&self.log, text, |line| line.contains(text))
    }

    pub fn files(&self) -> Outcome<SocketAddr> {
        self.files.ok_or_else(|| Failure::Unmet("the second front is off".into()))
    }

    pub fn grpc(&self) -> Outcome<SocketAddr> {
        self.grpc.ok_or_else(|| Failure::Unmet("the gRPC front is off".into()))
    }

    pub fn ops(&self) -> Outcome<SocketAddr> {
        self.ops.ok_or_else(|| Failure::Unmet("the operators' line is off".into()))
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Nobody reads its standard error any more.
    pub fn deaf(&self) {
        self.reading.store(false, Ordering::Relaxed);
    }

    /// Sends SIGHUP with another file for the log.
    pub fn reload_log(&self, text: &str) -> Outcome {
        std::fs::write(&self.logs, text)?;
        self.signal("HUP")
    }

    /// Sends SIGHUP with another value for one key of the configuration.
    pub fn reload(&self, key: &str, value: Value) -> Outcome {
        let mut file = self.file.clone();
        file[key] = value;
        std::fs::write(&self.config, file.to_string())?;
        self.signal("HUP")
    }

    pub fn terminate(&self) -> Outcome {
        self.signal("TERM")
    }

    /// Stands still, and goes on.
    pub fn stop(&self, stop: bool) -> Outcome {
        self.signal(if stop { "STOP" } else { "CONT" })
    }

    /// Ends at once, wherever it is.
    pub fn kill(&mut self) -> Outcome {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    fn signal(&self, name: &str) -> Outcome {
        let kill = format!("kill -{name} {}", self.child.id());
        let done = Command::new("/bin/sh").args(["-c", &kill]).status()?;
        super::check(done.success(), "the signal was not sent")
    }

    /// Waits for its end; an error where it does not come.
    pub fn ended(&mut self) -> Outcome<ExitStatus> {
        let until = Instant::now() + STUCK_AMID_OTHERS;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            super::check(Instant::now() < until, "the head never ended")?;
            thread::sleep(LOOK);
        }
    }
}

/// Before the events had a catalogue the line had no MSGID; benches play such a build as a twin.
fn is_up(line: &str) -> bool {
    line.contains(" UP ") || line.contains("] up")
}

fn address_in(line: &str) -> Outcome<SocketAddr> {
    let quoted = line.split("listen=\"").nth(1).and_then(|rest| rest.split('"').next());
    let address = quoted.and_then(|address| address.parse().ok());
    address.ok_or_else(|| Failure::Unmet(format!("no address in {line}")))
}

impl Drop for Head {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.paths);
        let _ = std::fs::remove_file(&self.calls);
        let _ = std::fs::remove_file(&self.logs);
        let _ = std::fs::remove_file(&self.agreement);
        let _ = std::fs::remove_file(&self.view);
    }
}

/// The second front's file.
fn paths_file(setup: &Setup) -> String {
    format!("enabled = {}\nclients = {}\n{PATHS}", setup.files, setup.file_clients)
}

const PATHS: &str = "listen = \"127.0.0.1:0\"\n[[paths]]\nprefix = \"/bundles/\"\n\
    plan = \"starter\"\nshards = [0]\nread_class = \"token-read\"\nwrite_class = \"receipt-write\"\n";

pub fn class(setup: &Setup, name: &str, effect: &str) -> Value {
    let deadline = setup.deadline.as_micros() as u64;
    let target = match setup.site {
        Site::Asked => deadline / 2,
        Site::Pushed => (deadline / 2).min(150_000),
    };
    json!({"name": name, "target": target, "hard_limit": deadline, "worth": 2.0, "late_value": 0.2,
        "idempotency": effect, "dedup_scope": "cell", "window": 60_000_000, "streamed": false})
}

pub fn settings(setup: &Setup) -> Value {
    let class = |name: &str, effect: &str| class(setup, name, effect);
    let mut settings = json!({"balancers": 1, "position": 0, "membership_mode": "subscribe", "tick": 2000,
        "profiles": [class("token-read", "idempotent"), class("receipt-write", "deduplicated"),
            class("once", "at_most_once")],
        "plans": [{"name": "starter", "nominal": 100.0, "floor_rate": 100.0, "proportion": 1.0,
            "worth_factor": 1.0, "limit": setup.limit, "burst": setup.burst}],
        "policy_limits": {"send_cap": 3, "cancel": true, "second_copies": true, "retry_after": true,
            "max_retry_after": 1_000_000, "connect_timeout": 250_000,
            "keepalive": setup.keepalive.as_micros() as u64},
        "contract": {"ask_within": 10_000_000, "stop_sending_within": 1_000_000, "answer_slack": 8000, "cold": 15_000_000, "cold_from": 0.18, "fall": 1_000_000,
            "fall_multiple": 2.5},
        "domain": {"young_limit": 4.0, "max_units": 8, "usual_units": 2.0, "share_worth": 0.4,
            "idle_worth": 0.08, "use_period": 2_000_000},
        "report": {"fields": ["backlog", "outstanding"], "how": "piggyback"}});
    if setup.site == Site::Pushed {
        settings["membership_mode"] = json!("automatic");
        settings["tick"] = json!(1000);
        settings["report"] = json!({"fields": [], "how": "silent"});
        for (key, value) in [("peers", true), ("probing", true), ("second_copies", false)] {
            settings["policy_limits"][key] = json!(value);
        }
        settings["policy_limits"]["max_streams"] = json!(1);
        settings["contract"]["fall"] = json!(2_000_000);
        settings["contract"]["fall_multiple"] = json!(4.0);
        settings["contract"]["stop_sending_within"] = json!(250_000);
        settings["domain"]["use_period"] = json!(0);
    }
    if !setup.peers.is_empty() {
        settings["policy_limits"]["peers"] = json!(true);
    }
    if setup.heads > 1 {
        settings["balancers"] = json!(setup.heads);
        settings["position"] = json!(setup.number);
    }
    if setup.crowd {
        settings["balancers"] = json!(40);
        settings["report"] = json!({"fields": ["backlog"], "how": "pull"});
        settings["policy_limits"]["probing"] = json!(true);
        settings["plans"][0]["floor_rate"] = json!(0);
    }
    settings
}

/// A client of the platform's protocol: one request at a time on a connection that it keeps.
pub struct HttpClient {
    pub stream: TcpStream,
    /// The id of the last request.
    pub id: String,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> Outcome<HttpClient> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(STUCK))?;
        Ok(HttpClient { stream, id: String::new() })
    }

    /// A request for shard 0 under a new id; `more` adds headers.
    pub fn send(&mut self, class: &str, timeout_ms: u64, more: &str, body: &[u8]) -> Outcome {
        static SERIAL: AtomicU64 = AtomicU64::new(1);
        self.id = format!("{:016x}", SERIAL.fetch_add(1, Ordering::Relaxed));
        let more = format!("X-Request-ID: {}\r\nContent-Length: {}\r\n{more}", self.id, body.len());
        self.send_bare(class, timeout_ms, &more, body)
    }

    /// The same with no id and no length but those that `more` gives.
    pub fn send_bare(&mut self, class: &str, timeout_ms: u64, more: &str, body: &[u8]) -> Outcome {
        let method = if body.is_empty() { "GET" } else { "PUT" };
        let head = format!(
            "{method} /api/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: app.svc\r\n\
             X-Priority-Class: {class}\r\nX-Storage-Class: starter\r\n\
             X-Timeout-Ms: {timeout_ms}\r\nX-Extent: units=1,shard=0,hosts=1\r\n{more}\r\n"
        );
        self.stream.write_all(&[head.as_bytes(), body].concat())?;
        Ok(())
    }

    /// Status, head and body of the next answer.
    pub fn receive(&mut self) -> Outcome<(u16, String, Vec<u8>)> {
        let answer = read_http(&mut self.stream)?;
        let (head, body) = answer.ok_or_else(|| Failure::Unmet("closed without an answer".into()))?;
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        Ok((status.ok_or_else(|| Failure::Unmet(format!("no status in {head}")))?, head, body))
    }

    pub fn ask(&mut self, class: &str, timeout_ms: u64, body: &[u8]) -> Outcome<(u16, String, Vec<u8>)> {
        self.send(class, timeout_ms, "", body)?;
        self.receive()
    }

    /// Seconds after which the last answer's client may come again.
    pub fn retry_after(head: &str) -> Option<f64> {
        header(head, "retry-after")?.parse().ok()
    }
}
