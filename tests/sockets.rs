//! A fleet that changes must not use up a process's sockets: connections kept to workers
//! that are gone are given back.

use foxspur::protocol::worker::Direct;
use foxspur::transport::clients::WorkerClient;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Answers every request on every connection, and counts the open ones.
async fn worker(open: Rc<Cell<usize>>) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let addr = listener.local_addr().expect("bound");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = open.clone();
            open.set(open.get() + 1);
            actix_rt::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        break;
                    }
                }
                open.set(open.get() - 1);
            });
        }
    });
    addr
}

#[test]
fn connections_to_workers_that_are_gone_are_given_back() {
    actix_rt::System::new().block_on(changing_fleet());
}

async fn changing_fleet() {
    let client = WorkerClient::with_sockets(64, 1.0);
    let call = Direct {
        token: 1,
        session: 1,
        commands: Vec::new(),
    };
    let open = Rc::new(Cell::new(0));
    let mut most = 0;
    for _ in 0..200 {
        let addr = worker(open.clone()).await;
        client.send(addr, &call).await;
        // Let closed ones be seen.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        most = most.max(open.get());
    }
    let spare = client.process_sockets().to_workers();
    assert!(
        most > spare / 2 && most <= 2 * spare,
        "{most} open, {spare} to spare"
    );
}
