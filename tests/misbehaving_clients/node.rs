//! A node that answers each request by the same bytes, and stays connected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const HEAD_END: &[u8] = b"\r\n\r\n";
const CALM_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na body";

pub struct ScriptedNode {
    pub address: SocketAddr,
    calm: Arc<AtomicBool>,
}

impl ScriptedNode {
    /// A node that answers each request by these bytes.
    pub fn start(answer: Vec<u8>) -> ScriptedNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, calm) = (Arc::new(answer), Arc::<AtomicBool>::default());
        let is_calm = calm.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, is_calm) = (answer.clone(), is_calm.clone());
                // How a connection broke does not matter.
                std::thread::spawn(move || serve(stream, &answer, &is_calm));
            }
        });
        ScriptedNode { address, calm }
    }

    /// From here on it answers as a node should.
    pub fn calm_down(&self) {
        self.calm.store(true, Ordering::Relaxed);
    }
}

fn serve(mut stream: TcpStream, answer: &[u8], calm: &AtomicBool) -> std::io::Result<()> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while stream.read(&mut byte)? > 0 {
        head.push(byte[0]);
        if head.ends_with(HEAD_END) {
            head.clear();
            let is_calm = calm.load(Ordering::Relaxed);
            stream.write_all(if is_calm { CALM_ANSWER } else { answer })?;
        }
    }
    Ok(())
}
