//! What the edge's reading of a stream costs for each piece: `cargo bench -p pathbank-router --bench
//! event_stream`. Nothing here is a test: it prints a table.

use bytes::Bytes;
use pathbank_router::answer::event_stream::EventReader;
use std::hint::black_box;
use std::time::Instant;

const PIECES: u64 = 200_000;
const PASSES: usize = 5;
/// The sizes of a piece's data, bytes.
const DATA_BYTES: [usize; 3] = [16, 256, 4_096];

fn main() {
    println!("{:>10} {:>16} {:>18}", "data bytes", "ns, in one chunk", "ns, in two chunks");
    for bytes in DATA_BYTES {
        let events = events(bytes);
        println!(
            "{bytes:>10} {:>16.0} {:>18.0}",
            best_of_passes(&events, false),
            best_of_passes(&events, true)
        );
    }
}

fn events(data_bytes: usize) -> Vec<Bytes> {
    let data = "x".repeat(data_bytes);
    (1..=PIECES).map(|id| Bytes::from(format!("id: {id}\ndata: {data}\n\n"))).collect()
}

/// Nanoseconds a piece, the best of the passes.
fn best_of_passes(events: &[Bytes], divided: bool) -> f64 {
    let pass = || {
        let mut reader = EventReader::default();
        let start = Instant::now();
        for event in events {
            if divided {
                let half = event.len() / 2;
                black_box(reader.read(&event.slice(..half)));
                black_box(reader.read(&event.slice(half..)));
            } else {
                black_box(reader.read(event));
            }
        }
        assert_eq!(reader.events(), PIECES);
        start.elapsed().as_nanos() as f64 / PIECES as f64
    };
    (0..PASSES).map(|_| pass()).fold(f64::INFINITY, f64::min)
}
