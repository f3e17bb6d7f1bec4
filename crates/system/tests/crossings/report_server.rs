//! A model server that answers each call for its report with the next of some bodies, the last one again and
//! again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

pub struct ReportServer {
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl ReportServer {
    pub fn start<const COUNT: usize>(bodies: [&str; COUNT]) -> ReportServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let (counted, answered) = (connections.clone(), Arc::new(AtomicUsize::new(0)));
        let bodies: Arc<[String]> = bodies.map(str::to_owned).into();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::Relaxed);
                let (bodies, answered) = (bodies.clone(), answered.clone());
                std::thread::spawn(move || drop(serve(stream, &bodies, &answered)));
            }
        });
        ReportServer { address, connections }
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, bodies: &[String], answered: &AtomicUsize) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(());
        }
        request.extend_from_slice(&chunk[..count]);
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            let next = answered.fetch_add(1, Ordering::Relaxed).min(bodies.len() - 1);
            let body = &bodies[next];
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
    }
}
