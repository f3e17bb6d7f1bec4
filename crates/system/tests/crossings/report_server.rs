//! A model server that answers each call for its report with the next of some bodies, the last one again and
//! again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

pub struct ReportServer {
    pub address: SocketAddr,
    answers: Arc<Mutex<Vec<usize>>>,
}

impl ReportServer {
    pub fn start<const COUNT: usize>(bodies: [&str; COUNT]) -> ReportServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let answers: Arc<Mutex<Vec<usize>>> = Arc::default();
        let recorded = answers.clone();
        let bodies: Arc<[String]> = bodies.map(str::to_owned).into();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (bodies, answers) = (bodies.clone(), recorded.clone());
                std::thread::spawn(move || drop(serve(stream, connection, &bodies, &answers)));
            }
        });
        ReportServer { address, answers }
    }

    /// The connection of each answer.
    pub fn connections(&self) -> Vec<usize> {
        self.answers.lock().unwrap().clone()
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    bodies: &[String],
    answers: &Mutex<Vec<usize>>,
) -> std::io::Result<()> {
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
            let next = {
                let mut answers = answers.lock().unwrap();
                answers.push(connection);
                answers.len() - 1
            };
            let body = &bodies[next.min(bodies.len() - 1)];
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
    }
}
