//! Client of the state service: keys, conditional transactions, leases and watches,
//! within the published limits on requests and writes.

use super::service::{self, Request, Service};
use super::{CallStatistics, Priority, ServiceError, TimedResult};
use crate::protocol::settings::Settings;
use crate::protocol::state::{Conflict, Entry, Lease, LeaseRequest, Listing, News, Revision, Txn};
use crate::transport::http::{Http, Response};
use crate::transport::token_bucket::TokenBucket;
use actix_rt::time::Instant;
use awc::http::Method;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Bound on the time to connect, in seconds.
const CONNECT_TIMEOUT_S: f64 = 0.5;
/// Bound on a call, in seconds: half of what a user waits for a poll (2 s), less the way
/// back.
const CALL_TIMEOUT_S: f64 = 1.0;
/// Connections kept open for watches at most.
const MAX_WATCH_SOCKETS: usize = 4;
/// What a watch may take beyond the wait that it asks for, in seconds.
const WATCH_SLACK_S: f64 = 2.0;
/// Part of the limits that is kept for control traffic.
const RESERVED_PART: f64 = 0.2;
/// Attempts to get a request's turn.
const MAX_TURN_ATTEMPTS: usize = 8;
/// Shortest and longest wait between two of them, in seconds.
const MIN_WAIT_S: f64 = 0.005;
const MAX_WAIT_S: f64 = 0.5;
/// Entries on a page of a listing.
const PAGE_ENTRIES: usize = 200;
/// How the service says that a lease has expired, in the body of a 400.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// Client of the state service.
#[derive(Clone)]
pub struct StateClient {
    service: Service,
    /// Carries watches, which are under way for long.
    watch: Http,
    requests: Rc<RefCell<TokenBucket>>,
    writes: Rc<RefCell<TokenBucket>>,
}

impl StateClient {
    /// A client for the state service that the settings name.
    pub fn new(settings: &Settings) -> StateClient {
        let sockets = (settings.cluster.quota.max_sockets / 16).clamp(4, 48);
        let http = Http::new(CONNECT_TIMEOUT_S, sockets);
        let watch = Http::new(CONNECT_TIMEOUT_S, MAX_WATCH_SOCKETS);
        StateClient::over(settings, http, watch)
    }

    /// The same with other carriers of its calls and of its watches.
    pub fn over(settings: &Settings, http: Http, watch: Http) -> StateClient {
        let limits = &settings.cluster.state;
        let part = rate_part(settings.cluster.nodes);
        let bucket = |limit: f64| {
            let rate = limit * part;
            let bucket = TokenBucket::new(rate, rate, rate * RESERVED_PART);
            Rc::new(RefCell::new(bucket))
        };
        StateClient {
            service: Service::new(http, settings.services.state),
            watch,
            requests: bucket(limits.rps),
            writes: bucket(limits.write_rps),
        }
    }

