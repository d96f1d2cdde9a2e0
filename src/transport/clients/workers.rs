//! Client of the workers: sends direct commands, and limits the number of connections to workers
//! that are kept open.

use crate::protocol::settings::Settings;
use crate::protocol::worker::{DirectCommands, Report};
use crate::transport::http::{CallError, HttpClient, Response};
use crate::transport::sockets::SocketBudget;
use awc::http::Method;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Client of the workers.
///
/// The pool keeps a connection to a worker open for later calls, and closes an expired connection
/// only at the next call to the same address. So connections to machines that no longer exist stay
/// open. As machines come and go, these connections would use up all sockets of the process, and
/// the process could not even renew its own lease. Therefore the client counts the addresses to
/// which the pool may hold a connection. When their number reaches the limit
/// ([`SocketBudget::max_to_workers`]), the client replaces the pool; this closes all connections
/// of the old pool.
#[derive(Clone)]
pub struct WorkerClient {
    pool: Rc<RefCell<Pool>>,
    socket_budget: SocketBudget,
    /// Maximum number of calls in progress at a time.
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
    /// The worker executed the commands, and then generated the heartbeat that this variant holds.
    Executed(Report),
    /// The worker refused the commands and will never execute them. This variant holds its
    /// heartbeat, which shows why.
    Rejected(Report),
    /// The commands will never be executed: they were not sent, or the worker answered with status
    /// 400.
    NotSent,
    /// The worker may have executed the commands, or may execute them at any later time, as long as
    /// their token and session equal those of the worker.
    Unknown,
}

impl WorkerClient {
    /// A client whose limits and timeout are derived from the settings.
    pub fn new(settings: &Settings) -> WorkerClient {
        let timeout_s = settings.cluster.workers.report_s.clamp(1.0, 4.0);
        WorkerClient::with_sockets(settings.cluster.quota.max_sockets, timeout_s)
    }

    /// A client for a process that may have at most `max_sockets` sockets open, with a timeout of
    /// `timeout_s` seconds per call.
    pub fn with_sockets(max_sockets: usize, timeout_s: f64) -> WorkerClient {
        let socket_budget = SocketBudget::new(max_sockets);
        let max_concurrent_calls = (socket_budget.limit / 4).clamp(8, 128);
        let pool = Pool {
            http: HttpClient::new(timeout_s / 2.0, max_concurrent_calls),
            addresses: HashSet::new(),
        };
        WorkerClient {
            pool: Rc::new(RefCell::new(pool)),
            socket_budget,
            max_concurrent_calls,
            timeout_s,
        }
    }

    /// Number of addresses to which a connection may be kept open.
    pub fn kept_connections(&self) -> usize {
        self.pool.borrow().addresses.len()
    }

    /// The socket budget of the process.
    pub fn socket_budget(&self) -> &SocketBudget {
        &self.socket_budget
    }

    /// The pool for a call to this address. If the current pool may hold too many connections, it is
    /// replaced first.
    fn pool(&self, addr: SocketAddr) -> HttpClient {
        let mut pool = self.pool.borrow_mut();
        // The number can be above the limit, because the limit may have been higher when the other
        // connections were opened.
        let other_addresses = pool.addresses.len() - usize::from(pool.addresses.contains(&addr));
        if other_addresses >= self.socket_budget.max_to_workers() {
            pool.addresses.clear();
            // The old pool is dropped when its last call has ended.
            pool.http = HttpClient::new(self.timeout_s / 2.0, self.max_concurrent_calls);
        }
        pool.addresses.insert(addr);
        pool.http.clone()
    }

    /// Sends direct commands to a worker.
    pub async fn send(&self, addr: SocketAddr, direct: &DirectCommands) -> DirectOutcome {
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
    let with_report = |variant: fn(Report) -> DirectOutcome| {
        serde_json::from_slice(&response.body).map_or(DirectOutcome::Unknown, variant)
    };
    match response.status {
        200 => with_report(DirectOutcome::Executed),
        409 => with_report(DirectOutcome::Rejected),
        400 => DirectOutcome::NotSent,
        _ => DirectOutcome::Unknown,
    }
}
