//! Client of the workers: direct commands, over a bounded number of kept connections.

use crate::protocol::settings::Settings;
use crate::protocol::worker::{Direct, Report};
use crate::transport::http::{CallError, Http, Response};
use crate::transport::sockets::Sockets;
use awc::http::Method;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Client of the workers.
///
/// A connection to a worker is kept for later calls, and the pool closes none before the
/// next call to the same address: machines that are gone leave theirs behind, and with
/// as many machines as sockets the process had none left (for its own lease, say). So
/// the addresses that the pool may hold are counted, and where they are as many as there
/// are sockets to spare, all are closed and the pool begins anew.
#[derive(Clone)]
pub struct WorkerClient {
    pool: Rc<RefCell<Pool>>,
    process_sockets: Sockets,
    /// Calls that can be under way at once.
    pub sockets: usize,
    timeout_s: f64,
}

/// The connection pool.
struct Pool {
    http: Http,
    /// Addresses to which it may hold a connection.
    addresses: HashSet<SocketAddr>,
}

/// Outcome of direct commands.
#[derive(Debug)]
pub enum DirectOutcome {
    /// Executed; the heartbeat is from after them.
    Executed(Report),
    /// Not executed, now or ever; the heartbeat says why.
    Rejected(Report),
    /// Never sent.
    NotSent,
    /// May be executed at any time while token and session match.
    Unknown,
}

impl WorkerClient {
    /// A client with the sockets and the timeout that the settings allow.
    pub fn new(settings: &Settings) -> WorkerClient {
        let timeout_s = settings.cluster.workers.report_s.clamp(1.0, 4.0);
        WorkerClient::with_sockets(settings.cluster.quota.max_sockets, timeout_s)
    }

    /// A client in a process of so many sockets; a call may take `timeout_s` seconds.
    pub fn with_sockets(all: usize, timeout_s: f64) -> WorkerClient {
        let process_sockets = Sockets::new(all);
        let sockets = (process_sockets.all / 4).clamp(8, 128);
        let pool = Pool {
            http: Http::new(timeout_s / 2.0, sockets),
            addresses: HashSet::new(),
        };
        WorkerClient {
            pool: Rc::new(RefCell::new(pool)),
            process_sockets,
            sockets,
            timeout_s,
        }
    }

    /// How many addresses a connection may be kept to.
    pub fn kept_connections(&self) -> usize {
        self.pool.borrow().addresses.len()
    }

    /// The process's sockets.
    pub fn process_sockets(&self) -> &Sockets {
        &self.process_sockets
    }

    /// The pool for a call to this address.
    fn pool(&self, addr: SocketAddr) -> Http {
        let mut pool = self.pool.borrow_mut();
        // There may be fewer to spare than when the others were kept.
        let others = pool.addresses.len() - usize::from(pool.addresses.contains(&addr));
        if others >= self.process_sockets.to_workers() {
            pool.addresses.clear();
            // The old one goes with its last call.
            pool.http = Http::new(self.timeout_s / 2.0, self.sockets);
        }
        pool.addresses.insert(addr);
        pool.http.clone()
    }

    /// Sends direct commands to a worker.
    pub async fn send(&self, addr: SocketAddr, direct: &Direct) -> DirectOutcome {
        let Ok(body) = serde_json::to_vec(direct) else {
            return DirectOutcome::NotSent;
        };
        let pool = self.pool(addr);
        let call = pool.call(addr, Method::POST, "/commands", Some(body), self.timeout_s);
        match call.await {
            Ok(response) => outcome(&response),
            Err(CallError::NotSent) => DirectOutcome::NotSent,
            Err(CallError::Unknown) => DirectOutcome::Unknown,
        }
    }
}

/// What a worker's response says of the commands.
fn outcome(response: &Response) -> DirectOutcome {
    let of_report = |outcome: fn(Report) -> DirectOutcome| {
        serde_json::from_slice(&response.body).map_or(DirectOutcome::Unknown, outcome)
    };
    match response.status {
        200 => of_report(DirectOutcome::Executed),
        409 => of_report(DirectOutcome::Rejected),
        400 => DirectOutcome::NotSent,
        _ => DirectOutcome::Unknown,
    }
}
