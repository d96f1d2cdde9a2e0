//! A network link from one controller to another one, which can be cut: what is on the way is held
//! back, and nothing more arrives.

use crate::http::{addr, listen};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

const POLL: Duration = Duration::from_millis(10);

impl Link {
    /// A link to this address.
    pub fn to(target: SocketAddr) -> Link {
        let listener = listen();
        let link = Link {
            addr: addr(&listener),
            cut: Arc::default(),
        };
        let cut = link.cut.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = cut.clone();
                std::thread::spawn(move || {
                    while cut.load(Ordering::Relaxed) {
                        std::thread::sleep(POLL);
                    }
                    let Ok(other) = TcpStream::connect(target) else {
                        return;
                    };
                    let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) else {
                        return;
                    };
                    let back = cut.clone();
                    std::thread::spawn(move || pass_on(other, stream, &back));
                    pass_on(from, to, &cut);
                });
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(count) if count > 0 => count,
            _ => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        };
        while cut.load(Ordering::Relaxed) {
            std::thread::sleep(POLL);
        }
        if to.write_all(&buffer[..count]).is_err() {
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
