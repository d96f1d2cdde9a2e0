//! Clients of the state service, the cloud, workers and peers.

use super::budget::Budget;
use super::http::{CallError, Http, Response};
use super::sockets::Sockets;
use crate::protocol::cloud::{Names, Page, Rental, TypeList};
use crate::protocol::mesh::{self, Answer, Ask};
use crate::protocol::settings::Settings;
use crate::protocol::state::{Conflict, Entry, Lease, LeaseRequest, Listing, News, Revision, Txn};
use crate::protocol::worker::{Direct, Report};
use awc::http::Method;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The other side refused and did nothing (429, 503, never connected).
    #[error("refused")]
    Refused,
    /// It may have been executed, or may be later.
    #[error("unknown outcome")]
    Unknown,
    /// Conditions failed for these keys.
    #[error("conflict: {0:?}")]
    Conflict(Vec<String>),
    /// The lease is gone.
    #[error("no such lease")]
    NoLease,
    /// A watch fell too far behind.
    #[error("compacted")]
    Gone,
    /// The other side answered something else.
    #[error("status {0}")]
    Status(u16),
}

impl From<CallError> for Failure {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent => Failure::Refused,
            CallError::Unknown => Failure::Unknown,
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(response: &Response) -> Result<T, Failure> {
    serde_json::from_slice(&response.body).map_err(|_| Failure::Unknown)
}

/// How urgent a call to the state service is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Lane {
    /// Leases, shares: first in line.
    Control,
    /// Everything else.
    Data,
}

/// What was met at a service: counts, and when it last answered and failed to.
#[derive(Debug, Default, Clone, Copy)]
pub struct Met {
    pub answered: u64,
    pub failed: u64,
    pub answered_at: Option<Instant>,
    pub failed_at: Option<Instant>,
}

impl Met {
    fn note<T>(&mut self, result: &Result<T, Failure>) {
        let at = Some(Instant::now());
        if result.is_ok() {
            self.answered += 1;
            self.answered_at = at;
        } else {
            self.failed += 1;
            self.failed_at = at;
        }
    }
}

/// Client of the state service.
#[derive(Clone)]
pub struct StateClient {
    met: Rc<RefCell<Met>>,
    http: Http,
    watch: Http,
    addr: SocketAddr,
    start: Instant,
    requests: Rc<RefCell<Budget>>,
    writes: Rc<RefCell<Budget>>,
    timeout_s: f64,
}

impl StateClient {
    pub fn new(settings: &Settings) -> StateClient {
        let limits = &settings.cluster.state;
        // Most traffic comes from one owner, so each controller gets more than
        // its even part; the sum of what all really use stays far below.
        let part = if settings.cluster.nodes > 1 { 0.6 } else { 0.9 };
        let bucket = |rate: f64| {
            let rate = rate * part;
            Rc::new(RefCell::new(Budget::new(rate, rate, rate * 0.2)))
        };
        // Half of what a user waits for a poll (2 s), less the way back.
        let timeout_s = 1.0;
        let sockets = (settings.cluster.quota.max_sockets / 16).clamp(4, 48);
        StateClient {
            met: Rc::default(),
            http: Http::new(0.5, sockets),
            watch: Http::new(0.5, 4),
            addr: settings.services.state,
            start: Instant::now(),
            requests: bucket(limits.rps),
            writes: bucket(limits.write_rps),
            timeout_s,
        }
    }

