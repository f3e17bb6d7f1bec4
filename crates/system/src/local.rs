//! A whole system on loopback addresses of this machine, in which each core and edge is a process of this
//! program. For the quick start, rehearsals and tests.

use crate::settings::SETTINGS_VARIABLE;
use anyhow::{Context, Result, ensure};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// How often [`until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The last byte of the first edge's address. Cores begin at 1.
const FIRST_EDGE_HOST: u8 = 101;
/// The last byte of the first stand-in model server's address.
const FIRST_SERVER_HOST: u8 = 151;

/// The number of different second bytes of addresses, one of which each process that starts systems uses.
const PROCESS_ADDRESSES: u32 = 200;

/// The third byte of the next system's addresses, so that the systems of one process have different ones.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// A process that can be stopped and started again with the same arguments. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// The name of the process's machine.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    settings: Option<PathBuf>,
    quiet: bool,
    child: Option<Child>,
}

impl Process {
    /// Creates a process that is not started yet. `quiet`: its output is discarded.
    pub fn new(name: &str, program: &Path, arguments: &[&str], quiet: bool) -> Process {
        Process {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
            settings: None,
            quiet,
            child: None,
        }
    }

    /// Starts the process, unless it was started already.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null());
        if let Some(settings) = &self.settings {
            command.env(SETTINGS_VARIABLE, settings);
        }
        if self.quiet {
            command.stdout(Stdio::null()).stderr(Stdio::null());
        }
        self.child = Some(command.spawn().with_context(|| self.name.clone())?);
        Ok(())
    }

    /// The process id; `None`: the process is not started.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        }
    }

    /// Sends SIGTERM, without waiting for the end of the process.
    pub fn ask_to_stop(&self) {
        self.signal("TERM");
    }

    /// Sends SIGHUP, after which the process reads its settings again.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Sends SIGSTOP: the process stands still until it is thawed or killed.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Sends SIGCONT: the process goes on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Whether the process has ended or was not started.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Sets `bootstrap` in the process's settings: whether its next start is the very first one of the whole
    /// system.
    ///
    /// # Errors
    ///
    /// The settings file cannot be read or written.
    pub fn allow_bootstrap(&self, bootstrap: bool) -> Result<()> {
        let Some(path) = &self.settings else { return Ok(()) };
        let text = fs::read_to_string(path)?;
        let lines = text.lines().map(|line| match line.starts_with("bootstrap=") {
            true => format!("bootstrap={bootstrap}"),
            false => line.to_owned(),
        });
        fs::write(path, lines.collect::<Vec<_>>().join("\n"))?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The parts of a local system.
#[derive(Clone, Debug)]
pub struct LocalPlan {
    /// The path of this program.
    pub program: PathBuf,
    /// The number of cores.
    pub cores: u8,
    /// The number of edges.
    pub edges: u8,
    /// The number of zones, named z1, z2 and so on. Processes are assigned to them in turn.
    pub zones: u8,
    /// Whether the output of all processes is discarded.
    pub quiet: bool,
}

/// An edge and its addresses.
#[derive(Debug)]
pub struct LocalEdge {
    /// The process.
    pub process: Process,
    /// The address for clients.
    pub ingress: SocketAddr,
    /// The address for readiness checks.
    pub readiness: SocketAddr,
}

/// The processes of a local system. Dropping it kills them and removes its folder.
#[derive(Debug)]
pub struct LocalSystem {
    /// The folder with settings, disks and logs.
    pub folder: PathBuf,
    /// The cores.
    pub cores: Vec<Process>,
    /// The cores' control-plane addresses.
    pub control: Vec<SocketAddr>,
    /// The cores' addresses for links from other processes.
    pub internal: Vec<SocketAddr>,
    /// The edges.
    pub edges: Vec<LocalEdge>,
    network: u8,
}

impl LocalSystem {
    /// Creates a system whose processes are not started yet, and writes their settings into a new folder.
    ///
    /// # Errors
    ///
    /// The folder or a file cannot be written, or no port is free.
    pub fn new(plan: &LocalPlan) -> Result<LocalSystem> {
        ensure!(
            plan.cores >= 1 && plan.cores < FIRST_EDGE_HOST,
            "the number of cores must be 1 to {}",
            FIRST_EDGE_HOST - 1
        );
        let network = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("pathbank-local-{}-{network}", std::process::id()));
        // An earlier process with the same id may have left its folder.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
        let internal = port(host(network, 1), Purpose::Internal)?;
        let control_port = port(host(network, 1), Purpose::Control)?;
        let control: Vec<SocketAddr> =
            (1..=plan.cores).map(|number| SocketAddr::new(host(network, number), control_port)).collect();
        let seeds: Vec<String> = control.iter().take(3).map(SocketAddr::to_string).collect();
        let common = format!(
            "region=r\ninternal_port_range={internal},{internal}\nseed_nodes={}\nbootstrap=true\n\
             heartbeat_ms=200\nlimits.max_fds=1024\nbounds.retry_budget_slack=56\nlog_level=warn\n",
            seeds.join(",")
        );
        let internal = control.iter().map(|address| SocketAddr::new(address.ip(), internal)).collect();
        let (cores, edges) = (Vec::new(), Vec::new());
        let mut system = LocalSystem { folder, cores, control, internal, edges, network };
        for (number, address) in system.control.clone().iter().enumerate() {
            let own = format!(
                "zone={}\nip={}\nlisteners_map.control_plane={address}\ncounts_for_quorum=true\ndata_dir={}\n",
                zone(number, plan.zones),
                address.ip(),
                system.data(number).display()
            );
            let core = system.process(plan, &format!("core-{number}"), "core", &(own + &common))?;
            system.cores.push(core);
        }
        for number in 0..plan.edges {
            let ip = host(network, FIRST_EDGE_HOST + number);
            let ingress = SocketAddr::new(ip, port(ip, Purpose::Ingress)?);
            let readiness = SocketAddr::new(ip, port(ip, Purpose::Readiness)?);
            let own = format!(
                "zone={}\nip={ip}\nlisteners_map.ingress={ingress}\nlisteners_map.readiness={readiness}\n",
                zone(usize::from(number), plan.zones)
            );
            let process = system.process(plan, &format!("edge-{number}"), "edge", &(own + &common))?;
            system.edges.push(LocalEdge { process, ingress, readiness });
        }
        Ok(system)
    }

    fn process(&self, plan: &LocalPlan, name: &str, role: &str, settings: &str) -> Result<Process> {
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, format!("node_name={name}\n{settings}"))?;
        let mut process = Process::new(name, &plan.program, &[role], plan.quiet);
        process.settings = Some(path);
        Ok(process)
    }

    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(&mut self) -> Result<()> {
        self.cores.iter_mut().try_for_each(Process::start)?;
        self.edges.iter_mut().try_for_each(|edge| edge.process.start())
    }

    /// The data directory of a core.
    pub fn data(&self, core: usize) -> PathBuf {
        self.folder.join(format!("data-{core}"))
    }

    /// An address for a stand-in model server.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn server_address(&self, number: u8) -> Result<SocketAddr> {
        let ip = host(self.network, FIRST_SERVER_HOST.saturating_add(number));
        Ok(SocketAddr::new(ip, port(ip, Purpose::StandIn)?))
    }
}

