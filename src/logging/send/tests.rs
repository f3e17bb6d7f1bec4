use super::*;
use crate::config::Names;
use crate::syslog::Severity;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

/// Bytes of a frame: each line is one byte long.
const FRAME: usize = 3;
/// Longer than `CLOSE_WAIT`.
const STALL: Duration = Duration::from_millis(60);

/// Waits until three frames have arrived or no more arrive, reads one, and closes with the others unread.
fn take_one(mut stream: TcpStream) -> Option<u8> {
    stream.set_read_timeout(Some(STALL)).unwrap();
    let (mut there, mut seen) = ([0; 3 * FRAME], 0);
    loop {
        match stream.peek(&mut there) {
            Ok(0) => return None,
            Ok(count) if count == there.len() => break,
            // No more bytes arrived during the last stall.
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
fn a_collector_that_closes_slowly_after_each_line_receives_every_line() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let names = Names { classes: Vec::new(), plans: Vec::new(), deadlines: Vec::new() };
    let file =
        format!("[[collectors]]\ntransport = \"tcp\"\naddress = \"{}\"\n", listener.local_addr().unwrap());
    let mut setup = LogSettings::read(&file, &names, 1 << 20).unwrap();
    // Long enough for the collector to close on a busy machine, and a rest shorter than the test.
    setup.delivery.settle = 10_000_000;
    setup.delivery.most_rest = 1_000;
    let pipe = Pipe::new(1 << 16);
    let push_lines =
        |lines: &[u8]| lines.iter().for_each(|line| pipe.push(0, Severity::Notice, "-", &[*line]));
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
    push_lines(b"abcd");
    let (_reloads, watched) = watch::channel(setup);
    let sending = Sending::new(pipe.clone(), None, watched, Arc::default());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    thread::spawn(move || runtime.block_on(sending.run()));
    let mut missing: Vec<u8> = b"abcdefghi".to_vec();
    let mut first = true;
    while !missing.is_empty() {
        let line = taken.recv_timeout(Duration::from_secs(20));
        let line =
            line.unwrap_or_else(|_| panic!("lines {:?} never arrived", String::from_utf8_lossy(&missing)));
        missing.retain(|left| *left != line);
        // After the first close, lines are sent one at a time; these lines are sent for the first time.
        if std::mem::take(&mut first) {
            push_lines(b"efghi");
        }
    }
}
