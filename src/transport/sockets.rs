//! Divides the sockets of a process among their uses. Once the process has as many open as it
//! may, every new connection fails, whatever it is for. So the number of connections to and
//! from workers, users and other controllers is bounded, and enough sockets remain for calls
//! to the state service, the cloud and the peers.

use std::cell::Cell;
use std::rc::Rc;

/// The sockets of a process, and how many each use may take.
#[derive(Clone)]
pub struct Sockets {
    /// Most sockets that the process may have open.
    pub limit: usize,
    /// Number of open connections from workers and users.
    pub incoming: Rc<Cell<usize>>,
}

impl Sockets {
    /// The sockets of a process that may have `limit` of them open.
    pub fn new(limit: usize) -> Sockets {
        Sockets {
            limit,
            incoming: Rc::default(),
        }
    }

    /// Most connections from workers and users. Every worker holds one to the leader, and users
    /// hold fewer. Connections above this number are closed at once.
    pub fn max_incoming(&self) -> usize {
        self.limit * 11 / 16
    }

    /// Most connections from other controllers. With thousands of sockets this is enough for a
    /// dozen controllers with eight connections each.
    pub fn max_from_controllers(&self) -> usize {
        self.limit / 16
    }

    /// Most connections kept open to workers. These are the sockets that workers and users do
    /// not use, less three sixteenths of the limit. That reserve is for this process's other
    /// calls, for new incoming connections, and for connections that are being closed. The
    /// result is at least an eighth of the limit, and at least 8.
    pub fn max_to_workers(&self) -> usize {
        let reserve = self.limit * 3 / 16;
        let unused = self.limit.saturating_sub(self.incoming.get() + reserve);
        unused.max(self.limit / 8).max(8)
    }
}