impl Drop for LocalSystem {
    fn drop(&mut self) {
        self.edges.iter_mut().for_each(|edge| edge.process.kill());
        self.cores.iter_mut().for_each(Process::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A loopback address that no other test on this machine uses at the moment, unless their process ids are a
/// multiple of [`PROCESS_ADDRESSES`] apart.
fn host(network: u8, number: u8) -> IpAddr {
    let process = (std::process::id() % PROCESS_ADDRESSES) as u8 + 20;
    IpAddr::V4(Ipv4Addr::new(127, process, network, number))
}

fn zone(number: usize, zones: u8) -> String {
    format!("z{}", number % usize::from(zones.max(1)) + 1)
}

/// The purpose of a port. Each has a port number of its own.
#[derive(Clone, Copy)]
enum Purpose {
    Internal,
    Control,
    Ingress,
    Readiness,
    StandIn,
}

/// Returns a port outside the range from which the kernel assigns free ports. Otherwise a stand-in on the
/// same address could be assigned it before the process that should listen there starts. Processes whose ids
/// lead to the same address have different ports.
fn port(ip: IpAddr, purpose: Purpose) -> Result<u16> {
    const FIRST: u32 = 10_000;
    const GROUPS: u32 = 4_000;
    const PURPOSES: u32 = 5;
    let group = std::process::id() / PROCESS_ADDRESSES % GROUPS;
    let port = (FIRST + group * PURPOSES + purpose as u32) as u16;
    TcpListener::bind((ip, port)).with_context(|| format!("port {port} of {ip}"))?;
    Ok(port)
}

/// Waits until a condition holds.
///
/// # Errors
///
/// The condition does not hold within `patience`. The error names it by `what`.
pub fn until(what: &str, patience: Duration, mut holds: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !holds() {
        ensure!(start.elapsed() < patience, "not within {patience:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
