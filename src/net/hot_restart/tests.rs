use super::*;
use std::cell::Cell;

#[test]
fn two_processes_share_the_capacity_and_a_third_cannot_join() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = std::env::temp_dir().join(format!("pathbank-twins-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // Stale contents of a lock file are ignored.
    std::fs::write(folder.join("pathbank.n0.0.lives"), b"\xff\0 rubbish").unwrap();
    let join = || runtime.block_on(HotRestart::join(&folder, "n0"));
    let (mut old, halved) = (join().unwrap(), Cell::new(None));
    let tell = |now| halved.set(Some(now));
    while !old.check(tell).accept {}
    assert_eq!(halved.get(), Some(false), "a single process must have the whole capacity");
    let mut new = join().unwrap();
    assert!(join().is_none(), "a third process must not join");
    assert!(!new.check(|_| {}).accept, "the old process does not hold its `halved` lock yet");
    assert!(old.check(tell).halved);
    assert_eq!(halved.get(), Some(true));
    assert_eq!(new.check(|_| {}), Permissions { accept: true, halved: true });
    drop(old);
    while new.check(|_| {}).halved {}
    assert!(join().is_some());
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(join().is_none(), "joining must fail without the folder");
}
