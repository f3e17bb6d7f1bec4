use super::*;
use tokio::net::TcpListener;

fn on_a_thread<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(work)
}

/// Whether the collector's close, right before or right behind the one line, is told as an end in order.
async fn in_order(close_first: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection = Connection::open(&Collector { address, transport: Transport::Tcp }).await.unwrap();
    let Connection::Tcp(stream) = &connection else { unreachable!() };
    assert!(stream.nodelay().unwrap(), "lines wait for each other");
    let mut batch = Batch::default();
    batch.push(&connection, b"line");
    let (mut collector, _) = listener.accept().await.unwrap();
    if close_first {
        drop(collector);
        // The end is there: it can be read, and is left to be read.
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
fn an_end_that_came_before_a_line_was_written_is_not_the_end_of_one_who_read_it() {
    assert!(on_a_thread(in_order(false)));
    assert!(!on_a_thread(in_order(true)));
}
