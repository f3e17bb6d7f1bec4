use super::*;
use tokio::net::TcpListener;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(work)
}

/// Whether a close by the collector, right before or right after the only line, is reported as orderly.
async fn ends_orderly(close_first: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection = Connection::open(&Collector { address, transport: Transport::Tcp }).await.unwrap();
    let Connection::Tcp(stream) = &connection else { unreachable!() };
    assert!(stream.nodelay().unwrap(), "Nagle's algorithm delays lines");
    let mut batch = Batch::default();
    batch.push(&connection, b"line");
    let (mut collector, _) = listener.accept().await.unwrap();
    if close_first {
        drop(collector);
        // The close has arrived and stays unread.
        let Connection::Tcp(stream) = &connection else { unreachable!() };
        assert_eq!(stream.peek(&mut [0; 1]).await.unwrap(), 0);
        connection.write(&batch).await.unwrap();
    } else {
        connection.write(&batch).await.unwrap();
        collector.read_exact(&mut [0; 6]).await.unwrap();
        drop(collector);
    }
    connection.ended().await
}

#[test]
fn a_close_that_arrived_before_a_line_was_written_is_not_orderly() {
    assert!(block_on(ends_orderly(false)));
    assert!(!block_on(ends_orderly(true)));
}