    /// Waits for the turn of a request that writes so many keys.
    async fn wait_for_turn(&self, writes: usize, priority: Priority) -> Result<(), ServiceError> {
        for _ in 0..MAX_TURN_ATTEMPTS {
            let Err(wait_s) = self.take_tokens(writes, priority) else {
                return Ok(());
            };
            let wait_s = wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S);
            actix_rt::time::sleep(Duration::from_secs_f64(wait_s)).await;
        }
        Err(ServiceError::Refused)
    }

    /// Takes the tokens of one request, or says how long to wait for them.
    fn take_tokens(&self, writes: usize, priority: Priority) -> Result<(), f64> {
        let now = self.service.now();
        self.requests.borrow_mut().take(1.0, priority, now)?;
        if writes == 0 {
            return Ok(());
        }
        self.writes.borrow_mut().take(writes as f64, priority, now)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, ServiceError> {
        self.call_within(method, path, body, CALL_TIMEOUT_S).await
    }

    async fn call_within(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout_s: f64,
    ) -> Result<Response, ServiceError> {
        let request = Request {
            method,
            path,
            body,
            timeout_s,
        };
        let check = |response: Response| {
            if response.status == 429 {
                self.requests.borrow_mut().drain();
            }
            service::not_overloaded(response)
        };
        self.service.call(request, check).await
    }

    /// How calls of the state service went so far; watches are not counted.
    pub fn statistics(&self) -> CallStatistics {
        self.service.statistics()
    }

    /// Reads a key.
    ///
    /// # Errors
    /// The call failed.
    pub async fn get(&self, key: &str, priority: Priority) -> Result<Option<Entry>, ServiceError> {
        self.timed_get(key, priority).await.result
    }

    /// Reads a key, and says when the request was sent.
    pub async fn timed_get(&self, key: &str, priority: Priority) -> TimedResult<Option<Entry>> {
        let turn = self.wait_for_turn(0, priority).await;
        let sent_at = Instant::now();
        let result = match turn {
            Ok(()) => self.send_get(key).await,
            Err(failure) => Err(failure),
        };
        TimedResult { result, sent_at }
    }

    async fn send_get(&self, key: &str) -> Result<Option<Entry>, ServiceError> {
        let path = format!("/keys/{key}");
        let response = self.call(Method::GET, &path, None).await?;
        match response.status {
            200 => service::decode(&response).map(Some),
            404 => Ok(None),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Reads all keys under a prefix; the revision is that of the first page,
    /// so that a watch from there misses nothing.
    ///
    /// # Errors
    /// A call failed.
    pub async fn list(
        &self,
        prefix: &str,
        priority: Priority,
    ) -> Result<(Vec<Entry>, u64), ServiceError> {
        let mut all: Vec<Entry> = Vec::new();
        let mut revision = None;
        loop {
            self.wait_for_turn(0, priority).await?;
            let page = self.page(prefix, all.last()).await?;
            revision.get_or_insert(page.revision);
            let more = page.more && !page.items.is_empty();
            all.extend(page.items);
            if !more {
                return Ok((all, revision.unwrap_or(0)));
            }
        }
    }

    /// Reads the page of a listing that follows the entry `last`.
    async fn page(&self, prefix: &str, last: Option<&Entry>) -> Result<Listing, ServiceError> {
        let since = last.map(|entry| format!("&since={}", entry.key));
        let since = since.unwrap_or_default();
        let path = format!("/keys?under={prefix}&limit={PAGE_ENTRIES}{since}");
        let response = self.call(Method::GET, &path, None).await?;
        match response.status {
            200 => service::decode(&response),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Runs a transaction, and says its revision.
    ///
    /// # Errors
    /// The call failed, or a condition of the transaction did.
    pub async fn txn(&self, txn: &Txn, priority: Priority) -> Result<u64, ServiceError> {
        self.timed_txn(txn, priority).await.result
    }

    /// Runs a transaction, and says when it was sent: it may have waited for its turn
    /// before.
    pub async fn timed_txn(&self, txn: &Txn, priority: Priority) -> TimedResult<u64> {
        let turn = self.wait_for_turn(txn.changes.len(), priority).await;
        let sent_at = Instant::now();
        let result = match turn {
            Ok(()) => self.send_txn(txn).await,
            Err(failure) => Err(failure),
        };
        TimedResult { result, sent_at }
    }

    async fn send_txn(&self, txn: &Txn) -> Result<u64, ServiceError> {
        let body = service::encode(txn)?;
        let response = self.call(Method::POST, "/multi", Some(body)).await?;
        match response.status {
            200 => service::decode::<Revision>(&response).map(|r| r.revision),
            409 => Err(ServiceError::Conflict(
                service::decode::<Conflict>(&response)?.failed,
            )),
            400 if names_no_lease(&response.body) => Err(ServiceError::LeaseNotFound),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Asks for a lease with this time to live, in seconds.
    ///
    /// # Errors
    /// The call failed.
    pub async fn grant(&self, ttl_s: f64) -> Result<u64, ServiceError> {
        self.wait_for_turn(0, Priority::Control).await?;
        let body = service::encode(&LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        })?;
        let response = self.call(Method::POST, "/leases", Some(body)).await?;
        match response.status {
            200 => service::decode::<Lease>(&response).map(|l| l.lease),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Renews a lease. The answer counts however late it comes, so a busy
    /// controller should not give it up early: that it asked is what kept the
    /// lease, and what it knows of it is from then. `timeout_s` is raised to that of
    /// other calls.
    ///
    /// # Errors
    /// The call failed, or the lease has expired.
    pub async fn renew(&self, lease: u64, timeout_s: f64) -> Result<(), ServiceError> {
        self.wait_for_turn(0, Priority::Control).await?;
        let path = format!("/leases/{lease}/extend");
        let body = Some(b"{}".to_vec());
        let timeout_s = timeout_s.max(CALL_TIMEOUT_S);
        let renewal = self.call_within(Method::POST, &path, body, timeout_s);
        match renewal.await?.status {
            200 => Ok(()),
            404 => Err(ServiceError::LeaseNotFound),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Revokes a lease: ends it at once.
    ///
    /// # Errors
    /// The call failed.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), ServiceError> {
        self.wait_for_turn(0, Priority::Control).await?;
        let path = format!("/leases/{lease}");
        self.call(Method::DELETE, &path, None).await.map(|_| ())
    }

    /// Waits for changes under a prefix after the revision `since`, for `wait_s` seconds
    /// at most.
    ///
    /// # Errors
    /// The call failed, or the revision is compacted ([`ServiceError::Compacted`]).
    pub async fn watch(&self, prefix: &str, since: u64, wait_s: f64) -> Result<News, ServiceError> {
        self.wait_for_turn(0, Priority::Control).await?;
        let wait_ms = (wait_s * 1000.0) as u64;
        let request = Request {
            method: Method::GET,
            path: &format!("/follow?under={prefix}&since={since}&wait_ms={wait_ms}"),
            body: None,
            timeout_s: wait_s + WATCH_SLACK_S,
        };
        let response = self.service.send(&self.watch, request).await?;
        let response = service::not_overloaded(response)?;
        match response.status {
            200 => service::decode(&response),
            410 => Err(ServiceError::Compacted),
            status => Err(ServiceError::Status(status)),
        }
    }
}

/// Part of the published limits that a controller uses. Most traffic comes from one
/// leader, so each controller gets more than its even part; the sum of what all really
/// use stays far below.
fn rate_part(controllers: usize) -> f64 {
    if controllers > 1 {
        0.6
    } else {
        0.9
    }
}

fn names_no_lease(body: &[u8]) -> bool {
    body.windows(NO_SUCH_LEASE.len())
        .any(|window| window == NO_SUCH_LEASE)
}
