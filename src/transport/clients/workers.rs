//! Client of the workers: sends direct commands, and bounds the number of connections that it
//! keeps open.

use crate::protocol::settings::Settings;
use crate::protocol::worker::{Direct, Report};
use crate::transport::http::{CallError, HttpClient, Response};
use crate::transport::sockets::Sockets;
use awc::http::Method;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Client of the workers.
///
/// The pool keeps a connection to a worker open for later calls, and closes it only at the next
/// call to the same address. So connections to machines that no longer exist stay open. After
/// calls to as many machines as there are sockets, the process would have no socket left, not
/// even to renew its own lease. Therefore the client counts the addresses to which the pool
/// may hold a connection. When this number reaches the limit ([`Sockets::max_to_workers`]), the
/// client replaces the pool, which closes all of the old pool's connections.
#[derive(Clone)]
pub struct WorkerClient {
    pool: Rc<RefCell<Pool>>,
    process_sockets: Sockets,
    /// Most calls that can be under way at once.
    pub max_concurrent_calls: usize,
    timeout_s: f64,
}

/// The connection pool.
struct Pool {
    http: HttpClient,
    /// Addresses to which the pool may hold a connection.
    addresses: HashSet<SocketAddr>,
}

/// Outcome of sending direct commands.
#[derive(Debug)]
pub enum DirectOutcome {
    /// The worker executed them; its heartbeat was made after that.
    Executed(Report),
    /// The worker refused them and will never execute them; its heartbeat says why.
    Rejected(Report),
    /// They are never executed: they were not sent, or the worker answered with a 400.
    NotSent,
    /// The worker may execute them at any time, as long as their token and session match its
    /// own.
    Unknown,
}

impl WorkerClient {
    /// A client with the limits and the timeout that follow from the settings.
    pub fn new(settings: &Settings) -> WorkerClient {
        let timeout_s = settings.cluster.workers.report_s.clamp(1.0, 4.0);
        WorkerClient::with_sockets(settings.cluster.quota.max_sockets, timeout_s)
    }

    /// A client in a process that may have `max_sockets` open. A call may take `timeout_s`
    /// seconds.
    pub fn with_sockets(max_sockets: usize, timeout_s: f64) -> WorkerClient {
        let process_sockets = Sockets::new(max_sockets);
        let max_concurrent_calls = (process_sockets.limit / 4).clamp(8, 128);
        let pool = Pool {
            http: HttpClient::new(timeout_s / 2.0, max_concurrent_calls),
            addresses: HashSet::new(),
        };
        WorkerClient {
            pool: Rc::new(RefCell::new(pool)),
            process_sockets,
            max_concurrent_calls,
            timeout_s,
        }
    }

    /// Number of addresses to which a connection may be kept open.
    pub fn kept_connections(&self) -> usize {
        self.pool.borrow().addresses.len()
    }

    /// The sockets of the process.
    pub fn process_sockets(&self) -> &Sockets {
        &self.process_sockets
    }

    /// The pool for a call to this address. Replaces the pool if it holds too many connections.
    fn pool(&self, addr: SocketAddr) -> HttpClient {
        let mut pool = self.pool.borrow_mut();
        // The limit may be lower now than when the other connections were opened: hence `>=`.
        let other_addresses = pool.addresses.len() - usize::from(pool.addresses.contains(&addr));
        if other_addresses >= self.process_sockets.max_to_workers() {
            pool.addresses.clear();
            // The old pool is dropped when its last call has ended.
            pool.http = HttpClient::new(self.timeout_s / 2.0, self.max_concurrent_calls);
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

/// The outcome of the commands, according to the worker's response.
fn outcome(response: &Response) -> DirectOutcome {
    let with_report = |outcome: fn(Report) -> DirectOutcome| {
        serde_json::from_slice(&response.body).map_or(DirectOutcome::Unknown, outcome)
    };
    match response.status {
        200 => with_report(DirectOutcome::Executed),
        409 => with_report(DirectOutcome::Rejected),
        400 => DirectOutcome::NotSent,
        _ => DirectOutcome::Unknown,
    }
}
