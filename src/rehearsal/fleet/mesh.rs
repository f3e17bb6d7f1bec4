//! Datagrams between the rig's heads: each pair has a link of its own, which loses, delays, repeats, reorders and cuts while
//! it runs. A head is known by where its datagrams come from, so each one sees another name for every other.

use crate::rehearsal::Outcome;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// What becomes of datagrams.
#[derive(Debug)]
pub struct Weather {
    /// Of a hundred.
    pub loss: u32,
    pub twice: u32,
    /// So many take up to `late` instead of up to `usual`.
    pub slow: u32,
    pub usual: Duration,
    pub late: Duration,
    /// From one to another nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    draw: fastrand::Rng,
}

pub struct Mesh {
    /// Where each head hears.
    pub own: Vec<SocketAddr>,
    /// What each head takes for the others' addresses: by head, then by the other one.
    seen: Vec<Vec<SocketAddr>>,
    weather: Arc<Mutex<Weather>>,
    bytes: Arc<AtomicU64>,
}

impl Mesh {
    pub fn start(heads: usize, loss: u32, seed: u64) -> Outcome<Mesh> {
        let bind = || std::net::UdpSocket::bind("127.0.0.1:0");
        // Ports from the system, given back for the heads to take.
        let held = (0..heads).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let own = held.iter().map(std::net::UdpSocket::local_addr).collect::<Result<Vec<_>, _>>()?;
        let sockets = (0..heads * heads).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        drop(held);
        let mut seen = Vec::new();
        for head in 0..heads {
            let at = |other: usize| match other == head {
                true => Ok(own[head]),
                false => sockets[head * heads + other].local_addr(),
            };
            seen.push((0..heads).map(at).collect::<Result<Vec<_>, _>>()?);
        }
        let (usual, late) = (Duration::from_millis(5), Duration::from_millis(400));
        let draw = fastrand::Rng::with_seed(seed);
        let weather = Weather { loss, twice: 3, slow: 2, usual, late, cut: BTreeSet::new(), draw };
        let (weather, bytes) = (Arc::new(Mutex::new(weather)), Arc::new(AtomicU64::new(0)));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (reals, skies, count) = (own.clone(), weather.clone(), bytes.clone());
        sockets.iter().try_for_each(|socket| socket.set_nonblocking(true))?;
        thread::spawn(move || runtime.block_on(carry(sockets, reals, skies, count)));
        Ok(Mesh { own, seen, weather, bytes })
    }

    /// The list of heads as that one is given it.
    pub fn peers(&self, head: usize) -> Vec<SocketAddr> {
        self.seen[head].clone()
    }

    pub fn weather(&self) -> MutexGuard<'_, Weather> {
        self.weather.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From each of some to each of others, one way.
    pub fn cut(&self, some: &[usize], others: &[usize]) {
        let mut weather = self.weather();
        for one in some {
            weather.cut.extend(others.iter().filter(|other| *other != one).map(|other| (*one, *other)));
        }
    }

    /// Bytes that heads have sent.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// For as long as the program runs.
async fn carry(
    sockets: Vec<std::net::UdpSocket>,
    own: Vec<SocketAddr>,
    weather: Arc<Mutex<Weather>>,
    bytes: Arc<AtomicU64>,
) {
    let heads = own.len();
    let sockets: Result<Vec<Arc<UdpSocket>>, _> =
        sockets.into_iter().map(|socket| UdpSocket::from_std(socket).map(Arc::new)).collect();
    let Ok(sockets) = sockets else { return };
    for (from, to) in (0..heads).flat_map(|from| (0..heads).map(move |to| (from, to))).filter(|(a, b)| a != b)
    {
        let (entered, left) = (sockets[from * heads + to].clone(), sockets[to * heads + from].clone());
        let (weather, bytes, own) = (weather.clone(), bytes.clone(), own.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            loop {
                let Ok((length, sender)) = entered.recv_from(&mut buffer).await else { continue };
                if sender != own[from] {
                    continue;
                }
                bytes.fetch_add(length as u64, Ordering::Relaxed);
                for delay in fates(&weather, from, to) {
                    let (left, target, said) = (left.clone(), own[to], buffer[..length].to_vec());
                    tokio::spawn(async move {
                        sleep(delay).await;
                        let _ = left.send_to(&said, target).await; // one that is not there hears nothing
                    });
                }
            }
        });
    }
    std::future::pending().await
}

/// After how long each copy of a datagram arrives.
fn fates(weather: &Mutex<Weather>, from: usize, to: usize) -> Vec<Duration> {
    let mut sky = weather.lock().unwrap_or_else(PoisonError::into_inner);
    let lost = sky.cut.contains(&(from, to)) || sky.draw.u32(..100) < sky.loss;
    let copies = if lost { 0 } else { 1 + usize::from(sky.draw.u32(..100) < sky.twice) };
    let drawn = |sky: &mut Weather| {
        let most = if sky.draw.u32(..100) < sky.slow { sky.late } else { sky.usual };
        most.mul_f64(sky.draw.f64())
    };
    (0..copies).map(|_| drawn(&mut sky)).collect()
}
