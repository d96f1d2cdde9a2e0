//! Limits the number of sockets that a process uses for each purpose. Once a process has its
//! maximum number of sockets open, it cannot open any further connection. Therefore the number of
//! connections to workers, and from workers, users and other controllers, is limited, so that
//! enough sockets remain for calls to the state service, the cloud and the other controllers.

use std::cell::Cell;
use std::rc::Rc;

/// The socket budget of a process: how many sockets it may use for each purpose.
#[derive(Clone)]
pub struct SocketBudget {
    /// Maximum number of open sockets of the process.
    pub limit: usize,
    /// Number of open connections from workers and users.
    pub incoming: Rc<Cell<usize>>,
}

impl SocketBudget {
    /// The budget of a process that may have at most `limit` sockets open.
    pub fn new(limit: usize) -> SocketBudget {
        SocketBudget {
            limit,
            incoming: Rc::default(),
        }
    }

    /// Maximum number of connections from workers and users; connections above it are closed at
    /// once. Every worker keeps one connection to the leader. Users keep fewer connections than
    /// workers.
    pub fn max_incoming(&self) -> usize {
        self.limit * 11 / 16
    }

    /// Maximum number of connections from other controllers. With a limit of thousands of sockets,
    /// the result is enough for a dozen controllers with eight connections each.
    pub fn max_from_controllers(&self) -> usize {
        self.limit / 16
    }

    /// Maximum number of connections to workers that are kept open: the limit less the open
    /// connections from workers and users, and less a reserve of three sixteenths of the limit. The
    /// reserve is for this process's other calls, for new incoming connections, and for connections
    /// that are being closed. The result is at least an eighth of the limit, and at least 8.
    pub fn max_to_workers(&self) -> usize {
        let reserve = self.limit * 3 / 16;
        let unused = self.limit.saturating_sub(self.incoming.get() + reserve);
        unused.max(self.limit / 8).max(8)
    }
}
