use super::*;
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

#[test]
fn only_a_listening_tcp_socket_at_the_right_address_is_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (other, udp) = (SocketAddr::from(([127, 0, 0, 1], 1)), UdpSocket::bind("127.0.0.1:0").unwrap());
    let mut client = TcpStream::connect(address).unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    for (descriptor, wanted, fault) in [
        (1_000_000, address, "not open"),
        (file.as_raw_fd(), address, "not a TCP socket"),
        (udp.as_raw_fd(), address, "does not listen"),
        (client.as_raw_fd(), address, "does not listen"),
        (listener.as_raw_fd(), other, "not at 127.0.0.1:1"),
    ] {
        let error = take(descriptor, wanted).unwrap_err().to_string();
        assert!(error.contains(fault), "{error}");
    }
    let ours = take(listener.as_raw_fd(), address).unwrap();
    // Both descriptors share one accept queue: a connection queued earlier is still there.
    drop(listener);
    client.write_all(b"x").unwrap();
    ours.set_nonblocking(false).unwrap();
    assert_eq!(ours.accept().unwrap().1, client.local_addr().unwrap());
}
