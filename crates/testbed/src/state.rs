//! The HTTP interface of the simulated state service, with rate limits and injected faults
//! (outages, refusals of one controller, lost answers).

use crate::store::{Refusal, Store};
use actix_web::{web, HttpResponse};
use foxspur_wire::state::{Entry, Event, Lease, LeaseRequest, Listing, Revision, Txn, WatchReply};
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// While answers are lost, one transaction out of this many gets no answer.
const TRANSACTIONS_PER_LOST_ANSWER: u64 = 4;
/// How long a connection with a lost answer stays open: longer than any controller waits.
const LOST_ANSWER_HOLD: Duration = Duration::from_secs(20);
/// Within one second, requests and written keys may reach this multiple of their limits per second.
const BURST_S: f64 = 2.0;
/// The most keys on one page of a list.
const MAX_PAGE: usize = 1000;
/// The longest time that a watch stays open without a change.
const MAX_WATCH_MS: u64 = 60_000;
/// How often an open watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);

/// The state service as one controller sees it. Clones share the data.
#[derive(Clone)]
pub struct StateService {
    /// Index of this controller.
    controller: usize,
    start: Instant,
    /// Rate limits.
    limits: Rates,
    inner: Arc<Mutex<Inner>>,
}

/// Requests and written keys per second.
#[derive(Clone, Copy, Default)]
struct Rates {
    requests: f64,
    writes: f64,
}

/// The data that all controllers share. All times are in seconds since the service started.
#[derive(Default)]
struct Inner {
    store: Store,
    /// The second to which the counts in `used` apply.
    second: u64,
    /// Requests and written keys in that second.
    used: Rates,
    unavailable_until: f64,
    was_unavailable: bool,
    /// Until when requests of each controller are refused, by controller index.
    refused_until: HashMap<usize, f64>,
    /// Until when some answers to transactions are lost.
    answers_lost_until: f64,
    /// How many answers were lost so far.
    answers_lost: usize,
}

/// The query of a list or watch.
#[derive(Deserialize)]
pub struct Range {
    /// Prefix of the keys.
    #[serde(default)]
    under: String,
    /// For a list, the last key of the previous page; for a watch, a revision: only later changes
    /// are returned.
    since: Option<String>,
    limit: Option<usize>,
    wait_ms: Option<u64>,
}

impl StateService {
    /// Creates an empty service with limits on requests and written keys per second.
    pub fn new(rps: f64, write_rps: f64) -> StateService {
        StateService {
            controller: 0,
            start: Instant::now(),
            limits: Rates {
                requests: rps,
                writes: write_rps,
            },
            inner: Arc::default(),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The number of keys with this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().store.list(prefix).len()
    }

    /// A string field in the value of a key.
    pub fn string_field(&self, key: &str, field: &str) -> Option<String> {
        let entry = self.lock().store.get(key)?;
        let value: serde_json::Value = serde_json::from_str(entry.value.get()).ok()?;
        Some(value.get(field)?.as_str()?.to_string())
    }

    /// Makes the service unavailable to all controllers for a time.
    pub fn make_unavailable(&self, duration_s: f64) {
        let until = self.now() + duration_s;
        self.lock().unavailable_until = until;
    }

    /// Loses some answers to transactions for a time. The transactions are still applied.
    pub fn lose_answers(&self, duration_s: f64) {
        let until = self.now() + duration_s;
        self.lock().answers_lost_until = until;
    }

    /// How many answers to transactions were lost.
    pub fn answers_lost(&self) -> usize {
        self.lock().answers_lost
    }

    /// Whether the answer to the transaction that made this revision is lost; counts it if so.
    fn loses_answer(&self, revision: u64) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let lost =
            now < inner.answers_lost_until && revision.is_multiple_of(TRANSACTIONS_PER_LOST_ANSWER);
        inner.answers_lost += usize::from(lost);
        lost
    }

    /// The same service as another controller sees it.
    pub fn for_controller(&self, controller: usize) -> StateService {
        StateService {
            controller,
            ..self.clone()
        }
    }

    /// Refuses the requests of one controller for a time.
    pub fn refuse(&self, controller: usize, duration_s: f64) {
        let until = self.now() + duration_s;
        self.lock().refused_until.insert(controller, until);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Locks the data and expires leases. Returns nothing while the service is unavailable or
    /// refuses this controller.
    fn lock_if_available(&self) -> Option<MutexGuard<'_, Inner>> {
        let now = self.now();
        let mut inner = self.lock();
        let unavailable = now < inner.unavailable_until;
        if inner.was_unavailable && !unavailable {
            inner.store.full_time(now);
        }
        inner.was_unavailable = unavailable;
        if unavailable {
            return None;
        }
        inner.store.tick(now);
        let refused_until = inner.refused_until.get(&self.controller);
        let refused = refused_until.is_some_and(|until| now < *until);
        (!refused).then_some(inner)
    }

    /// Counts a request that writes `writes` keys and admits it if the rate limits allow it.
    fn admit(&self, writes: usize) -> Result<MutexGuard<'_, Inner>, Rejection> {
        let mut inner = self.lock_if_available().ok_or(Rejection::Unavailable)?;
        let second = self.now() as u64;
        if inner.second != second {
            inner.second = second;
            inner.used = Rates::default();
        }
        inner.used.requests += 1.0;
        inner.used.writes += writes as f64;
        let too_many_requests = inner.used.requests > BURST_S * self.limits.requests;
        let too_many_writes = inner.used.writes > BURST_S * self.limits.writes;
        if too_many_requests || too_many_writes {
            return Err(Rejection::TooMany);
        }
        Ok(inner)
    }
}

