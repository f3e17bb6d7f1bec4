//! Writing an event-log line and queueing it allocates nothing once the buffers have grown to their final
//! size.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::syslog::Severity;
use pathbank::syslog::encode::{Head, Limits, Line};
use pathbank::syslog::queue::Queue;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[test]
fn a_line_allocates_nothing_in_the_steady_state() {
    let (mut buffer, mut queue, mut out) = (String::new(), Queue::new(64 * 1024), Vec::new());
    let mut round = |count: u32| {
        for i in 0..count {
            let at = jiff::Timestamp::UNIX_EPOCH;
            let time = format_args!("{at:.6}");
            let severity = Severity::ALL[(i % 8) as usize];
            let head =
                Head { severity, timestamp: &time, host: "n3", app: "pathbank", process: 7, id: "REQUEST" };
            let mut line = Line::begin(&mut buffer, Limits::default(), &head);
            line.element("request@32473");
            line.parameter("volume", &format_args!("{i:016x}"));
            line.parameter("odd", &"a]\"\\\u{e9}\n");
            line.end(&"");
            queue.push(u64::from(i), severity, "REQUEST", buffer.as_bytes());
            // The reader falls behind now and then, so that a full queue drops some lines.
            if i % 3 != 0 {
                queue.pop(&mut out);
            }
        }
    };
    round(10_000);
    let region = Region::new(ALLOCATOR);
    round(10_000);
    let change = region.change();
    assert_eq!((change.allocations, change.reallocations), (0, 0), "{change:?}");
}
