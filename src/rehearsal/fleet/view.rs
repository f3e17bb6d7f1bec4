//! The fleet's view on many real heads with faults between them, drawn from a seed: whether, and how long after the last
//! fault of each kind, every head that runs holds the same view, and a true one.

use super::mesh::Mesh;
use super::run::cpu_ticks;
use crate::net::fleet::command::ask;
use crate::rehearsal::stage::{Head, Setup, Site};
use crate::rehearsal::{Failure, Outcome};
use pathbank_coordination::gossip::timing::GossipTiming;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Nobody listens there.
const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
const LOOK: Duration = Duration::from_millis(20);
/// Only a run that would never end is ended by this.
const STUCK: Duration = Duration::from_secs(60);
/// Long enough for verdicts to be passed.
const LONG: Duration = Duration::from_secs(4);
const AT_REST: Duration = Duration::from_secs(5);

pub struct Plan {
    pub seed: u64,
    pub heads: usize,
    /// Datagrams lost, of a hundred.
    pub loss: u32,
}

/// What happened, and for how long views were apart or wrong after it.
#[derive(Debug)]
pub struct Settled {
    pub what: &'static str,
    pub took: Duration,
}

#[derive(Debug, Default)]
pub struct Played {
    pub settled: Vec<Settled>,
    /// At rest: bytes a second and head, and hundredths of a second of CPU in so many seconds of the busiest head.
    pub bytes: u64,
    pub ticks: u64,
}

/// So long after its last fault a view is promised to be settled.
pub fn promised(heads: usize) -> Duration {
    Duration::from_micros(GossipTiming::default().convergence_bound(heads))
}

struct Heads<'a> {
    daemon: &'a Path,
    mesh: Mesh,
    heads: Vec<Option<Head>>,
}

impl Heads<'_> {
    fn begin(&mut self, number: usize) -> Outcome {
        let setup = Setup {
            site: Site::Pushed,
            name: format!("n{number}"),
            number: number as u32,
            heads: self.heads.len() as u32,
            peers: self.mesh.peers(number),
            fleet: Some("enabled = true\nfleet = \"rig\"\n".into()),
            ops: true,
            watched: false,
            ..Setup::default()
        };
        self.heads[number] = Some(Head::start(self.daemon, &setup, NOWHERE, Vec::new())?);
        Ok(())
    }

    /// Whether all views are the same and true. `None`: somebody gives no answer.
    fn settled(&self) -> Option<bool> {
        let (mut digests, mut right) = (Vec::new(), true);
        for head in self.heads.iter().flatten() {
            let told = ask(head.ops().ok()?, "FLEET").ok()?;
            digests.push(told.first()?.split(' ').nth(1)?.to_string());
            for (number, line) in told.iter().skip(1).enumerate() {
                let state = line.split(' ').nth(2)?;
                let runs = matches!(state, "joining" | "alive" | "suspect");
                right &= runs == self.heads[number].is_some();
            }
        }
        digests.dedup();
        Some(right && digests.len() <= 1)
    }

    /// Until views have been the same and true for as long as is promised; how long it took for that to begin.
    fn settle(&self, what: &'static str) -> Outcome<Settled> {
        let (begun, rest) = (Instant::now(), promised(self.heads.len()));
        let mut since: Option<Instant> = None;
        loop {
            let looked = Instant::now();
            match (self.settled(), since) {
                (Some(true), None) => since = Some(looked),
                (Some(true), Some(at)) if at.elapsed() >= rest => {
                    return Ok(Settled { what, took: at.duration_since(begun) });
                }
                (Some(true), _) => {}
                _ => since = None,
            }
            if begun.elapsed() > STUCK {
                return Err(Failure::Unmet(format!("{what}: the view never settled")));
            }
            thread::sleep(LOOK);
        }
    }
}

/// Faults of each kind, one after another, each followed by rest.
pub fn play(daemon: &Path, plan: &Plan) -> Outcome<Played> {
    let Plan { seed, heads: count, loss } = *plan;
    let mut draw = fastrand::Rng::with_seed(seed);
    let mesh = Mesh::start(count, loss, seed)?;
    let mut fleet = Heads { daemon, mesh, heads: (0..count).map(|_| None).collect() };
    (0..count).try_for_each(|number| fleet.begin(number))?;
    let mut played = Played::default();
    played.settled.push(fleet.settle("joins")?);
    let used = |fleet: &Heads| -> Vec<u64> {
        fleet.heads.iter().flatten().map(|head| cpu_ticks(head.process())).collect()
    };
    let (bytes, ticks) = (fleet.mesh.bytes(), used(&fleet));
    thread::sleep(AT_REST);
    played.bytes = (fleet.mesh.bytes() - bytes) / AT_REST.as_secs() / count as u64;
    played.ticks = used(&fleet).iter().zip(&ticks).map(|(now, was)| now - was).max().unwrap_or(0);
    let mut all: Vec<usize> = (0..count).collect();
    draw.shuffle(&mut all);
    let (some, others) = all.split_at((count * 7 / 10).max(1));
    some.iter().for_each(|number| fleet.heads[*number] = None);
    played.settled.push(fleet.settle("seven in ten killed")?);
    some.iter().try_for_each(|number| fleet.begin(*number))?;
    played.settled.push(fleet.settle("back with nothing")?);
    let (left, right) = all.split_at(count / 2);
    fleet.mesh.cut(left, right);
    fleet.mesh.cut(right, left);
    thread::sleep(LONG);
    fleet.mesh.weather().cut.clear();
    played.settled.push(fleet.settle("two halves healed")?);
    fleet.mesh.cut(&others[..1], &all);
    thread::sleep(LONG);
    fleet.mesh.weather().cut.clear();
    played.settled.push(fleet.settle("one that was heard by none")?);
    fleet.mesh.cut(&all, &others[..1]);
    thread::sleep(LONG);
    fleet.mesh.weather().cut.clear();
    played.settled.push(fleet.settle("one that heard nobody")?);
    if let Some(head) = &fleet.heads[all[0]] {
        head.stop(true)?;
        thread::sleep(LONG);
        head.stop(false)?;
    }
    played.settled.push(fleet.settle("one that stood still")?);
    for _ in 0..3 {
        fleet.heads[all[0]] = None;
        thread::sleep(Duration::from_millis(700));
        fleet.begin(all[0])?;
        thread::sleep(Duration::from_millis(300));
    }
    played.settled.push(fleet.settle("one that came and went")?);
    if let Some(head) = &mut fleet.heads[all[0]] {
        head.terminate()?;
        head.ended()?;
        fleet.heads[all[0]] = None;
    }
    played.settled.push(fleet.settle("one that left")?);
    Ok(played)
}
