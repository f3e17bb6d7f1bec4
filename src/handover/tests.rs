use super::*;

const NOBODY: Seen = Seen { lives: false, halved: false };
const WHOLE: Seen = Seen { lives: true, halved: false };
const HALF: Seen = Seen { lives: true, halved: true };

/// `accept` as `a`, `halved` as `h`.
fn word(stand: Stand) -> String {
    format!("{}{}", if stand.accept { "a" } else { "-" }, if stand.halved { "h" } else { "-" })
}

#[test]
fn nobody_begins_before_the_other_has_halved_and_nobody_has_all_while_two_live() {
    for (name, looks) in [
        ("alone", &[(0, NOBODY, "-h"), (1, NOBODY, "a-"), (9_999, NOBODY, "a-")][..]),
        ("takes over", &[(0, WHOLE, "-h"), (50, WHOLE, "-h"), (100, HALF, "ah"), (150, NOBODY, "ah")]),
        ("is left alone", &[(0, HALF, "ah"), (50, NOBODY, "ah"), (100, NOBODY, "a-")]),
        ("one look fails", &[(0, HALF, "ah"), (50, NOBODY, "ah"), (100, HALF, "ah"), (150, NOBODY, "ah")]),
        ("no word", &[(0, WHOLE, "-h"), (2_999, WHOLE, "-h"), (3_000, WHOLE, "ah"), (9_000, WHOLE, "ah")]),
        ("both arrive", &[(0, HALF, "ah"), (50, HALF, "ah")]),
        (
            "is taken over, and the new one dies",
            &[
                (0, NOBODY, "-h"),
                (1, NOBODY, "a-"),
                (500, HALF, "ah"),
                (550, NOBODY, "ah"),
                (600, NOBODY, "a-"),
            ],
        ),
    ] {
        let start = Instant::now();
        let mut pair = Pair::new(start);
        for (at, other, wanted) in looks {
            let stand = pair.look(start + Duration::from_millis(*at), *other);
            assert_eq!(word(stand), *wanted, "{name} at {at}");
        }
    }
}

#[test]
fn whatever_two_processes_see_of_each_other_in_any_order_they_never_have_more_than_one_heads() {
    // Each look is at what the other one's last look made public.
    for order in 0..1u32 << 12 {
        let start = Instant::now();
        let mut pairs = [Pair::new(start), Pair::new(start)];
        let mut public = [Stand { accept: false, halved: true }; 2];
        let mut alive = [true, false];
        for step in 0..12 {
            let who = (order >> step & 1) as usize;
            if !alive[who] {
                // It starts: it is seen as living, and has said nothing of a half yet.
                alive[who] = true;
                public[who] = Stand { accept: false, halved: false };
                continue;
            }
            let other = 1 - who;
            let seen = Seen { lives: alive[other], halved: alive[other] && public[other].halved };
            public[who] = pairs[who].look(start + LOOK * step, seen);
            let spends = |i: usize| match public[i] {
                Stand { accept: true, halved: false } => 2,
                Stand { accept: true, halved: true } => 1,
                _ => 0,
            };
            assert!(spends(0) + spends(1) <= 2, "{order:012b} step {step}: {public:?}");
        }
    }
}