    async fn pay(&self, writes: usize, lane: Lane) -> Result<(), Failure> {
        let control = lane == Lane::Control;
        for _ in 0..8 {
            let now = self.start.elapsed().as_secs_f64();
            let request = self.requests.borrow_mut().take(1.0, control, now);
            let wait = match request.err() {
                Some(wait) => wait,
                None if writes == 0 => return Ok(()),
                None => match self.writes.borrow_mut().take(writes as f64, control, now) {
                    Ok(()) => return Ok(()),
                    Err(wait) => wait,
                },
            };
            actix_rt::time::sleep(Duration::from_secs_f64(wait.clamp(0.005, 0.5))).await;
        }
        Err(Failure::Refused)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, Failure> {
        self.call_within(method, path, body, self.timeout_s).await
    }

    async fn call_within(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout_s: f64,
    ) -> Result<Response, Failure> {
        let sent = self.http.call(self.addr, method, path, body, timeout_s);
        let result = match sent.await {
            Ok(response) if response.status == 429 => {
                self.requests.borrow_mut().drain();
                Err(Failure::Refused)
            }
            Ok(response) if response.status == 503 => Err(Failure::Refused),
            Ok(response) => Ok(response),
            Err(error) => Err(error.into()),
        };
        self.met.borrow_mut().note(&result);
        result
    }

    /// How it was met so far.
    pub fn met(&self) -> Met {
        *self.met.borrow()
    }

    /// Reads a key.
    pub async fn get(&self, key: &str, lane: Lane) -> Result<Option<Entry>, Failure> {
        self.pay(0, lane).await?;
        let response = self
            .call(Method::GET, &format!("/keys/{key}"), None)
            .await?;
        match response.status {
            200 => read(&response).map(Some),
            404 => Ok(None),
            s => Err(Failure::Status(s)),
        }
    }

    /// Reads all keys under a prefix; the revision is that of the first page,
    /// so that a watch from there misses nothing.
    pub async fn list(&self, prefix: &str, lane: Lane) -> Result<(Vec<Entry>, u64), Failure> {
        let mut all: Vec<Entry> = Vec::new();
        let mut revision = None;
        loop {
            self.pay(0, lane).await?;
            let after = all
                .last()
                .map(|e| format!("&since={}", e.key))
                .unwrap_or_default();
            let path = format!("/keys?under={prefix}&limit=200{after}");
            let response = self.call(Method::GET, &path, None).await?;
            if response.status != 200 {
                return Err(Failure::Status(response.status));
            }
            let page: Listing = read(&response)?;
            revision.get_or_insert(page.revision);
            let more = page.more && !page.items.is_empty();
            all.extend(page.items);
            if !more {
                return Ok((all, revision.unwrap_or(0)));
            }
        }
    }

    /// Runs a transaction.
    pub async fn txn(&self, txn: &Txn, lane: Lane) -> Result<u64, Failure> {
        self.pay(txn.changes.len(), lane).await?;
        let body = serde_json::to_vec(txn).map_err(|_| Failure::Status(0))?;
        let response = self.call(Method::POST, "/multi", Some(body)).await?;
        match response.status {
            200 => read::<Revision>(&response).map(|r| r.revision),
            409 => Err(Failure::Conflict(read::<Conflict>(&response)?.failed)),
            400 if response.body.windows(13).any(|w| w == b"no such lease") => {
                Err(Failure::NoLease)
            }
            s => Err(Failure::Status(s)),
        }
    }

    /// Asks for a lease.
    pub async fn grant(&self, ttl_s: f64) -> Result<u64, Failure> {
        self.pay(0, Lane::Control).await?;
        let body = serde_json::to_vec(&LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        })
        .map_err(|_| Failure::Status(0))?;
        let response = self.call(Method::POST, "/leases", Some(body)).await?;
        match response.status {
            200 => read::<Lease>(&response).map(|l| l.lease),
            s => Err(Failure::Status(s)),
        }
    }

    /// Renews a lease. The answer counts however late it comes, so a busy
    /// controller should not give it up early: that it asked is what kept the
    /// lease, and what it knows of it is from then.
    pub async fn renew(&self, lease: u64, patience_s: f64) -> Result<(), Failure> {
        self.pay(0, Lane::Control).await?;
        let path = format!("/leases/{lease}/extend");
        let body = Some(b"{}".to_vec());
        let patience_s = patience_s.max(self.timeout_s);
        let response = self
            .call_within(Method::POST, &path, body, patience_s)
            .await?;
        match response.status {
            200 => Ok(()),
            404 => Err(Failure::NoLease),
            s => Err(Failure::Status(s)),
        }
    }

