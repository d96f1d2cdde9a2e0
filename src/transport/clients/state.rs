//! Client of the state service: keys, conditional transactions, leases and watches,
//! within the published limits on requests and writes.

use super::{read, Failure, Lane, Met, Timed};
use crate::protocol::settings::Settings;
use crate::protocol::state::{Conflict, Entry, Lease, LeaseRequest, Listing, News, Revision, Txn};
use crate::transport::budget::Budget;
use crate::transport::http::{Http, Response};
use actix_rt::time::Instant;
use awc::http::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
    /// A client for the state service that the settings name.
    pub fn new(settings: &Settings) -> StateClient {
        let sockets = (settings.cluster.quota.max_sockets / 16).clamp(4, 48);
        let (http, watch) = (Http::new(0.5, sockets), Http::new(0.5, 4));
        StateClient::over(settings, http, watch)
    }

    /// The same with other carriers of its calls and of its watches.
    pub fn over(settings: &Settings, http: Http, watch: Http) -> StateClient {
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
        StateClient {
            met: Rc::default(),
            http,
            watch,
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
        self.timed_get(key, lane).await.result
    }

    /// Reads a key, and says when the request was sent.
    pub async fn timed_get(&self, key: &str, lane: Lane) -> Timed<Option<Entry>> {
        let paid = self.pay(0, lane).await;
        let sent_at = Instant::now();
        let result = match paid {
            Ok(()) => self.send_get(key).await,
            Err(failure) => Err(failure),
        };
        Timed { result, sent_at }
    }

    async fn send_get(&self, key: &str) -> Result<Option<Entry>, Failure> {
        let path = format!("/keys/{key}");
        let response = self.call(Method::GET, &path, None).await?;
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
        self.timed_txn(txn, lane).await.result
    }

    /// Runs a transaction, and says when it was sent: it may have waited for its turn
    /// before.
    pub async fn timed_txn(&self, txn: &Txn, lane: Lane) -> Timed<u64> {
        let paid = self.pay(txn.changes.len(), lane).await;
        let sent_at = Instant::now();
        let result = match paid {
            Ok(()) => self.send_txn(txn).await,
            Err(failure) => Err(failure),
        };
        Timed { result, sent_at }
    }

    async fn send_txn(&self, txn: &Txn) -> Result<u64, Failure> {
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
