use super::*;

const ABSENT: Seen = Seen { lives: false, halved: false };
const FULL: Seen = Seen { lives: true, halved: false };
const HALF: Seen = Seen { lives: true, halved: true };

/// Formats `accept` as `a` and `halved` as `h`.
fn flags(stand: Stand) -> String {
    format!("{}{}", if stand.accept { "a" } else { "-" }, if stand.halved { "h" } else { "-" })
}

#[test]
fn a_process_accepts_only_after_the_other_has_halved_and_has_all_only_while_alone() {
    for (name, looks) in [
        ("alone", &[(0, ABSENT, "-h"), (1, ABSENT, "a-"), (9_999, ABSENT, "a-")][..]),
        (
            "takes over from the other",
            &[(0, FULL, "-h"), (50, FULL, "-h"), (100, HALF, "ah"), (150, ABSENT, "ah")],
        ),
        ("the other ends", &[(0, HALF, "ah"), (50, ABSENT, "ah"), (100, ABSENT, "a-")]),
        (
            "one check misses the other",
            &[(0, HALF, "ah"), (50, ABSENT, "ah"), (100, HALF, "ah"), (150, ABSENT, "ah")],
        ),
        (
            "the other does not respond",
            &[(0, FULL, "-h"), (2_999, FULL, "-h"), (3_000, FULL, "ah"), (9_000, FULL, "ah")],
        ),
        ("both start", &[(0, HALF, "ah"), (50, HALF, "ah")]),
        (
            "the other takes over and dies",
            &[
                (0, ABSENT, "-h"),
                (1, ABSENT, "a-"),
                (500, HALF, "ah"),
                (550, ABSENT, "ah"),
                (600, ABSENT, "a-"),
            ],
        ),
    ] {
        let start = Instant::now();
        let mut pair = Pair::new(start);
        for (at, other, wanted) in looks {
            let stand = pair.look(start + Duration::from_millis(*at), *other);
            assert_eq!(flags(stand), *wanted, "{name} at {at}");
        }
    }
}

#[test]
fn two_processes_never_use_more_than_the_limits_of_one_host_in_any_order_of_checks() {
    // Each check reads what the other process announced after its own last check.
    for order in 0..1u32 << 12 {
        let start = Instant::now();
        let mut pairs = [Pair::new(start), Pair::new(start)];
        let mut announced = [Stand { accept: false, halved: true }; 2];
        let mut alive = [true, false];
        for step in 0..12 {
            let index = (order >> step & 1) as usize;
            if !alive[index] {
                // The process starts: it is seen as running and has not announced the half share yet.
                alive[index] = true;
                announced[index] = Stand { accept: false, halved: false };
                continue;
            }
            let other = 1 - index;
            let seen = Seen { lives: alive[other], halved: alive[other] && announced[other].halved };
            announced[index] = pairs[index].look(start + LOOK * step, seen);
            let used = |i: usize| match announced[i] {
                Stand { accept: true, halved: false } => 2,
                Stand { accept: true, halved: true } => 1,
                _ => 0,
            };
            assert!(used(0) + used(1) <= 2, "{order:012b} step {step}: {announced:?}");
        }
    }
}
