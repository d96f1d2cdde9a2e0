//! Who may have how many of a process's sockets. Past the limit a new connection fails,
//! whatever it is for; so the parts are bounded, and what is left over keeps the calls
//! to the state service, the cloud and the peers going.

use std::cell::Cell;
use std::rc::Rc;

/// The sockets of a process.
#[derive(Clone)]
pub struct Sockets {
    pub all: usize,
    /// Connections of workers and users that are open.
    pub incoming: Rc<Cell<usize>>,
}

impl Sockets {
    pub fn new(all: usize) -> Sockets {
        Sockets {
            all,
            incoming: Rc::default(),
        }
    }

    /// Workers and users: every worker holds one to the owner, and users hold fewer. What
    /// comes beyond is closed at once.
    pub fn front(&self) -> usize {
        self.all * 11 / 16
    }

    /// Peers' calls: eight each of up to a dozen where there are thousands of sockets.
    pub fn mesh(&self) -> usize {
        self.all / 16
    }

    /// Kept to workers: an eighth, and what workers and users leave of theirs, less as
    /// much again that stays free for our other calls and for who comes next.
    pub fn to_workers(&self) -> usize {
        let eighth = self.all / 8;
        let left = self.all.saturating_sub(self.incoming.get() + eighth);
        left.max(eighth).max(8)
    }
}
