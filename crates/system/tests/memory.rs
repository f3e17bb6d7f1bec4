//! The memory budget: shares, leases, and bodies that are held in leased blocks.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use pathbank_system::memory::body_reader::{BodyFault, BodyLimits, BodyMemory, SMALL_BODY_BYTES};
use pathbank_system::memory::call_queue::CallQueue;
use pathbank_system::memory::held_body::{BodyBuffer, HeldBody};
use pathbank_system::memory::plan::{CoreMemory, EdgeMemory};
use pathbank_system::memory::share::MemoryShare;
use std::convert::Infallible;
use std::time::Duration;
use test_case::test_case;

const KIB: usize = 1_024;
const LIMITS: BodyLimits = BodyLimits { bytes: 256 * KIB, timeout: Duration::from_secs(30) };
const BYTES_PER_MB: usize = 1_024 * 1_024;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

/// A body in chunks, without a length.
fn chunked(
    chunk: usize,
    count: usize,
) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin + Send {
    let chunks = (0..count).map(move |_| Ok(Frame::data(Bytes::from(vec![b'x'; chunk]))));
    StreamBody::new(futures_util::stream::iter(chunks))
}

#[test]
fn a_lease_is_given_back_when_it_is_dropped() {
    let share = MemoryShare::new("test", 100);
    let mut lease = share.lease(60).unwrap();
    assert!(share.lease(41).is_err());
    lease.grow(40).unwrap();
    assert!(lease.grow(1).is_err());
    assert_eq!(lease.bytes(), 100);
    lease.shrink(30);
    assert_eq!(share.usage().used, 30);
    drop(lease);
    let usage = share.usage();
    assert_eq!((usage.used, usage.peak), (0, 100));
}

#[test]
fn many_small_chunks_cost_little_more_than_their_bytes() {
    let share = MemoryShare::new("test", usize::MAX);
    let mut buffer = BodyBuffer::new(None);
    for _ in 0..100 * KIB {
        buffer.push(&mut Bytes::from_static(b"x"), &share).unwrap();
    }
    let used = share.usage().used;
    assert!((100 * KIB..170 * KIB).contains(&used), "{used}");
    assert_eq!(buffer.finish().into_vec(), vec![b'x'; 100 * KIB]);
    assert_eq!(share.usage().used, 0);
}

#[test]
fn an_announced_length_costs_no_more_than_it() {
    let share = MemoryShare::new("test", usize::MAX);
    let mut buffer = BodyBuffer::new(Some(800));
    buffer.push(&mut Bytes::from(vec![1; 800]), &share).unwrap();
    assert!(share.usage().used < 1_000, "{:?}", share.usage());
    assert_eq!(buffer.length(), 800);
}

#[test]
fn the_last_clone_of_a_body_gives_its_memory_back() {
    let memory = BodyMemory::new(KIB * KIB, KIB * KIB);
    runtime().block_on(async {
        let body = memory.read(chunked(KIB, 10), LIMITS).await.unwrap();
        let again = body.clone();
        drop(body);
        assert!(memory.small.usage().used >= 10 * KIB);
        assert_eq!(again.collect().await.unwrap().to_bytes().len(), 10 * KIB);
    });
    assert_eq!(memory.small.usage().used, 0);
}

#[test_case(LIMITS.bytes, 0 => Ok(LIMITS.bytes); "at the limit")]
#[test_case(LIMITS.bytes + 1, 0 => Err(BodyFault::TooLong); "over the limit, announced")]
#[test_case(LIMITS.bytes, 1 => Ok(LIMITS.bytes); "at the limit, in chunks")]
#[test_case(LIMITS.bytes + KIB, 1 => Err(BodyFault::TooLong); "over the limit, in chunks")]
fn a_body_up_to_the_limit_is_read(bytes: usize, chunks_of_kib: usize) -> Result<usize, BodyFault> {
    let memory = BodyMemory::new(KIB * KIB, KIB * KIB);
    runtime().block_on(async {
        let read = match chunks_of_kib {
            0 => memory.read(Full::new(Bytes::from(vec![0; bytes])), LIMITS).await,
            kib => memory.read(chunked(kib * KIB, bytes / KIB / kib), LIMITS).await,
        };
        read.map(|body| body.length())
    })
}

#[test]
fn long_bodies_leave_short_ones_their_memory() {
    let memory = BodyMemory::new(64 * KIB, 128 * KIB);
    runtime().block_on(async {
        let long = Full::new(Bytes::from(vec![0; 2 * SMALL_BODY_BYTES]));
        let held = memory.read(long.clone(), LIMITS).await;
        assert_eq!(held.map(|body| body.length()), Err(BodyFault::NoMemory));
        assert_eq!(memory.large.usage().refused, 1);
        let _held: Vec<HeldBody> =
            vec![memory.read(Full::new(Bytes::from(vec![0; 100 * KIB])), LIMITS).await.unwrap()];
        assert_eq!(memory.read(long, LIMITS).await.map(|body| body.length()), Err(BodyFault::NoMemory));
        assert_eq!(memory.read(chunked(100, 10), LIMITS).await.map(|body| body.length()), Ok(1_000));
    });
}

#[test]
fn a_call_waits_until_another_one_is_carried_out() {
    let queue = CallQueue::new("test", 1_000);
    runtime().block_on(async {
        let first = queue.admit(10_000, Duration::ZERO).await.expect("alone, it may take the whole share");
        assert!(queue.admit(1, Duration::from_millis(1)).await.is_none());
        assert_eq!(queue.share.usage().refused, 1);
        let waiting = queue.clone();
        let second = tokio::spawn(async move { waiting.admit(1, Duration::from_secs(30)).await.is_some() });
        tokio::task::yield_now().await;
        drop(first);
        assert!(second.await.unwrap());
    });
}

#[test_case(64)]
#[test_case(256)]
#[test_case(4_096)]
fn the_shares_leave_a_part_for_the_process_itself(memory_mb: u64) {
    let edge: usize = EdgeMemory::new(memory_mb).usage().values().map(|share| share.limit).sum();
    let core: usize = CoreMemory::new(memory_mb).usage().values().map(|share| share.limit).sum();
    let memory = memory_mb as usize * BYTES_PER_MB;
    assert!(edge < memory * 7 / 10, "{edge} of {memory}");
    // Where memory is small, the longest message and the longest body take more than their parts.
    assert!(core < memory * 7 / 10 + 50 * BYTES_PER_MB, "{core} of {memory}");
}