/// Why a request is rejected.
enum Rejection {
    Unavailable,
    TooMany,
}

impl From<Rejection> for HttpResponse {
    fn from(rejection: Rejection) -> HttpResponse {
        match rejection {
            Rejection::Unavailable => {
                HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"}))
            }
            Rejection::TooMany => {
                HttpResponse::TooManyRequests().json(json!({"error": "too many"}))
            }
        }
    }
}

type Data = web::Data<StateService>;

/// Reads one key.
async fn get(service: Data, key: web::Path<String>) -> HttpResponse {
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(inner) => match inner.store.get(&key) {
            Some(entry) => HttpResponse::Ok().json(entry),
            None => HttpResponse::NotFound().json(Revision {
                revision: inner.store.revision,
            }),
        },
    }
}

/// Returns one page of the list of keys.
async fn list(service: Data, range: web::Query<Range>) -> HttpResponse {
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(inner) => {
            let after = |e: &Entry| range.since.as_ref().is_none_or(|s| e.key > *s);
            let mut items: Vec<Entry> = inner.store.list(&range.under);
            items.retain(after);
            let page_size = range.limit.unwrap_or(MAX_PAGE).min(MAX_PAGE);
            let more = items.len() > page_size;
            items.truncate(page_size);
            HttpResponse::Ok().json(Listing {
                items,
                more,
                revision: inner.store.revision,
            })
        }
    }
}

/// Applies a transaction.
async fn transact(service: Data, txn: web::Json<Txn>) -> HttpResponse {
    let applied = match service.admit(txn.changes.len()) {
        Err(rejection) => return rejection.into(),
        Ok(mut inner) => {
            let applied = inner.store.apply(&txn);
            applied.map_err(|refusal| (refusal, inner.store.revision))
        }
    };
    match applied {
        Ok(revision) => {
            if service.loses_answer(revision) {
                actix_web::rt::time::sleep(LOST_ANSWER_HOLD).await;
            }
            HttpResponse::Ok().json(Revision { revision })
        }
        Err((Refusal::NoLease, _)) => {
            HttpResponse::BadRequest().json(json!({"error": "no such lease"}))
        }
        Err((Refusal::Conflict(failed), revision)) => {
            HttpResponse::Conflict().json(json!({"failed": failed, "revno": revision}))
        }
    }
}

/// Grants a lease.
async fn grant(service: Data, request: web::Json<LeaseRequest>) -> HttpResponse {
    let now = service.now();
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(mut inner) => {
            let lease = inner.store.grant(request.ttl_ms as f64 / 1000.0, now);
            HttpResponse::Ok().json(Lease { lease })
        }
    }
}

/// Extends a lease.
async fn extend(service: Data, lease: web::Path<u64>) -> HttpResponse {
    let now = service.now();
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(mut inner) => match inner.store.extend(*lease, now) {
            true => HttpResponse::Ok().json(json!({})),
            false => HttpResponse::NotFound().json(json!({})),
        },
    }
}

/// Ends a lease.
async fn end(service: Data, lease: web::Path<u64>) -> HttpResponse {
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(mut inner) => {
            inner.store.end(*lease);
            HttpResponse::Ok().json(json!({}))
        }
    }
}

/// Waits for changes after the revision `since` and returns them.
async fn watch(service: Data, range: web::Query<Range>) -> HttpResponse {
    let since = range.since.as_ref();
    let since: u64 = since.and_then(|text| text.parse().ok()).unwrap_or(0);
    if let Err(rejection) = service.admit(0) {
        return rejection.into();
    }
    let wait_ms = range.wait_ms.unwrap_or(0).min(MAX_WATCH_MS);
    let waits_until = service.now() + wait_ms as f64 / 1000.0;
    loop {
        // An outage does not close open watches.
        if let Some(inner) = service.lock_if_available() {
            let events = changes_after(&inner.store, since, &range.under);
            if !events.is_empty() || service.now() >= waits_until {
                let revision = inner.store.revision;
                return HttpResponse::Ok().json(WatchReply { revision, events });
            }
        }
        actix_web::rt::time::sleep(WATCH_POLL).await;
    }
}

/// Changes of keys with this prefix after a revision, oldest first.
fn changes_after(store: &Store, since: u64, prefix: &str) -> Vec<Event> {
    let newest_first = store.log.iter().rev();
    let mut events: Vec<Event> = newest_first
        .take_while(|(revision, _, _)| *revision > since)
        .filter(|(_, key, _)| key.starts_with(prefix))
        .map(|(revision, key, value)| Event::new(key.clone(), value.clone(), *revision))
        .collect();
    events.reverse();
    events
}

/// The state service's routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/keys", web::get().to(list))
        .route("/keys/{key:.*}", web::get().to(get))
        .route("/multi", web::post().to(transact))
        .route("/leases", web::post().to(grant))
        .route("/leases/{id}/extend", web::post().to(extend))
        .route("/leases/{id}", web::delete().to(end))
        .route("/follow", web::get().to(watch));
}
