use super::*;

#[test]
fn an_id_is_known_for_its_time_and_their_number_is_limited() {
    let (ids, start) = (Ids::new(3, Duration::from_secs(5)), Instant::now());
    for (second, id, first) in [
        (0, "a", true),
        (1, "a", false),
        (2, "b", true),
        (6, "a", true),
        (6, "b", false),
        (7, "c", true),
        (7, "d", true),
        (7, "b", true),
    ] {
        let now = start + Duration::from_secs(second);
        assert_eq!(ids.first_time(id.as_bytes(), now), first, "{second} {id}");
    }
}

#[test]
fn ids_accepted_by_another_process_of_the_host_are_known_after_it_has_ended() {
    let folder = std::env::temp_dir().join(format!("pathbank-ids-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str| {
        let path = folder.join(name);
        let options = File::options().create(true).truncate(false).read(true).write(true).clone();
        Arc::new(options.open(path).unwrap())
    };
    std::fs::write(folder.join("0"), b"\xff\0 left by somebody").unwrap();
    let start = |ours: &str, other: &str, time| {
        let ids = Ids::new(3, Duration::from_secs(time));
        ids.share((file(ours), file(other))).unwrap();
        ids
    };
    let (old, now) = (start("0", "1", 60), Instant::now());
    assert!(old.first_time(b"a", now) && old.first_time(b"b", now));
    let new = start("1", "0", 60);
    assert!(!new.first_time(b"a", now) && new.first_time(b"c", now));
    assert!(!old.first_time(b"c", now), "the old process must know an id that the new one accepted");
    drop(old);
    // The next process takes the number of the old one, and the files as it left them.
    let next = start("0", "1", 60);
    assert!(!next.first_time(b"b", now) && !next.first_time(b"c", now) && next.first_time(b"d", now));
    let much_later = start("0", "1", 0);
    std::thread::sleep(Duration::from_millis(2));
    assert!(much_later.first_time(b"b", now), "an id must expire");
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Each of two processes writes and checks, in every order of the four steps.
#[test]
fn an_id_that_both_processes_accept_at_once_is_forwarded_by_at_most_one() {
    let folder = std::env::temp_dir().join(format!("pathbank-ids-both-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for (turns, passed_on) in [
        ([0, 0, 1, 1], [true, false]),
        ([0, 1, 0, 1], [false, false]),
        ([0, 1, 1, 0], [false, false]),
        ([1, 0, 0, 1], [false, false]),
        ([1, 0, 1, 0], [false, false]),
        ([1, 1, 0, 0], [false, true]),
    ] {
        let files = ["0", "1"].map(|name| {
            let options = File::options().create(true).truncate(true).read(true).write(true).clone();
            Arc::new(options.open(folder.join(name)).unwrap())
        });
        let share = |ours: usize| {
            Shared::new(files[ours].clone(), files[1 - ours].clone(), 4, [ours as u8; 16]).unwrap()
        };
        let mut both = [share(0), share(1)];
        let now = Duration::from_secs(1_000);
        let (mut written, mut new) = ([false; 2], [false; 2]);
        for who in turns {
            match std::mem::replace(&mut written[who], true) {
                false => both[who].write(b"id", now),
                true => new[who] = both[who].is_new(b"id", now - Duration::from_secs(60)),
            }
        }
        assert_eq!(new, passed_on, "{turns:?}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Two threads run concurrently: each writes an id before it checks the other's file.
#[test]
fn two_concurrent_processes_never_both_forward_the_same_id() {
    const IDS: u32 = 4_000;
    let folder = std::env::temp_dir().join(format!("pathbank-ids-race-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let files = ["0", "1"].map(|name| {
        let options = File::options().create(true).truncate(true).read(true).write(true).clone();
        Arc::new(options.open(folder.join(name)).unwrap())
    });
    let together = Arc::new(std::sync::Barrier::new(2));
    let start = |ours: usize| {
        let ids = Ids::new(IDS as usize, Duration::from_secs(3600));
        ids.share((files[ours].clone(), files[1 - ours].clone())).unwrap();
        ids
    };
    let takes = [start(0), start(1)].map(|ids| {
        let together = together.clone();
        std::thread::spawn(move || {
            let take = |number: u32| {
                together.wait();
                ids.first_time(&number.to_be_bytes(), Instant::now())
            };
            (0..IDS).map(take).collect::<Vec<bool>>()
        })
    });
    let [first, second] = takes.map(|taken| taken.join().unwrap());
    let both = first.iter().zip(&second).filter(|(a, b)| **a && **b).count();
    assert_eq!(both, 0, "ids of {IDS} forwarded twice");
    std::fs::remove_dir_all(&folder).unwrap();
}
