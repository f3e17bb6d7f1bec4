use super::*;
use std::cell::Cell;

#[test]
fn two_processes_share_and_a_third_finds_no_place() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = std::env::temp_dir().join(format!("pathbank-twins-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // Rubbish that somebody left means nothing.
    std::fs::write(folder.join("pathbank.n0.0.lives"), b"\xff\0 rubbish").unwrap();
    let join = || runtime.block_on(HotRestart::join(&folder, "n0"));
    let (mut old, halved) = (join().unwrap(), Cell::new(None));
    let tell = |now| halved.set(Some(now));
    while !old.look(tell).accept {}
    assert_eq!(halved.get(), Some(false), "alone it has all");
    let mut new = join().unwrap();
    assert!(join().is_none(), "two are all that there can be");
    assert!(!new.look(|_| {}).accept, "the old one has not said its half yet");
    assert!(old.look(tell).halved);
    assert_eq!(halved.get(), Some(true));
    assert_eq!(new.look(|_| {}), Stand { accept: true, halved: true });
    drop(old);
    while new.look(|_| {}).halved {}
    assert!(join().is_some());
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(join().is_none(), "no folder, no place");
}
