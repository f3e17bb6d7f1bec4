//! A whole system on loopback addresses of this machine: each a process of this program. For the quick
//! start, for rehearsals and for tests.

use crate::settings::SETTINGS_VARIABLE;
use anyhow::{Context, Result, ensure};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The host of the first edge in a system's network; cores begin at 1.
const FIRST_EDGE_HOST: u8 = 101;
/// The host of the first stand-in model server.
const FIRST_SERVER_HOST: u8 = 151;

/// Processes with different numbers have different addresses, until so many are there.
const PROCESS_ADDRESSES: u32 = 200;

/// Systems of one process each have a network of their own.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// A process that can be ended and started again as it was. Dropped, it is killed.
#[derive(Debug)]
pub struct Process {
    /// Its machine's name.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    settings: Option<PathBuf>,
    quiet: bool,
    child: Option<Child>,
}

impl Process {
    /// One that is not started yet. `quiet`: what it logs is thrown away.
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

    /// Starts it, unless it runs.
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

    /// Its number in the operating system, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended by itself cannot be killed, and need not.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        }
    }

    /// SIGTERM; returns at once.
    pub fn ask_to_stop(&self) {
        self.signal("TERM");
    }

    /// SIGHUP: its settings may have changed.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// It stands still until it is thawed or killed.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// It goes on.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Whether it runs no more.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Says in its settings whether its next start is the very first one of the whole system.
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

/// What a local system is made of.
#[derive(Clone, Debug)]
pub struct LocalPlan {
    /// This program.
    pub program: PathBuf,
    /// Cores.
    pub cores: u8,
    /// Edges.
    pub edges: u8,
    /// Zones, named z1, z2 and so on; processes are assigned to them in turn.
    pub zones: u8,
    /// What processes log is thrown away.
    pub quiet: bool,
}

/// An edge and where it is reached.
#[derive(Debug)]
pub struct LocalEdge {
    /// The process.
    pub process: Process,
    /// Where clients come in.
    pub ingress: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
}

/// The processes of a system, none of them started yet.
#[derive(Debug)]
pub struct LocalSystem {
    /// Settings, disks and logs; removed with the system.
    pub folder: PathBuf,
    /// Cores.
    pub cores: Vec<Process>,
    /// Their control planes.
    pub control: Vec<SocketAddr>,
    /// Where they take links from other processes.
    pub internal: Vec<SocketAddr>,
    /// Edges.
    pub edges: Vec<LocalEdge>,
    network: u8,
}

impl LocalSystem {
    /// Writes the settings of all processes into a new folder.
    ///
    /// # Errors
    ///
    /// The folder or a file cannot be written, or no port is free.
    pub fn new(plan: &LocalPlan) -> Result<LocalSystem> {
        ensure!(
            plan.cores >= 1 && plan.cores < FIRST_EDGE_HOST,
            "control heads: 1 to {}",
            FIRST_EDGE_HOST - 1
        );
        let network = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("pathbank-local-{}-{network}", std::process::id()));
        // What an earlier process of the same number left.
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

    /// The disk of a core.
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

/// Loopback addresses that no other test of this machine uses at the moment, as far as process numbers tell.
fn host(network: u8, number: u8) -> IpAddr {
    let process = (std::process::id() % PROCESS_ADDRESSES) as u8 + 20;
    IpAddr::V4(Ipv4Addr::new(127, process, network, number))
}

fn zone(number: usize, zones: u8) -> String {
    format!("z{}", number % usize::from(zones.max(1)) + 1)
}

/// What a process listens for.
#[derive(Clone, Copy)]
enum Purpose {
    Internal,
    Control,
    Ingress,
    Readiness,
    StandIn,
}

/// A port that the kernel gives to nobody who asks for any free one: between its choice and the start of the
/// process that listens there, a stand-in on the same address could get it. Processes whose numbers share an
/// address have other ports.
fn port(ip: IpAddr, purpose: Purpose) -> Result<u16> {
    const FIRST: u32 = 10_000;
    const GROUPS: u32 = 4_000;
    const PURPOSES: u32 = 5;
    let group = std::process::id() / PROCESS_ADDRESSES % GROUPS;
    let port = (FIRST + group * PURPOSES + purpose as u32) as u16;
    TcpListener::bind((ip, port)).with_context(|| format!("port {port} of {ip}"))?;
    Ok(port)
}

/// Waits until something holds.
///
/// # Errors
///
/// It does not in time.
pub fn until(what: &str, patience: Duration, mut holds: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !holds() {
        ensure!(start.elapsed() < patience, "not within {patience:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
