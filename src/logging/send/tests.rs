use super::*;
use crate::config::Names;
use crate::syslog::Severity;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

/// Each line is one byte, so that a frame is three.
const FRAME: usize = 3;
/// Longer than a careful sender's moment.
const STALL: Duration = Duration::from_millis(60);

/// Waits until three frames are there or no more come, takes one, and closes on what lies behind it.
fn take_one(mut stream: TcpStream) -> Option<u8> {
    stream.set_read_timeout(Some(STALL)).unwrap();
    let (mut there, mut seen) = ([0; 3 * FRAME], 0);
    loop {
        match stream.peek(&mut there) {
            Ok(0) => return None,
            Ok(count) if count == there.len() => break,
            // As much as before: looked at again after a stall, and then it is all.
            Ok(count) if count == seen => break,
            Ok(count) => {
                seen = count;
                thread::sleep(STALL);
            }
            Err(_) => {}
        }
    }
    let mut frame = [0; FRAME];
    stream.read_exact(&mut frame).ok()?;
    Some(frame[2])
}

#[test]
fn a_collector_that_is_slow_to_close_behind_each_line_gets_them_all() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let names = Names { classes: Vec::new(), plans: Vec::new(), deadlines: Vec::new() };
    let file =
        format!("[[collectors]]\ntransport = \"tcp\"\naddress = \"{}\"\n", listener.local_addr().unwrap());
    let mut setup = Setup::read(&file, &names, 1 << 20).unwrap();
    // However busy the machine is, the collector has closed by then; and no rest is longer than the test.
    setup.delivery.settle = 10_000_000;
    setup.delivery.most_rest = 1_000;
    let pipe = Pipe::new(1 << 16);
    let tell = |lines: &[u8]| lines.iter().for_each(|line| pipe.push(0, Severity::Notice, "-", &[*line]));
    let (sender, taken) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Some(line) = take_one(stream)
                && sender.send(line).is_err()
            {
                return;
            }
        }
    });
    tell(b"abcd");
    let (_reloads, watched) = watch::channel(setup);
    let sending = Sending::new(pipe.clone(), None, watched, Arc::default());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    thread::spawn(move || runtime.block_on(sending.run()));
    let mut missing: Vec<u8> = b"abcdefghi".to_vec();
    let mut first = true;
    while !missing.is_empty() {
        let line = taken.recv_timeout(Duration::from_secs(20));
        let line = line.unwrap_or_else(|_| panic!("{:?} never came", String::from_utf8_lossy(&missing)));
        missing.retain(|left| *left != line);
        // From the first close on lines go one at a time; these for the first time.
        if std::mem::take(&mut first) {
            tell(b"efghi");
        }
    }
}
