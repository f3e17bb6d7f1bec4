use super::*;
use crate::rehearsal::disk::Disk;

fn opened(disk: &Disk, limits: &SpoolLimits) -> Spool {
    let disk = disk.clone();
    Spool::on(move || disk.clone(), limits)
}

fn limits(bytes: u64) -> SpoolLimits {
    SpoolLimits { directory: "/nowhere".into(), bytes, age: Duration::from_secs(3600) }
}

fn line(i: u64) -> Vec<u8> {
    format!("line {i} {}", "x".repeat((i * 37 % 200) as usize)).into_bytes()
}

fn batch(severity: Severity, numbers: std::ops::Range<u64>) -> Vec<(Severity, &'static str, Vec<u8>)> {
    numbers.map(|i| (severity, "X", line(i))).collect()
}

fn lines(spool: &Spool) -> Vec<Vec<u8>> {
    spool.read(0, usize::MAX).into_iter().map(|(_, line)| line).collect()
}

const INFO: Severity = Severity::Informational;

#[test]
fn lines_stay_in_order_until_released_and_survive_a_restart() {
    let disk = Disk::default();
    let spool = opened(&disk, &limits(1 << 20));
    spool.append(batch(INFO, 0..5));
    spool.append(batch(Severity::Error, 5..8));
    assert_eq!(lines(&spool), (0..8).map(line).collect::<Vec<_>>());
    let keys: Vec<u64> = spool.read(2, 3).into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, [3, 4, 5]);
    spool.release(3);
    assert_eq!((spool.lines(), lines(&spool).len()), (5, 5));
    spool.append(batch(INFO, 8..9));
    drop(spool);
    let spool = opened(&disk, &limits(1 << 20));
    assert_eq!(lines(&spool), (3..9).map(line).collect::<Vec<_>>());
    spool.append(batch(INFO, 9..10));
    assert_eq!(lines(&spool).last(), Some(&line(9)));
    assert!(spool.problems().is_empty());
}

#[test]
fn a_crash_at_any_byte_loses_no_appended_line() {
    let taken = |disk: &Disk| {
        let spool = opened(disk, &limits(1 << 20));
        let mut safe = 0;
        for i in 0..8 {
            spool.append(batch(INFO, i * 10..i * 10 + 10));
            if !spool.state().pending.is_empty() {
                break;
            }
            safe = i * 10 + 10;
        }
        safe
    };
    let whole = Disk::default();
    whole.image().left = Some(usize::MAX);
    assert_eq!(taken(&whole), 80);
    let written = usize::MAX - whole.image().left.unwrap();
    let (mut runs, mut kept) = (0, std::collections::BTreeSet::new());
    for left in (0..written).step_by(written / 150) {
        let disk = Disk::default();
        disk.image().left = Some(left);
        let safe = taken(&disk);
        let image = disk.image();
        // Bytes written since the last sync may or may not survive the crash.
        for bytes in [image.bytes.clone(), image.synced.clone()] {
            let again = opened(&Disk::of(bytes), &limits(1 << 20));
            let all = lines(&again);
            assert!(all.len() as u64 >= safe, "{} of {safe} lines after {left} bytes", all.len());
            assert_eq!(all, (0..all.len() as u64).map(line).collect::<Vec<_>>(), "after {left} bytes");
        }
        runs += 1;
        kept.insert(safe);
    }
    assert!(runs >= 150 && kept.len() >= 8, "{runs} crashes, {kept:?}");
}