    /// Ends a lease at once.
    pub async fn end_lease(&self, lease: u64) -> Result<(), Failure> {
        self.pay(0, Lane::Control).await?;
        let path = format!("/leases/{lease}");
        self.call(Method::DELETE, &path, None).await.map(|_| ())
    }

    /// Waits for changes under a prefix after a revision.
    pub async fn watch(&self, prefix: &str, since: u64, wait_s: f64) -> Result<News, Failure> {
        self.pay(0, Lane::Control).await?;
        let path = format!(
            "/follow?under={prefix}&since={since}&wait_ms={}",
            (wait_s * 1000.0) as u64
        );
        let response = self
            .watch
            .call(self.addr, Method::GET, &path, None, wait_s + 2.0)
            .await?;
        match response.status {
            200 => read(&response),
            410 => Err(Failure::Gone),
            429 | 503 => Err(Failure::Refused),
            s => Err(Failure::Status(s)),
        }
    }
}

/// Client of the cloud.
#[derive(Clone)]
pub struct CloudClient {
    met: Rc<RefCell<Met>>,
    http: Http,
    addr: SocketAddr,
    start: Instant,
    budget: Rc<RefCell<Budget>>,
}

impl CloudClient {
    pub fn new(settings: &Settings) -> CloudClient {
        let rps = settings.cluster.cloud.rps;
        CloudClient {
            met: Rc::default(),
            http: Http::new(1.0, 4),
            addr: settings.services.cloud,
            start: Instant::now(),
            // The owner alone uses the cloud, others only for the types.
            budget: Rc::new(RefCell::new(Budget::new(rps * 0.7, rps, 0.0))),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, Failure> {
        let wait = {
            let now = self.start.elapsed().as_secs_f64();
            self.budget.borrow_mut().take(1.0, true, now)
        };
        if let Err(wait) = wait {
            actix_rt::time::sleep(Duration::from_secs_f64(wait.min(2.0))).await;
            let now = self.start.elapsed().as_secs_f64();
            if self.budget.borrow_mut().take(1.0, true, now).is_err() {
                return Err(Failure::Refused);
            }
        }
        let sent = self.http.call(self.addr, method, path, body, 5.0).await;
        let result = match sent {
            Ok(response) => match response.status {
                200 => Ok(response),
                429 | 503 => Err(Failure::Refused),
                s => Err(Failure::Status(s)),
            },
            Err(error) => Err(error.into()),
        };
        self.met.borrow_mut().note(&result);
        result
    }

    /// How it was met so far.
    pub fn met(&self) -> Met {
        *self.met.borrow()
    }

    pub async fn types(&self) -> Result<TypeList, Failure> {
        read(&self.call(Method::GET, "/flavors", None).await?)
    }

    pub async fn rent(&self, rental: &Rental) -> Result<Names, Failure> {
        let body = serde_json::to_vec(rental).map_err(|_| Failure::Status(0))?;
        read(&self.call(Method::POST, "/rentals", Some(body)).await?)
    }

    /// Returns machines; on success they and all that was on them are gone.
    pub async fn give_back(&self, machines: Vec<String>) -> Result<(), Failure> {
        let body = serde_json::to_vec(&Names { machines }).map_err(|_| Failure::Status(0))?;
        self.call(Method::POST, "/rentals/return", Some(body))
            .await
            .map(|_| ())
    }

    /// The whole machine list.
    pub async fn machines(&self) -> Result<Vec<crate::protocol::cloud::Listed>, Failure> {
        let mut all: Vec<crate::protocol::cloud::Listed> = Vec::new();
        loop {
            let since = all
                .last()
                .map(|m| format!("&since={}", m.id))
                .unwrap_or_default();
            let path = format!("/rentals?limit=500{since}");
            let page: Page = read(&self.call(Method::GET, &path, None).await?)?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Ok(all);
            }
        }
    }
}

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
    share: Sockets,
    /// Calls that can be under way at once.
    pub sockets: usize,
    timeout_s: f64,
}

