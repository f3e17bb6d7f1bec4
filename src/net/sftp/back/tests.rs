use super::*;
use tokio::net::TcpListener;

/// A connection to a node that sends these replies, one to each command.
async fn connection_to_node(replies: Vec<Reply>) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut packets = Framed::new(stream, packet::packet_codec());
        for reply in replies {
            let Some(Ok(packet)) = packets.next().await else { return };
            let Ok(Request::Command { id, .. }) = Request::decode(packet.freeze()) else { return };
            packets.send(Response::Reply { id, reply }.encode()).await.unwrap();
        }
    });
    let stream = TcpStream::connect(address).await.unwrap();
    Connection { packets: Framed::new(stream, packet::packet_codec()), next_id: 0 }
}

fn run(operation: Operation, replies: Vec<Reply>) -> Result<Reply, AttemptError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut connection = connection_to_node(replies).await;
        let job = Job { path: "/a".into(), operation };
        connection.run(&job, &WriteState::default()).await
    })
}

fn write() -> Operation {
    Operation::Write { offset: 0, data: Bytes::from_static(b"data"), append: false }
}

fn handle() -> Reply {
    Reply::Handle(Bytes::from_static(b"h"))
}

fn is_bad_answer(result: &Result<Reply, AttemptError>) -> bool {
    matches!(result, Err(AttemptError::MayHaveRun(AttemptEnd::BadAnswer)))
}

#[test]
fn a_reply_of_another_kind_is_no_answer_to_an_operation() {
    let ok = || Reply::status(Status::Ok, "");
    let data = |text: &'static str| Reply::Data(Bytes::from_static(text.as_bytes()));
    let read = || Operation::Read { offset: 0, length: 4 };
    let stat = || Operation::Stat { follow: true };
    assert_eq!(run(write(), vec![handle(), ok(), ok()]).ok(), Some(ok()));
    assert_eq!(run(read(), vec![handle(), data("data"), ok()]).ok(), Some(data("data")));
    assert_eq!(run(stat(), vec![Reply::Attrs(Attrs::default())]).ok(), Some(Reply::Attrs(Attrs::default())));
    for reply in [handle(), data("data"), Reply::Attrs(Attrs::default()), Reply::status(Status::Eof, "")] {
        assert!(is_bad_answer(&run(write(), vec![handle(), reply.clone(), ok()])), "{reply:?} to a write");
    }
    for reply in [handle(), ok(), data("more than was asked"), Reply::Attrs(Attrs::default())] {
        assert!(is_bad_answer(&run(read(), vec![handle(), reply.clone(), ok()])), "{reply:?} to a read");
    }
    for reply in [handle(), ok(), data("data")] {
        assert!(is_bad_answer(&run(stat(), vec![reply.clone()])), "{reply:?} to a stat");
    }
}

#[test]
fn a_reply_of_another_kind_to_the_opening_of_a_file_leaves_its_operation_undone() {
    for reply in [Reply::status(Status::Ok, ""), Reply::Data(Bytes::new()), Reply::Attrs(Attrs::default())] {
        let result = run(write(), vec![reply]);
        assert!(matches!(result, Err(AttemptError::NotRun(AttemptEnd::BadAnswer))));
    }
}
