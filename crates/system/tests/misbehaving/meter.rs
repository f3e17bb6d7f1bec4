//! What the kernel says of a process: its memory, the bytes that its sockets hold unread, and its descriptors.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_EVERY: Duration = Duration::from_millis(50);
const BYTES_PER_KIB: u64 = 1_024;
pub const MIB: u64 = 1_024 * 1_024;

/// The most that a process held at any time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory, and bytes that arrived and were not read, together.
    pub memory_bytes: u64,
    pub descriptors: u64,
}

/// Looks at a process again and again until it is stopped.
pub struct Meter {
    stop: Arc<AtomicBool>,
    memory_bytes: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Meter {
    pub fn start(process: u32) -> Meter {
        let (stop, memory_bytes, descriptors) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (stopped, memory, opened) = (stop.clone(), memory_bytes.clone(), descriptors.clone());
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let sockets = descriptors_of(process);
                let held = resident_bytes(process) + unread_bytes(process, &sockets.inodes);
                memory.fetch_max(held, Ordering::Relaxed);
                opened.fetch_max(sockets.count, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_EVERY);
            }
            // Between two samples the memory may have been higher.
            memory.fetch_max(peak_resident_bytes(process), Ordering::Relaxed);
        });
        Meter { stop, memory_bytes, descriptors, thread: Some(thread) }
    }

    pub fn finish(mut self) -> Peak {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the meter runs to its end");
        }
        Peak {
            memory_bytes: self.memory_bytes.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }
}

fn proc(process: u32, file: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{process}/{file}"))
}

/// A line of `/proc/PID/status` in kB, as bytes; 0: the process has ended.
fn status_bytes(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(proc(process, "status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    let kib = line.split_ascii_whitespace().find_map(|word| word.parse::<u64>().ok());
    kib.unwrap_or(0) * BYTES_PER_KIB
}

fn resident_bytes(process: u32) -> u64 {
    status_bytes(process, "VmRSS:")
}

fn peak_resident_bytes(process: u32) -> u64 {
    status_bytes(process, "VmHWM:")
}

#[derive(Default)]
struct Descriptors {
    count: u64,
    inodes: BTreeSet<String>,
}

fn descriptors_of(process: u32) -> Descriptors {
    let Ok(entries) = fs::read_dir(proc(process, "fd")) else { return Descriptors::default() };
    let mut descriptors = Descriptors::default();
    for entry in entries.flatten() {
        descriptors.count += 1;
        let target = fs::read_link(entry.path()).unwrap_or_default();
        let name = target.to_string_lossy();
        if let Some(inode) = name.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
            descriptors.inodes.insert(inode.to_owned());
        }
    }
    descriptors
}

/// The columns of `/proc/PID/net/tcp` that hold the queues (`tx:rx` in hexadecimal), the state and the inode.
const QUEUES: usize = 4;
const STATE: usize = 3;
const INODE: usize = 9;
/// A listener's queue counts connections, not bytes.
const LISTENING: &str = "0A";

fn unread_bytes(process: u32, inodes: &BTreeSet<String>) -> u64 {
    let table = fs::read_to_string(proc(process, "net/tcp")).unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let columns: Vec<&str> = line.split_ascii_whitespace().collect();
        let (queues, inode) = (columns.get(QUEUES)?, columns.get(INODE)?);
        if columns[STATE] == LISTENING || !inodes.contains(*inode) {
            return None;
        }
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    });
    unread.sum()
}
