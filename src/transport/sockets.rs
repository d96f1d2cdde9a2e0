//! Who may have how many of a process's sockets. Past the limit a new connection fails,
//! whatever it is for; so the parts are bounded, and what is left over keeps the calls
//! to the state service, the cloud and the peers going.

use std::cell::Cell;
use std::rc::Rc;

/// The sockets of a process.
#[derive(Clone)]
pub struct Sockets {
    /// How many the process may have open.
    pub all: usize,
    /// Connections of workers and users that are open.
    pub incoming: Rc<Cell<usize>>,
}

impl Sockets {
    /// The sockets of a process that may have so many.
    pub fn new(all: usize) -> Sockets {
        Sockets {
            all,
            incoming: Rc::default(),
        }
    }

    /// Most connections of workers and users: every worker holds one to the leader, and
    /// users hold fewer. What comes beyond is closed at once.
    pub fn front(&self) -> usize {
        self.all * 11 / 16
    }

    /// Most connections of other controllers: eight each of up to a dozen where there are thousands of sockets.
    pub fn mesh(&self) -> usize {
        self.all / 16
    }

    /// Most connections kept to workers: an eighth, and what workers and users leave of theirs, less
    /// three sixteenths that stay free for our other calls, for who comes next, and for
    /// those that are just being closed.
    pub fn to_workers(&self) -> usize {
        let free = self.all * 3 / 16;
        let left = self.all.saturating_sub(self.incoming.get() + free);
        left.max(self.all / 8).max(8)
    }
}
