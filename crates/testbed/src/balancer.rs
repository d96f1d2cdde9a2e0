//! The load balancer of connections, and what goes wrong on them: cut after any
//! byte of the answers, or delayed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What it does to connections; clones share it.
#[derive(Clone, Default)]
pub struct Trouble {
    /// Of a thousand answers, how many are cut, with their connection.
    cut: Arc<AtomicU64>,
    /// Delay of each piece, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    /// The next answer is cut after so many bytes, less one; 0 for none.
    reset: Arc<AtomicUsize>,
    pub cuts: Arc<AtomicUsize>,
}

impl Trouble {
    pub fn set(&self, cut_of_thousand: u64, delay_ms: u64) {
        self.cut.store(cut_of_thousand, Ordering::Relaxed);
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Cuts the next answer after just this many bytes.
    pub fn reset_at(&self, bytes: usize) {
        self.reset.store(bytes + 1, Ordering::Relaxed);
    }
}

struct Node {
    addr: SocketAddr,
    healthy: std::sync::atomic::AtomicBool,
    open: AtomicUsize,
}

/// Serves at `listener` until the runtime ends.
pub fn run(listener: TcpListener, nodes: Vec<SocketAddr>, trouble: Trouble) {
    let nodes: Arc<Vec<Node>> = Arc::new(
        (nodes.into_iter())
            .map(|addr| Node {
                addr,
                healthy: false.into(),
                open: AtomicUsize::new(0),
            })
            .collect(),
    );
    for n in 0..nodes.len() {
        let nodes = nodes.clone();
        tokio::spawn(async move {
            loop {
                let up = tokio::time::timeout(Duration::from_secs(1), probe(nodes[n].addr)).await;
                nodes[n]
                    .healthy
                    .store(matches!(up, Ok(Some(()))), Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
    }
    tokio::spawn(async move {
        while let Ok((user, _)) = listener.accept().await {
            let (nodes, trouble) = (nodes.clone(), trouble.clone());
            tokio::spawn(async move {
                let _ = carry(user, &nodes, &trouble).await;
            });
        }
    });
}

/// `GET /up` on a connection of its own.
async fn probe(addr: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let request = format!("GET /up HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.ok()?;
    (&head[9..] == b"200").then_some(())
}

/// Carries one connection to a healthy node, at most three tries.
async fn carry(user: TcpStream, nodes: &[Node], trouble: &Trouble) -> Option<()> {
    let mut order: Vec<&Node> = nodes.iter().collect();
    let healthy = |n: &Node| n.healthy.load(Ordering::Relaxed);
    order.retain(|n| healthy(n));
    order.sort_by_key(|n| n.open.load(Ordering::Relaxed));
    for node in order.into_iter().take(3) {
        let connect = TcpStream::connect(node.addr);
        let connected = tokio::time::timeout(Duration::from_millis(500), connect).await;
        let Ok(Ok(stream)) = connected else {
            continue;
        };
        node.open.fetch_add(1, Ordering::Relaxed);
        let ended = exchange(user, stream, trouble).await;
        node.open.fetch_sub(1, Ordering::Relaxed);
        return ended;
    }
    None
}

async fn exchange(user: TcpStream, node: TcpStream, trouble: &Trouble) -> Option<()> {
    let (mut from_user, mut to_user) = user.into_split();
    let (mut from_node, mut to_node) = node.into_split();
    let there = async {
        let _ = tokio::io::copy(&mut from_user, &mut to_node).await;
        let _ = to_node.shutdown().await;
        // The other way ends by itself.
        std::future::pending::<()>().await;
    };
    let back = async {
        let mut piece = [0; 4096];
        loop {
            let n = from_node.read(&mut piece).await.ok()?;
            if n == 0 {
                return Some(());
            }
            let delay = trouble.delay_ms.load(Ordering::Relaxed);
            if delay > 0 {
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
            let cut = rand::random_range(0..1000) < trouble.cut.load(Ordering::Relaxed);
            let reset = trouble.reset.swap(0, Ordering::Relaxed);
            // Anywhere in the answer, or before its first byte.
            let left = match (reset, cut) {
                (1.., _) => (reset - 1).min(n),
                (0, true) => rand::random_range(0..n),
                (0, false) => n,
            };
            let cut = cut || reset > 0;
            to_user.write_all(&piece[..left]).await.ok()?;
            if cut {
                trouble.cuts.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        }
    };
    tokio::select! {
        () = there => None,
        ended = back => ended,
    }
}
