//! The view of the fleet on real heads: processes that end, stand still, come back and leave, and what each head's operators'
//! line says. Judged by what the processes tell, never by how long anything took.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::stage::{Head, Setup, Site};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
/// Only a test that would never end is ended by this.
const STUCK: Duration = Duration::from_secs(40);
const HEADS: usize = 5;

struct Fleet {
    peers: Vec<SocketAddr>,
    heads: Vec<Option<Head>>,
}

impl Fleet {
    fn start() -> Fleet {
        // Ports from the system, given back for the heads to take.
        let sockets: Vec<UdpSocket> = (0..HEADS).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let peers = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        drop(sockets);
        let mut fleet = Fleet { peers, heads: Vec::new() };
        for number in 0..HEADS {
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
            heads: HEADS as u32,
            peers: self.peers.clone(),
            fleet: Some(format!("enabled = true\nfleet = \"{name}\"\n")),
            ops: true,
            watched: false,
            ..Setup::default()
        };
        Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, NOWHERE, Vec::new()).unwrap()
    }

    /// What the operators' own program says at that head.
    fn asked(&self, at: usize, words: &[&str]) -> Result<String, String> {
        let ops = self.heads[at].as_ref().unwrap().ops().unwrap().to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pathbank"));
        let done = command.arg("fleet").args(words).args(["--at", &ops]).output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if done.status.success() { Ok(text(&done.stdout)) } else { Err(text(&done.stderr)) }
    }

    /// Until each of these heads thinks the same, and that of the others: states by number.
    fn until(&self, at: &[usize], states: [&str; HEADS]) -> Vec<String> {
        let begun = Instant::now();
        loop {
            let views: Vec<String> = at.iter().map(|head| self.asked(*head, &["show"]).unwrap()).collect();
            let digest = |view: &str| view.split(' ').nth(1).map(String::from);
            let same = views.iter().all(|view| digest(view) == digest(&views[0]));
            let fits = |view: &String| {
                (0..).zip(states).all(|(n, state)| view.contains(&format!("head {n} {state} ")))
            };
            if same && views.iter().all(fits) {
                return views;
            }
            assert!(begun.elapsed() < STUCK, "never {states:?}: {views:#?}");
        }
    }
}

#[test]
fn real_heads_agree_on_who_runs_through_deaths_standstills_returns_and_departures() {
    let mut fleet = Fleet::start();
    let all = [0, 1, 2, 3, 4];
    fleet.until(&all, ["alive"; HEADS]);
    // One dies, and comes back with nothing under its name and address.
    fleet.heads[1] = None;
    fleet.until(&[0, 2, 3, 4], ["alive", "dead", "alive", "alive", "alive"]);
    let told = fleet.asked(0, &["explain", "1"]).unwrap();
    assert!(
        told.contains("head 1 dead ") && (told.contains("silent") || told.contains("told-by-")),
        "{told}"
    );
    fleet.heads[1] = Some(fleet.head(1, "fleet-a"));
    fleet.until(&all, ["alive"; HEADS]);
    // One stands still for long enough to be thought dead, and what it thinks of the others then does them no harm.
    let still = fleet.heads[2].as_ref().unwrap();
    still.stop(true).unwrap();
    fleet.until(&[0, 1, 3, 4], ["alive", "alive", "dead", "alive", "alive"]);
    fleet.heads[2].as_ref().unwrap().stop(false).unwrap();
    let views = fleet.until(&all, ["alive"; HEADS]);
    for view in &views {
        for other in [0, 3, 4] {
            assert!(!view.contains(&format!("head {other} dead")), "{view}");
        }
    }
    // One leaves as it is told to end; another one's datagrams are of another fleet.
    fleet.heads[3].as_ref().unwrap().terminate().unwrap();
    fleet.until(&[0, 1, 2, 4], ["alive", "alive", "alive", "left", "alive"]);
    fleet.heads[4] = None;
    fleet.until(&[0, 1, 2], ["alive", "alive", "alive", "left", "dead"]);
    fleet.heads[4] = Some(fleet.head(4, "fleet-b"));
    let stranger = fleet.asked(4, &["show"]).unwrap();
    assert!(stranger.contains("running 1 of 5"), "{stranger}");
    fleet.until(&[0, 1, 2], ["alive", "alive", "alive", "left", "dead"]);
    for (words, why) in [(&["explain", "5"][..], "there is no head 5"), (&["explain", "x"], "invalid")] {
        let said = fleet.asked(0, words).unwrap_err();
        assert!(said.contains(why), "{said}");
    }
    let json = fleet.asked(0, &["show", "--json"]).unwrap();
    let objects: Vec<serde_json::Value> =
        json.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(
        (objects.len(), &objects[4]["state"], &objects[0]["running"]),
        (6, &"left".into(), &"3".into())
    );
}

/// Off, as it is shipped: the line knows no such command, and nothing is said to other heads.
#[test]
fn a_head_that_keeps_no_view_says_nothing() {
    let ear = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let peers = vec![own, ear.local_addr().unwrap()];
    let setup = Setup { heads: 2, peers, ops: true, watched: false, site: Site::Pushed, ..Setup::default() };
    let head = Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, NOWHERE, Vec::new()).unwrap();
    let fleet = Fleet { peers: Vec::new(), heads: vec![Some(head)] };
    assert!(fleet.asked(0, &["show"]).unwrap_err().contains("no such command"));
    ear.set_nonblocking(true).unwrap();
    assert!(ear.recv_from(&mut [0; 300]).is_err());
}
