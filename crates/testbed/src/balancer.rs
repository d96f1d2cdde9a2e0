//! The load balancer: it forwards each connection to the healthy controller with the fewest open
//! connections, and can cut or delay answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The most controllers tried for one connection.
const MAX_TRIES: usize = 3;
/// Answers are forwarded in pieces of at most this size.
const MAX_PIECE_BYTES: usize = 4096;

/// Faults that are injected into connections. Clones share them.
#[derive(Clone, Default)]
pub struct ConnectionFaults {
    /// How many of a thousand pieces of answers are cut. A cut closes the connection.
    cut_per_thousand: Arc<AtomicU64>,
    /// Delay of each piece, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    /// One more than the number of bytes after which the next piece of an answer is cut; 0 if no
    /// reset is pending.
    reset_after_plus_one: Arc<AtomicUsize>,
    /// How many connections were cut so far.
    cuts: Arc<AtomicUsize>,
}

impl ConnectionFaults {
    /// From now on cuts `cut_per_thousand` of a thousand pieces of answers, and delays each piece
    /// by `delay_ms`.
    pub fn set(&self, cut_per_thousand: u64, delay_ms: u64) {
        self.cut_per_thousand
            .store(cut_per_thousand, Ordering::Relaxed);
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Cuts the next piece of an answer after this many bytes.
    pub fn reset_after(&self, bytes: usize) {
        self.reset_after_plus_one
            .store(bytes + 1, Ordering::Relaxed);
    }

    /// How many connections were cut so far.
    pub fn cuts(&self) -> usize {
        self.cuts.load(Ordering::Relaxed)
    }

    async fn delay(&self) {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Decides whether a piece of an answer is cut. Returns the number of bytes before the cut. A
    /// random cut is at any position, including before the first byte.
    fn cut_position(&self, piece_bytes: usize) -> Option<usize> {
        let cut = rand::random_range(0..1000) < self.cut_per_thousand.load(Ordering::Relaxed);
        match (self.reset_after_plus_one.swap(0, Ordering::Relaxed), cut) {
            (0, false) => None,
            (0, true) => Some(rand::random_range(0..piece_bytes)),
            (plus_one, _) => Some((plus_one - 1).min(piece_bytes)),
        }
    }
}

/// A controller behind the load balancer.
struct Backend {
    addr: SocketAddr,
    healthy: AtomicBool,
    open_connections: AtomicUsize,
}

/// Forwards the connections that `listener` accepts, until the runtime ends.
pub fn run(listener: TcpListener, backends: Vec<SocketAddr>, faults: ConnectionFaults) {
    let backends = backends.into_iter().map(|addr| Backend {
        addr,
        healthy: false.into(),
        open_connections: AtomicUsize::new(0),
    });
    let backends: Arc<Vec<Backend>> = Arc::new(backends.collect());
    for index in 0..backends.len() {
        let backends = backends.clone();
        tokio::spawn(async move { check_health(&backends[index]).await });
    }
    tokio::spawn(async move {
        while let Ok((user, _)) = listener.accept().await {
            let (backends, faults) = (backends.clone(), faults.clone());
            tokio::spawn(async move {
                let _ = forward(user, &backends, &faults).await;
            });
        }
    });
}

async fn check_health(backend: &Backend) {
    loop {
        let check = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, probe(backend.addr)).await;
        let healthy = matches!(check, Ok(Some(())));
        backend.healthy.store(healthy, Ordering::Relaxed);
        tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Sends `GET /up` on a new connection. Returns none unless the answer has status 200.
async fn probe(addr: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let request = format!("GET /up HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.ok()?;
    (&head[9..] == b"200").then_some(())
}

/// Forwards one connection. Healthy backends are tried in the order of their open connections,
/// fewest first, until one accepts it.
async fn forward(user: TcpStream, backends: &[Backend], faults: &ConnectionFaults) -> Option<()> {
    let mut candidates: Vec<&Backend> = backends.iter().collect();
    candidates.retain(|backend| backend.healthy.load(Ordering::Relaxed));
    candidates.sort_by_key(|backend| backend.open_connections.load(Ordering::Relaxed));
    for backend in candidates.into_iter().take(MAX_TRIES) {
        let connect = TcpStream::connect(backend.addr);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Ok(stream)) = connected else {
            continue;
        };
        backend.open_connections.fetch_add(1, Ordering::Relaxed);
        let result = exchange(user, stream, faults).await;
        backend.open_connections.fetch_sub(1, Ordering::Relaxed);
        return result;
    }
    None
}

/// Copies bytes in both directions until the backend closes the connection or the answer is cut.
async fn exchange(user: TcpStream, backend: TcpStream, faults: &ConnectionFaults) -> Option<()> {
    let (mut from_user, mut to_user) = user.into_split();
    let (mut from_backend, mut to_backend) = backend.into_split();
    let requests = async {
        let _ = tokio::io::copy(&mut from_user, &mut to_backend).await;
        let _ = to_backend.shutdown().await;
        // The end of the answers ends the exchange, not the end of the requests.
        std::future::pending::<()>().await;
    };
    let answers = async {
        let mut piece = [0; MAX_PIECE_BYTES];
        loop {
            let bytes = from_backend.read(&mut piece).await.ok()?;
            if bytes == 0 {
                return Some(());
            }
            faults.delay().await;
            let cut = faults.cut_position(bytes);
            let forwarded = cut.unwrap_or(bytes);
            to_user.write_all(&piece[..forwarded]).await.ok()?;
            if cut.is_some() {
                faults.cuts.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        }
    };
    tokio::select! {
        () = requests => None,
        result = answers => result,
    }
}
