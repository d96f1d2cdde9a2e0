//! Client of the state service, which observes the published rate limits on requests and writes.
//! It reads keys, runs conditional transactions, manages leases and watches for changes.

use super::service::{self, Request, Service};
use super::{CallStatistics, Priority, ServiceError, TimedResult};
use crate::protocol::settings::Settings;
use crate::protocol::state::{
    Conflict, Entry, Lease, LeaseRequest, Listing, Revision, Txn, WatchReply,
};
use crate::transport::http::{HttpClient, Response};
use crate::transport::token_bucket::TokenBucket;
use actix_rt::time::Instant;
use awc::http::Method;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time to connect, in seconds.
const CONNECT_TIMEOUT_S: f64 = 0.5;
/// Timeout of a call, in seconds. Users wait 2 s for the answer to a poll; the remaining second is
/// for the answer to reach the user.
const CALL_TIMEOUT_S: f64 = 1.0;
/// Maximum number of connections for watches.
const MAX_WATCH_CONNECTIONS: usize = 4;
/// Difference between the timeout of a watch and the time for which the service is asked to wait
/// for changes, in seconds.
const WATCH_SLACK_S: f64 = 2.0;
/// Fraction of the rate limits that is reserved for control traffic.
const RESERVED_FRACTION: f64 = 0.2;
/// Maximum number of attempts to take the tokens for a request.
const MAX_TOKEN_ATTEMPTS: usize = 8;
/// Minimum wait after a failed attempt to take tokens, in seconds.
const MIN_WAIT_S: f64 = 0.005;
/// Maximum wait after a failed attempt to take tokens, in seconds.
const MAX_WAIT_S: f64 = 0.5;
/// Maximum number of entries on a page of a listing.
const PAGE_ENTRIES: usize = 200;
/// Text in the body of a response with status 400, by which the service reports that a lease has
/// expired or was revoked.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// Client of the state service.
#[derive(Clone)]
pub struct StateClient {
    service: Service,
    /// The client for watches, with its own connection pool, because a watch occupies a connection
    /// for a long time.
    watch_http: HttpClient,
    requests: Rc<RefCell<TokenBucket>>,
    writes: Rc<RefCell<TokenBucket>>,
}

impl StateClient {
    /// A client of the state service that the settings name.
    pub fn new(settings: &Settings) -> StateClient {
        let max_connections = (settings.cluster.quota.max_sockets / 16).clamp(4, 48);
        let http = HttpClient::new(CONNECT_TIMEOUT_S, max_connections);
        let watch_http = HttpClient::new(CONNECT_TIMEOUT_S, MAX_WATCH_CONNECTIONS);
        StateClient::with_http(settings, http, watch_http)
    }

    /// A client of the state service that the settings name. It uses `watch_http` for watches and
    /// `http` for all other calls.
    pub fn with_http(settings: &Settings, http: HttpClient, watch_http: HttpClient) -> StateClient {
        let limits = &settings.cluster.state;
        let fraction = rate_fraction(settings.cluster.nodes);
        let bucket = |limit: f64| {
            let rate = limit * fraction;
            let bucket = TokenBucket::new(rate, rate, rate * RESERVED_FRACTION);
            Rc::new(RefCell::new(bucket))
        };
        StateClient {
            service: Service::new(http, settings.services.state),
            watch_http,
            requests: bucket(limits.rps),
            writes: bucket(limits.write_rps),
        }
    }