struct Pool {
    http: Http,
    addresses: HashSet<SocketAddr>,
}

/// What came of direct commands.
#[derive(Debug)]
pub enum DirectOutcome {
    /// Executed; the report is from after them.
    Executed(Report),
    /// Not executed, now or ever; the report says why.
    Rejected(Report),
    /// Never sent.
    NotSent,
    /// May be executed at any time while token and session match.
    Unknown,
}

impl WorkerClient {
    pub fn new(settings: &Settings) -> WorkerClient {
        let timeout_s = settings.cluster.workers.report_s.clamp(1.0, 4.0);
        WorkerClient::with_sockets(settings.cluster.quota.max_sockets, timeout_s)
    }

    /// For a process of so many sockets.
    pub fn with_sockets(all: usize, timeout_s: f64) -> WorkerClient {
        let share = Sockets::new(all);
        let sockets = (share.all / 4).clamp(8, 128);
        let pool = Pool {
            http: Http::new(timeout_s / 2.0, sockets),
            addresses: HashSet::new(),
        };
        WorkerClient {
            pool: Rc::new(RefCell::new(pool)),
            share,
            sockets,
            timeout_s,
        }
    }

    /// Addresses to which a connection may be kept.
    pub fn kept(&self) -> usize {
        self.pool.borrow().addresses.len()
    }

    /// The process's sockets.
    pub fn share(&self) -> &Sockets {
        &self.share
    }

    /// The pool for a call to this address.
    fn pool(&self, addr: SocketAddr) -> Http {
        let mut pool = self.pool.borrow_mut();
        // There may be fewer to spare than when the others were kept.
        let others = pool.addresses.len() - usize::from(pool.addresses.contains(&addr));
        if others >= self.share.to_workers() {
            pool.addresses.clear();
            // The old one goes with its last call.
            pool.http = Http::new(self.timeout_s / 2.0, self.sockets);
        }
        pool.addresses.insert(addr);
        pool.http.clone()
    }

    pub async fn send(&self, addr: SocketAddr, direct: &Direct) -> DirectOutcome {
        let Ok(body) = serde_json::to_vec(direct) else {
            return DirectOutcome::NotSent;
        };
        let sent = self
            .pool(addr)
            .call(addr, Method::POST, "/commands", Some(body), self.timeout_s)
            .await;
        match sent {
            Ok(r) if r.status == 200 => match serde_json::from_slice(&r.body) {
                Ok(report) => DirectOutcome::Executed(report),
                Err(_) => DirectOutcome::Unknown,
            },
            Ok(r) if r.status == 409 => match serde_json::from_slice(&r.body) {
                Ok(report) => DirectOutcome::Rejected(report),
                Err(_) => DirectOutcome::Unknown,
            },
            Ok(r) if r.status == 400 => DirectOutcome::NotSent,
            Ok(_) => DirectOutcome::Unknown,
            Err(CallError::NotSent) => DirectOutcome::NotSent,
            Err(CallError::Unknown) => DirectOutcome::Unknown,
        }
    }
}

/// Client of the other controllers.
#[derive(Clone)]
pub struct MeshClient {
    http: Http,
}

impl Default for MeshClient {
    fn default() -> Self {
        MeshClient {
            http: Http::new(0.2, 8),
        }
    }
}

impl MeshClient {
    /// Asks a peer; hints are worth no long wait.
    pub async fn ask(&self, addr: SocketAddr, ask: &Ask) -> Option<Answer> {
        self.ask_within(addr, ask, 0.3).await
    }

    /// Asks a peer with this much patience.
    pub async fn ask_within(&self, addr: SocketAddr, ask: &Ask, wait_s: f64) -> Option<Answer> {
        let body = mesh::encode(ask);
        let response = self
            .http
            .call(addr, Method::POST, "/mesh", Some(body), wait_s)
            .await
            .ok()?;
        if response.status != 200 {
            return None;
        }
        mesh::decode(&response.body)
    }
}
