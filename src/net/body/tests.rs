use super::*;

#[test]
fn a_body_is_too_slow_by_its_bytes_for_the_time_waited() {
    for (waited_ms, bytes, slow) in [
        (0, 0, false),
        (2_500, 0, false),
        (2_600, 1, true),
        (3_500, 22_000, false),
        (3_500, 20_000, true),
        // 64 kB a second for 30 seconds.
        (30_000, 30 * 64_000, false),
        // One byte every two seconds.
        (60_000, 30, true),
    ] {
        let pace = Pace { waited: Duration::from_millis(waited_ms), bytes };
        assert_eq!(pace.too_slow(), slow, "{waited_ms} ms, {bytes} bytes");
    }
}

#[test]
fn a_body_up_to_its_size_limit_is_read_whole() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        for (length, whole) in [(0, true), (99, true), (100, true), (101, false)] {
            let mut reading = BodyReader::new(Body::from(vec![7; length]), 100);
            let read = reading.whole().await.map(|body| body.len());
            assert_eq!(read, if whole { Ok(length) } else { Err(Fault::TooLong) });
        }
    });
}
