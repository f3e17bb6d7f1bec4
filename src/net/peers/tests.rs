use super::*;
use crate::clock::Clock;
use crate::core::Core;
use crate::interface::Settings;

#[test]
fn datagrams_from_hosts_reach_the_core_and_those_from_strangers_do_not() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let (other, stranger) = (UdpSocket::bind(any).await.unwrap(), UdpSocket::bind(any).await.unwrap());
        let own: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let list = vec![own, other.local_addr().unwrap()];
        let peers = Peers::new(list, None, 0, Instant::now().into_std());
        let (peer_socket, peer_sender) = PeerSocket::open(any, peers).await.unwrap();
        let serves = crate::lifecycle_state::SERVING;
        let phase = watch::channel(serves);
        let here = peer_socket.address().unwrap();
        let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
        let (handle, mut inputs) = core.handle().overheard();
        tokio::spawn(peer_socket.run(handle, phase.1.clone()));
        stranger.send_to(b"stranger", here).await.unwrap();
        for bytes in [&b""[..], &[7; 257], b"said", &[9; 256]] {
            other.send_to(bytes, here).await.unwrap();
        }
        for wanted in [&b"said"[..], &[9; 256]] {
            match inputs.recv().await {
                Some(Input::Peer { from: 1, bytes }) => assert_eq!(bytes, wanted),
                _ => panic!("another input than the host's datagram was passed on"),
            }
        }
        peer_sender.send(None, vec![1, 2, 3]);
        peer_sender.send(Some(1), vec![4]);
        peer_sender.send(Some(0), vec![5]);
        peer_sender.send(Some(1), vec![6]);
        let mut buffer = [0; 300];
        for wanted in [&[1, 2, 3][..], &[4], &[6]] {
            let (length, from) = other.recv_from(&mut buffer).await.unwrap();
            assert_eq!((&buffer[..length], from), (wanted, here));
        }
    });
}
