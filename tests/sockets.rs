//! Guards against a process that runs out of sockets while machines join and leave the fleet. The
//! connection pool keeps connections to workers open for later calls, also to workers that no
//! longer exist. Therefore the client must close such connections.

use foxspur::protocol::worker::DirectCommands;
use foxspur::transport::clients::WorkerClient;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Starts a worker that answers every request with status 400. While a connection to the worker is
/// open, `open` is higher by 1.
async fn start_worker(open: Rc<Cell<usize>>) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let addr = listener.local_addr().expect("a bound listener");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = open.clone();
            open.set(open.get() + 1);
            actix_rt::spawn(async move {
                let mut buffer = [0; 4096];
                while stream
                    .read(&mut buffer)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    let response = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
                    if stream.write_all(response).await.is_err() {
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
fn connections_to_former_workers_are_closed() {
    actix_rt::System::new().block_on(call_workers_of_a_changing_fleet());
}

/// Starts 200 workers one after the other, calls each of them once, and checks the maximum number
/// of connections that were open at a time.
async fn call_workers_of_a_changing_fleet() {
    let client = WorkerClient::with_sockets(64, 1.0);
    let commands = DirectCommands {
        token: 1,
        session: 1,
        commands: Vec::new(),
    };
    let open = Rc::new(Cell::new(0));
    let mut max_open = 0;
    for _ in 0..200 {
        let addr = start_worker(open.clone()).await;
        client.send(addr, &commands).await;
        // Lets the workers notice closed connections.
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        max_open = max_open.max(open.get());
    }
    let limit = client.socket_budget().max_to_workers();
    assert!(
        max_open > limit / 2 && max_open <= 2 * limit,
        "{max_open} connections open, limit {limit}"
    );
}
