use super::*;
use std::cell::Cell;
use std::rc::Rc;

struct Fake(u32, Rc<Cell<bool>>);

impl Quiet for Fake {
    fn quiet(&self) -> bool {
        self.1.get()
    }
}

fn pool(most: usize, idle: Duration) -> Pool<Fake> {
    Pool::new(NodeLimits { most, idle, connect: Duration::from_secs(1) })
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn the_most_recently_used_quiet_connection_is_taken() {
    let (pool, quiet) = (pool(3, Duration::from_secs(3600)), Rc::new(Cell::new(true)));
    for (port, number) in [(1, 1), (1, 2), (2, 3), (1, 4)] {
        pool.release(at(port), Fake(number, quiet.clone()));
    }
    // The pool keeps at most three: the oldest was closed.
    assert_eq!(pool.take(at(1)).map(|fake| fake.0), Some(4));
    pool.release(at(1), Fake(5, Rc::new(Cell::new(false))));
    assert_eq!(pool.take(at(1)).map(|fake| fake.0), Some(2));
    assert!(pool.take(at(1)).is_none());
    pool.release(at(1), Fake(6, quiet.clone()));
    pool.close_idle_to(at(1));
    assert!(pool.take(at(1)).is_none());
    assert_eq!(pool.held(), 1);
    let _in_use = [pool.begin(), pool.begin()];
    assert_eq!(pool.held(), 1);
    let third = pool.begin();
    assert_eq!(pool.held(), 0);
    drop(third);
    pool.release(at(1), Fake(7, quiet.clone()));
    quiet.set(false);
    pool.drop_stale();
    assert_eq!(pool.held(), 0);
}

#[test]
fn a_connection_idle_for_too_long_is_not_taken() {
    let (pool, quiet) = (pool(3, Duration::ZERO), Rc::new(Cell::new(true)));
    pool.release(at(1), Fake(1, quiet.clone()));
    assert!(pool.take(at(1)).is_none());
    pool.release(at(1), Fake(2, quiet));
    pool.drop_stale();
    assert_eq!(pool.held(), 0);
}

#[test]
fn a_connection_is_quiet_until_bytes_arrive_or_it_ends() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        use tokio::io::AsyncWriteExt;
        for ends in [false, true] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let ours = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let (mut theirs, _) = listener.accept().await.unwrap();
            assert!(ours.quiet());
            if ends {
                drop(theirs);
            } else {
                theirs.write_all(b"x").await.unwrap();
            }
            ours.readable().await.unwrap();
            assert!(!ours.quiet());
        }
    });
}

#[test]
fn only_a_connection_that_has_rested_is_taken() {
    let (pool, quiet) = (pool(4, Duration::from_secs(3600)), Rc::new(Cell::new(true)));
    pool.release(at(1), Fake(1, quiet.clone()));
    assert_eq!(pool.take(at(1)).map(|fake| fake.0), Some(1), "without a rest a connection is taken at once");
    let resting = pool.clone().resting(Duration::from_secs(60));
    pool.release(at(1), Fake(9, quiet.clone()));
    assert_eq!(resting.take(at(1)).map(|fake| fake.0), Some(9), "no node has sent unsolicited bytes");
    resting.rest();
    pool.release(at(1), Fake(2, quiet));
    assert!(resting.take(at(1)).is_none() && resting.take_latest(at(1)).is_none());
    assert_eq!(pool.held(), 1);
    pool.idle().kept.get_mut(&at(1)).unwrap()[0].since = Instant::now() - Duration::from_secs(60);
    pool.release(at(1), Fake(3, Rc::new(Cell::new(true))));
    assert_eq!(resting.take(at(1)).map(|fake| fake.0), Some(2), "the one that has rested");
    assert!(resting.take(at(1)).is_none());
}

/// Until a node sends a late second answer, resting costs no extra connection.
#[test]
fn before_any_unsolicited_bytes_the_connection_that_rested_longest_is_taken() {
    let (pool, quiet) = (pool(4, Duration::from_secs(3600)), Rc::new(Cell::new(true)));
    let pool = pool.resting(Duration::from_secs(60));
    for number in 1..=4 {
        pool.release(at(1), Fake(number, quiet.clone()));
    }
    let rested = |places: &[usize]| {
        for place in places {
            pool.idle().kept.get_mut(&at(1)).unwrap()[*place].since -= Duration::from_secs(60);
        }
    };
    rested(&[0, 1]);
    let given: Vec<u32> = std::iter::from_fn(|| pool.take(at(1))).map(|fake| fake.0).collect();
    assert_eq!(
        given,
        [2, 1, 3, 4],
        "the latest of those that have rested, then the one that has rested longest"
    );
}

#[test]
fn connections_without_an_attempt_take_at_most_half_of_the_limit() {
    let pool = pool(4, Duration::from_secs(1));
    let first = pool.begin();
    let spare = pool.begin_spare();
    assert!(spare.is_some() && pool.begin_spare().is_none());
    drop(first);
    assert!(pool.begin_spare().is_some());
}