#[test]
fn a_full_disk_is_reported_once_and_lines_stay_in_memory_in_order() {
    let disk = Disk::default();
    let spool = opened(&disk, &limits(1 << 20));
    spool.append(batch(INFO, 0..3));
    disk.image().full = true;
    spool.append(batch(INFO, 3..5));
    spool.append(batch(INFO, 5..6));
    assert_eq!(spool.problems().len(), 1);
    assert_eq!(spool.lines(), 6);
    assert!([0, 3].contains(&lines(&spool).len()), "lines on disk are read before lines in memory");
    disk.image().full = false;
    spool.append(batch(INFO, 6..7));
    assert!(spool.state().pending.is_empty());
    assert_eq!(lines(&spool), (0..7).map(line).collect::<Vec<_>>());
    drop(spool);
    assert_eq!(lines(&opened(&disk, &limits(1 << 20))).len(), 7);
    // While the disk stays full, memory is bounded too, and the least severe lines are dropped.
    let spool = opened(&disk, &limits(1 << 20));
    spool.release(7);
    disk.image().full = true;
    spool.append(vec![(Severity::Error, "E", vec![b'e'; 1000])]);
    for _ in 0..MAX_PENDING_BYTES / 1000 + 10 {
        spool.append(vec![(INFO, "X", vec![b'x'; 1000])]);
    }
    assert!(spool.state().pending_bytes <= MAX_PENDING_BYTES);
    let dropped: u64 = spool.dropped().iter().map(|dropped| dropped.count).sum();
    assert!((10..=20).contains(&dropped), "{dropped}");
    assert!(lines(&spool).contains(&vec![b'e'; 1000]));
}

#[test]
fn over_the_size_limit_the_least_severe_and_oldest_lines_are_dropped_and_counted() {
    let disk = Disk::default();
    let spool = opened(&disk, &limits(2_000));
    spool.append(vec![(Severity::Error, "E", vec![b'e'; 400])]);
    for i in 0..10u8 {
        spool.append(vec![(INFO, "X", vec![i; 400])]);
    }
    let kept: Vec<u8> = lines(&spool).iter().map(|line| line[0]).collect();
    assert_eq!(kept, [b'e', 7, 8, 9]);
    assert_eq!(spool.dropped().iter().map(|dropped| dropped.count).sum::<u64>(), 7);
    assert_eq!(spool.lines(), 4);
}

#[test]
fn old_lines_are_dropped_and_a_clock_set_back_loses_none() {
    const HOUR: Micros = 3_600_000_000;
    let disk = Disk::default();
    let spool = opened(&disk, &limits(1 << 20));
    spool.append_at(100 * HOUR, batch(INFO, 0..2));
    spool.append_at(90 * HOUR, batch(INFO, 2..4));
    spool.append_at(90 * HOUR + 1, batch(INFO, 4..5));
    assert_eq!(lines(&spool), (0..5).map(line).collect::<Vec<_>>(), "lines are kept in order of arrival");
    assert!(spool.dropped().is_empty());
    drop(spool);
    let spool = opened(&disk, &limits(1 << 20));
    assert_eq!(lines(&spool).len(), 5);
    spool.append_at(101 * HOUR - 1, batch(INFO, 5..6));
    assert_eq!(spool.lines(), 6, "lines are kept for one hour");
    spool.append_at(101 * HOUR + 1, batch(INFO, 6..7));
    assert_eq!(lines(&spool), (5..7).map(line).collect::<Vec<_>>());
    assert_eq!(spool.dropped().iter().map(|dropped| dropped.count).sum::<u64>(), 5);
}

#[test]
fn a_file_that_is_not_a_database_is_renamed_and_reported() {
    let directory = std::env::temp_dir().join(format!("pathbank-spool-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let limits = SpoolLimits { directory: directory.clone(), ..limits(1 << 20) };
    std::fs::write(directory.join(FILE), "no store at all".repeat(1000)).unwrap();
    let spool = Spool::open(&limits);
    assert_eq!(spool.problems().len(), 1);
    spool.append(batch(INFO, 0..2));
    assert_eq!(lines(&spool).len(), 2);
    drop(spool);
    assert_eq!(lines(&Spool::open(&limits)).len(), 2);
    let names = std::fs::read_dir(&directory).unwrap();
    let aside =
        names.filter(|name| name.as_ref().unwrap().file_name().to_string_lossy().contains("unreadable"));
    assert_eq!(aside.count(), 1);
    std::fs::remove_dir_all(&directory).unwrap();
}
