//! The ways from each controller to each other one, so that one can be cut off from
//! all the others while its workers still reach it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Which controllers are cut off, and until when; clones share it.
#[derive(Clone)]
pub struct Links {
    start: Instant,
    until_ms: Arc<Vec<AtomicU64>>,
}

impl Links {
    pub fn new(controllers: usize) -> Links {
        Links {
            start: Instant::now(),
            until_ms: Arc::new((0..controllers).map(|_| AtomicU64::new(0)).collect()),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Cuts a controller off from the others, for this long.
    pub fn cut(&self, controller: usize, s: f64) {
        let until = self.now_ms() + (s * 1000.0) as u64;
        self.until_ms[controller].store(until, Ordering::Relaxed);
    }

    fn down(&self, ends: (usize, usize)) -> bool {
        let now = self.now_ms();
        let down = |n: usize| now < self.until_ms[n].load(Ordering::Relaxed);
        down(ends.0) || down(ends.1)
    }

    /// Carries connections from one controller to another, which listens at `addr`.
    pub fn carry(&self, listener: TcpListener, ends: (usize, usize), addr: SocketAddr) {
        let links = self.clone();
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                let links = links.clone();
                tokio::spawn(async move {
                    if links.down(ends) {
                        // A cut stays silent.
                        tokio::time::sleep(Duration::from_secs(2)).await;
                        return;
                    }
                    let _ = links.exchange(from, ends, addr).await;
                });
            }
        });
    }

    async fn exchange(
        &self,
        mut from: TcpStream,
        ends: (usize, usize),
        addr: SocketAddr,
    ) -> std::io::Result<()> {
        let mut to = TcpStream::connect(addr).await?;
        let both = tokio::io::copy_bidirectional(&mut from, &mut to);
        let cut = async {
            while !self.down(ends) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::select! {
            ended = both => ended.map(|_| ()),
            () = cut => Ok(()),
        }
    }
}
