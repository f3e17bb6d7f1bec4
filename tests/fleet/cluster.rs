//! A few heads of one cluster, each with a voter on a disk of its own, past all links.

use pathbank::agree::document::{Edit, EditRejection};
use pathbank::net::agree::call::Caller;
use pathbank::net::agree::database::VoterDatabase;
use pathbank::net::agree::wire::{PROPOSE_PATH, ProposalOutcome, STATUS_PATH, VoterStatus};
use pathbank::rehearsal::stage::{Head, Setup};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Longer than anything takes, also where other tests have the machine: what is not there by then never
/// comes.
pub const LONG: Duration = Duration::from_secs(60);
/// Nobody listens there.
pub const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));

const FIRST_VOTER: u64 = 71;
/// Below the ports that the kernel gives to sockets that ask for any.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// An address that nobody else gets, however often a voter there ends and starts: a port that the kernel gave
/// out and took back may go to another socket meanwhile, and the voter then cannot listen.
pub fn own_address() -> SocketAddr {
    let process = std::process::id().to_le_bytes();
    let host = Ipv4Addr::new(127, 78, process[0], process[1].max(1));
    SocketAddr::from((host, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

pub struct Cluster {
    pub folder: PathBuf,
    pub runtime: tokio::runtime::Runtime,
    /// Number and address of each voter that was ever set up.
    pub voters: Vec<(u64, SocketAddr)>,
    caller: Caller,
}

impl Cluster {
    pub fn new(name: &str, voters: u64) -> Cluster {
        let folder = std::env::temp_dir().join(format!("pathbank-{name}-{}", std::process::id()));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let mut cluster = Cluster { folder, runtime, caller: Caller::new("few"), voters: Vec::new() };
        for _ in 0..voters {
            cluster.add_voter();
        }
        cluster
    }

    /// A new disk and an address for its voter, which is not started.
    pub fn add_voter(&mut self) -> u64 {
        let id = self.voters.len() as u64 + FIRST_VOTER;
        VoterDatabase::create(&self.directory(id), id).unwrap();
        self.voters.push((id, own_address()));
        id
    }

    pub fn directory(&self, id: u64) -> PathBuf {
        self.folder.join(id.to_string())
    }

    pub fn address(&self, id: u64) -> SocketAddr {
        self.voters.iter().find(|(known, _)| *known == id).unwrap().1
    }

    pub fn start(&self, id: u64, listed: &[u64], disk_mb: u64) -> Head {
        self.start_with(id, listed, &format!("disk_mb = {disk_mb}"), "")
    }

    /// A voter that reaches no peer, so that it can neither catch up nor be elected.
    pub fn start_isolated(&self, id: u64, listed: &[u64], disk_mb: u64) -> Head {
        let address = |peer: u64| if peer == id { self.address(id) } else { NOWHERE };
        self.start_at(id, listed, address, &format!("disk_mb = {disk_mb}"), "")
    }

    /// With keys of its own: those of the voter, and those at the file's end.
    pub fn start_with(&self, id: u64, listed: &[u64], voter_keys: &str, end: &str) -> Head {
        self.start_at(id, listed, |peer| self.address(peer), voter_keys, end)
    }

    fn start_at(
        &self,
        id: u64,
        listed: &[u64],
        address: impl Fn(u64) -> SocketAddr,
        voter_keys: &str,
        end: &str,
    ) -> Head {
        let voters: String = listed.iter().map(|id| format!("{id} = \"{}\"\n", address(*id))).collect();
        let agree = format!(
            "enabled = true\ncluster = \"few\"\nlisten = \"{}\"\ndirectory = \"{}\"\n{voter_keys}\n\
             [voters]\n{voters}[times]\nlong_lease_ms = 1000\n{end}",
            self.address(id),
            self.directory(id).display()
        );
        let setup = Setup { name: format!("n{id}"), agree: Some(agree), watched: false, ..Setup::default() };
        Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, NOWHERE, Vec::new()).unwrap()
    }

    /// Asks each of these in turn until one of them gives the wanted answer.
    async fn ask_until<A: DeserializeOwned, T>(
        &self,
        ids: &[u64],
        path: &str,
        question: &impl Serialize,
        wanted: impl Fn(A) -> Option<T>,
    ) -> T {
        let until = Instant::now() + LONG;
        loop {
            for id in ids {
                let address = self.address(*id).to_string();
                let answer = self.caller.call(&address, path, question, LONG).await;
                if let Some(found) = answer.ok().and_then(&wanted) {
                    return found;
                }
            }
            assert!(Instant::now() < until, "{path} at {ids:?} never gave the wanted answer");
        }
    }

    /// Proposed until it is known what became of it.
    pub async fn propose_async(&self, ids: &[u64], edit: &Edit) -> Result<u64, EditRejection> {
        self.ask_until(ids, PROPOSE_PATH, edit, |answer| match answer {
            ProposalOutcome::Entry(entry) => Some(Ok(entry)),
            ProposalOutcome::Rejected(why) => Some(Err(why)),
            _ => None,
        })
        .await
    }

    pub fn propose(&self, ids: &[u64], edit: &Edit) -> Result<u64, EditRejection> {
        self.runtime.block_on(self.propose_async(ids, edit))
    }

    /// Waits until that voter has the entry in force.
    pub fn in_force(&self, id: u64, entry: u64) -> VoterStatus {
        let in_force = |status: VoterStatus| (status.active >= entry).then_some(status);
        self.runtime.block_on(self.ask_until(&[id], STATUS_PATH, &(), in_force))
    }

    /// Runs the operators' own program: what it printed, or its error.
    pub fn command(&self, ids: &[u64], words: &[&str]) -> Result<String, String> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pathbank"));
        command.args(["agree", "--cluster", "few"]);
        for id in ids {
            command.args(["--at", &self.address(*id).to_string()]);
        }
        let done = command.args(words).output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if done.status.success() { Ok(text(&done.stdout)) } else { Err(text(&done.stderr)) }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
