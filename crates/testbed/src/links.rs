//! Network links from each controller to each other controller. With them a controller can be
//! partitioned from all others while its workers still reach it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// How often an open connection checks whether its link is cut.
const CUT_POLL: Duration = Duration::from_millis(50);
/// How long a new connection over a cut link stays open without an answer.
const CUT_SILENCE: Duration = Duration::from_secs(2);

/// The link from one controller to another.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Index of the controller that opens the connections.
    pub from: usize,
    /// Index of the controller that accepts the connections.
    pub to: usize,
    /// Address at which the accepting controller listens.
    pub target: SocketAddr,
}

/// The links between all controllers, with the controllers that are cut off at present. Clones
/// share them.
#[derive(Clone)]
pub struct Links {
    start: Instant,
    /// Until when each controller is cut off, by index, in milliseconds since `start`.
    cut_until_ms: Arc<Vec<AtomicU64>>,
}

impl Links {
    /// Creates the links of this many controllers. No link is cut.
    pub fn new(controllers: usize) -> Links {
        Links {
            start: Instant::now(),
            cut_until_ms: Arc::new((0..controllers).map(|_| AtomicU64::new(0)).collect()),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Cuts a controller off from all others for a time.
    pub fn cut(&self, controller: usize, duration_s: f64) {
        let until = self.now_ms() + (duration_s * 1000.0) as u64;
        self.cut_until_ms[controller].store(until, Ordering::Relaxed);
    }

    fn is_cut(&self, link: Link) -> bool {
        let now = self.now_ms();
        let cut = |controller: usize| now < self.cut_until_ms[controller].load(Ordering::Relaxed);
        cut(link.from) || cut(link.to)
    }

    /// Forwards the connections that `listener` accepts over a link.
    pub fn forward(&self, listener: TcpListener, link: Link) {
        let links = self.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let links = links.clone();
                tokio::spawn(async move {
                    if links.is_cut(link) {
                        tokio::time::sleep(CUT_SILENCE).await;
                        return;
                    }
                    let _ = links.exchange(connection, link).await;
                });
            }
        });
    }

    async fn exchange(&self, mut connection: TcpStream, link: Link) -> std::io::Result<()> {
        let mut target = TcpStream::connect(link.target).await?;
        let copy = tokio::io::copy_bidirectional(&mut connection, &mut target);
        let cut = async {
            while !self.is_cut(link) {
                tokio::time::sleep(CUT_POLL).await;
            }
        };
        tokio::select! {
            result = copy => result.map(|_| ()),
            () = cut => Ok(()),
        }
    }
}