    /// Waits until the rate limits admit a request that writes `written_keys` keys, and takes the
    /// tokens for the request.
    ///
    /// # Errors
    /// All attempts to take the tokens failed.
    async fn wait_for_tokens(
        &self,
        written_keys: usize,
        priority: Priority,
    ) -> Result<(), ServiceError> {
        for _ in 0..MAX_TOKEN_ATTEMPTS {
            let Err(wait_s) = self.take_tokens(written_keys, priority) else {
                return Ok(());
            };
            let wait_s = wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S);
            actix_rt::time::sleep(Duration::from_secs_f64(wait_s)).await;
        }
        Err(ServiceError::Refused)
    }

    /// Takes the tokens for one request. The error is the time until enough are available, in
    /// seconds.
    fn take_tokens(&self, written_keys: usize, priority: Priority) -> Result<(), f64> {
        let now = self.service.now();
        self.requests.borrow_mut().take(1.0, priority, now)?;
        if written_keys == 0 {
            return Ok(());
        }
        self.writes
            .borrow_mut()
            .take(written_keys as f64, priority, now)
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
                self.requests.borrow_mut().discard_tokens();
            }
            service::not_overloaded(response)
        };
        self.service.call(request, check).await
    }

    /// Statistics of the calls so far; watches are not counted.
    pub fn statistics(&self) -> CallStatistics {
        self.service.statistics()
    }

    /// Reads a key; `None` if the key does not exist.
    ///
    /// # Errors
    /// The call failed.
    pub async fn get(&self, key: &str, priority: Priority) -> Result<Option<Entry>, ServiceError> {
        self.timed_get(key, priority).await.result
    }

    /// Reads a key, and also returns the time at which the request was sent.
    pub async fn timed_get(&self, key: &str, priority: Priority) -> TimedResult<Option<Entry>> {
        let admitted = self.wait_for_tokens(0, priority).await;
        let sent_at = Instant::now();
        let result = match admitted {
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

    /// Reads all entries under a prefix, and returns them with the revision of the first page. A
    /// watch from this revision misses no change that was made while the pages were read.
    ///
    /// # Errors
    /// A call failed.
    pub async fn list(
        &self,
        prefix: &str,
        priority: Priority,
    ) -> Result<(Vec<Entry>, u64), ServiceError> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut revision = None;
        loop {
            self.wait_for_tokens(0, priority).await?;
            let page = self.list_page(prefix, entries.last()).await?;
            revision.get_or_insert(page.revision);
            let has_more = page.more && !page.items.is_empty();
            entries.extend(page.items);
            if !has_more {
                return Ok((entries, revision.unwrap_or(0)));
            }
        }
    }

    /// Reads the page of a listing that follows the entry `last`; the first page if `last` is
    /// `None`.
    async fn list_page(&self, prefix: &str, last: Option<&Entry>) -> Result<Listing, ServiceError> {
        let since = last.map(|entry| format!("&since={}", entry.key));
        let since = since.unwrap_or_default();
        let path = format!("/keys?under={prefix}&limit={PAGE_ENTRIES}{since}");
        let response = self.call(Method::GET, &path, None).await?;
        match response.status {
            200 => service::decode(&response),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Runs a transaction, and returns its revision.
    ///
    /// # Errors
    /// The call or a condition of the transaction failed.
    pub async fn txn(&self, txn: &Txn, priority: Priority) -> Result<u64, ServiceError> {
        self.timed_txn(txn, priority).await.result
    }

    /// Runs a transaction, and also returns the time at which the request was sent.
    pub async fn timed_txn(&self, txn: &Txn, priority: Priority) -> TimedResult<u64> {
        let admitted = self.wait_for_tokens(txn.changes.len(), priority).await;
        let sent_at = Instant::now();
        let result = match admitted {
            Ok(()) => self.send_txn(txn).await,
            Err(failure) => Err(failure),
        };
        TimedResult { result, sent_at }
    }

    async fn send_txn(&self, txn: &Txn) -> Result<u64, ServiceError> {
        let body = service::encode(txn)?;
        let response = self.call(Method::POST, "/multi", Some(body)).await?;
        match response.status {
            200 => service::decode::<Revision>(&response).map(|response| response.revision),
            409 => Err(ServiceError::Conflict(
                service::decode::<Conflict>(&response)?.failed,
            )),
            400 if reports_no_such_lease(&response.body) => Err(ServiceError::LeaseNotFound),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Requests a lease with a time to live of `ttl_s` seconds, and returns its id.
    ///
    /// # Errors
    /// The call failed.
    pub async fn grant(&self, ttl_s: f64) -> Result<u64, ServiceError> {
        self.wait_for_tokens(0, Priority::Control).await?;
        let body = service::encode(&LeaseRequest {
            ttl_ms: (ttl_s * 1000.0) as u64,
        })?;
        let response = self.call(Method::POST, "/leases", Some(body)).await?;
        match response.status {
            200 => service::decode::<Lease>(&response).map(|granted| granted.lease),
            status => Err(ServiceError::Status(status)),
        }
    }

    /// Renews a lease. The timeout is `timeout_s` seconds, or the timeout of other calls if that is
    /// longer.
    ///
    /// A late response is still useful: the service renews the lease when it receives the request,
    /// and the caller counts the lease's duration from the time of the request. Therefore a busy
    /// controller should wait for the response.
    ///
    /// # Errors
    /// The call failed, or the lease has expired.
    pub async fn renew(&self, lease: u64, timeout_s: f64) -> Result<(), ServiceError> {
        self.wait_for_tokens(0, Priority::Control).await?;
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

    /// Revokes a lease, which ends it at once.
    ///
    /// # Errors
    /// The call failed.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), ServiceError> {
        self.wait_for_tokens(0, Priority::Control).await?;
        let path = format!("/leases/{lease}");
        self.call(Method::DELETE, &path, None).await.map(|_| ())
    }

    /// Waits at most `wait_s` seconds for changes under a prefix after the revision `since`, and
    /// returns these changes; there are none if the time has passed.
    ///
    /// # Errors
    /// The call failed, or the changes after `since` have been compacted
    /// ([`ServiceError::Compacted`]).
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait_s: f64,
    ) -> Result<WatchReply, ServiceError> {
        self.wait_for_tokens(0, Priority::Control).await?;
        let wait_ms = (wait_s * 1000.0) as u64;
        let request = Request {
            method: Method::GET,
            path: &format!("/follow?under={prefix}&since={since}&wait_ms={wait_ms}"),
            body: None,
            timeout_s: wait_s + WATCH_SLACK_S,
        };
        let response = self.service.send(&self.watch_http, request).await?;
        let response = service::not_overloaded(response)?;
        match response.status {
            200 => service::decode(&response),
            410 => Err(ServiceError::Compacted),
            status => Err(ServiceError::Status(status)),
        }
    }
}

/// Fraction of the published rate limits that each controller may use. The leader causes most of
/// the traffic, and any controller may become the leader, so each may use more than an equal share.
/// The actual traffic of all controllers together stays far below the limits.
fn rate_fraction(controllers: usize) -> f64 {
    if controllers > 1 {
        0.6
    } else {
        0.9
    }
}

fn reports_no_such_lease(body: &[u8]) -> bool {
    body.windows(NO_SUCH_LEASE.len())
        .any(|window| window == NO_SUCH_LEASE)
}
