//! Fleet membership with real processes that die, pause, return and leave, and what each host's operators'
//! interface reports. Asserts only what the processes report, not how long anything takes.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::stage::{Head, Setup, Site};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
/// Fails a test that would never end.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);
const HOSTS: usize = 5;

struct Fleet {
    peers: Vec<SocketAddr>,
    heads: Vec<Option<Head>>,
}

impl Fleet {
    fn start() -> Fleet {
        // Ports assigned by the system and released for the hosts.
        let sockets: Vec<UdpSocket> = (0..HOSTS).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let peers = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        drop(sockets);
        let mut fleet = Fleet { peers, heads: Vec::new() };
        for number in 0..HOSTS {
            let head = fleet.head(number, "fleet-a");
            fleet.heads.push(Some(head));
        }
        fleet
    }

    fn head(&self, number: usize, name: &str) -> Head {
        let setup = Setup {
            site: Site::Pushed,
            name: format!("n{number}"),
            number: number as u32,
            heads: HOSTS as u32,
            peers: self.peers.clone(),
            fleet: Some(format!("enabled = true\nfleet = \"{name}\"\n")),
            ops: true,
            watched: false,
            ..Setup::default()
        };
        Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, NOWHERE, Vec::new()).unwrap()
    }

    /// Runs `pathbank fleet` with arguments at a host. Returns its standard output, or standard error if it
    /// failed.
    fn run_command(&self, at: usize, arguments: &[&str]) -> Result<String, String> {
        let ops = self.heads[at].as_ref().unwrap().ops().unwrap().to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pathbank"));
        let result = command.arg("fleet").args(arguments).args(["--at", &ops]).output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if result.status.success() { Ok(text(&result.stdout)) } else { Err(text(&result.stderr)) }
    }

    /// Waits until these hosts have the same view, and it shows the given states by number. Returns the
    /// views.
    fn wait_for(&self, at: &[usize], states: [&str; HOSTS]) -> Vec<String> {
        let started_at = Instant::now();
        loop {
            let views: Vec<String> =
                at.iter().map(|head| self.run_command(*head, &["show"]).unwrap()).collect();
            let digest = |view: &str| view.split(' ').nth(1).map(String::from);
            let same = views.iter().all(|view| digest(view) == digest(&views[0]));
            let fits = |view: &String| {
                (0..).zip(states).all(|(n, state)| view.contains(&format!("head {n} {state} ")))
            };
            if same && views.iter().all(fits) {
                return views;
            }
            assert!(started_at.elapsed() < TEST_TIMEOUT, "never {states:?}: {views:#?}");
        }
    }
}

#[test]
fn hosts_agree_on_membership_after_deaths_pauses_returns_and_departures() {
    let mut fleet = Fleet::start();
    let all = [0, 1, 2, 3, 4];
    fleet.wait_for(&all, ["alive"; HOSTS]);
    // A host dies, and returns without state under its name and address.
    fleet.heads[1] = None;
    fleet.wait_for(&[0, 2, 3, 4], ["alive", "dead", "alive", "alive", "alive"]);
    let output = fleet.run_command(0, &["explain", "1"]).unwrap();
    assert!(
        output.contains("head 1 dead ") && (output.contains("silent") || output.contains("told-by-")),
        "{output}"
    );
    fleet.heads[1] = Some(fleet.head(1, "fleet-a"));
    fleet.wait_for(&all, ["alive"; HOSTS]);
    // A host pauses until it is declared dead. What it then reports of the others has no effect on them.
    let paused = fleet.heads[2].as_ref().unwrap();
    paused.stop(true).unwrap();
    fleet.wait_for(&[0, 1, 3, 4], ["alive", "alive", "dead", "alive", "alive"]);
    fleet.heads[2].as_ref().unwrap().stop(false).unwrap();
    let views = fleet.wait_for(&all, ["alive"; HOSTS]);
    for view in &views {
        for other in [0, 3, 4] {
            assert!(!view.contains(&format!("head {other} dead")), "{view}");
        }
    }
    // A host leaves when it is terminated; another host's datagrams belong to another fleet.
    fleet.heads[3].as_ref().unwrap().terminate().unwrap();
    fleet.wait_for(&[0, 1, 2, 4], ["alive", "alive", "alive", "left", "alive"]);
    fleet.heads[4] = None;
    fleet.wait_for(&[0, 1, 2], ["alive", "alive", "alive", "left", "dead"]);
    fleet.heads[4] = Some(fleet.head(4, "fleet-b"));
    let stranger = fleet.run_command(4, &["show"]).unwrap();
    assert!(stranger.contains("running 1 of 5"), "{stranger}");
    fleet.wait_for(&[0, 1, 2], ["alive", "alive", "alive", "left", "dead"]);
    for (arguments, reason) in [(&["explain", "5"][..], "there is no head 5"), (&["explain", "x"], "invalid")]
    {
        let message = fleet.run_command(0, arguments).unwrap_err();
        assert!(message.contains(reason), "{message}");
    }
    let json = fleet.run_command(0, &["show", "--json"]).unwrap();
    let objects: Vec<serde_json::Value> =
        json.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(
        (objects.len(), &objects[4]["state"], &objects[0]["running"]),
        (6, &"left".into(), &"3".into())
    );
}

/// Membership is off by default: the operators' interface has no such command, and peers get no datagrams.
#[test]
fn a_host_without_fleet_membership_sends_nothing() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let peers = vec![own, peer.local_addr().unwrap()];
    let setup = Setup { heads: 2, peers, ops: true, watched: false, site: Site::Pushed, ..Setup::default() };
    let head = Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, NOWHERE, Vec::new()).unwrap();
    let fleet = Fleet { peers: Vec::new(), heads: vec![Some(head)] };
    assert!(fleet.run_command(0, &["show"]).unwrap_err().contains("no such command"));
    peer.set_nonblocking(true).unwrap();
    assert!(peer.recv_from(&mut [0; 300]).is_err());
}
