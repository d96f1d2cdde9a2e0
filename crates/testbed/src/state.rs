//! The state service's HTTP interface: rate limits, and injected faults (outages, refusals of
//! one controller, lost answers).

use crate::store::{Refusal, Store};
use actix_web::{web, HttpResponse};
use foxspur_wire::state::{Entry, Event, Lease, LeaseRequest, Listing, News, Revision, Txn};
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One in so many transactions has no answer while answers are lost.
const LOST_EVERY: u64 = 4;
/// How long a lost answer keeps its connection: longer than any controller waits.
const LOST_ANSWER_HOLD: Duration = Duration::from_secs(20);
/// Bursts of so many seconds' worth of requests are allowed.
const BURST_S: f64 = 2.0;
/// The most keys on one page of a list.
const MAX_PAGE: usize = 1000;
/// The longest time that a watch stays open without a change.
const MAX_WATCH_MS: u64 = 60_000;
/// How often an open watch looks for changes.
const WATCH_POLL: Duration = Duration::from_millis(10);

/// The service as one controller reaches it; clones share the data.
#[derive(Clone)]
pub struct StateService {
    /// Index of the controller.
    controller: usize,
    start: Instant,
    /// The most requests and writes a second.
    limits: Rates,
    inner: Arc<Mutex<Inner>>,
}

/// Requests and written keys a second.
#[derive(Clone, Copy, Default)]
struct Rates {
    requests: f64,
    writes: f64,
}

/// What all controllers share. All times are seconds from the start of the service.
#[derive(Default)]
struct Inner {
    store: Store,
    /// The present second, and what was requested in it.
    second: u64,
    spent: Rates,
    unavailable_until: f64,
    was_unavailable: bool,
    /// Until when each controller is refused.
    refused_until: HashMap<usize, f64>,
    /// Until when answers of transactions are lost.
    answers_lost_until: f64,
    answers_lost: usize,
}

/// The query of a list or watch.
#[derive(Deserialize)]
pub struct Range {
    /// The prefix of the keys.
    #[serde(default)]
    under: String,
    /// A key to list on after, or a revision to watch from.
    since: Option<String>,
    limit: Option<usize>,
    wait_ms: Option<u64>,
}

impl StateService {
    /// An empty service with limits of requests and written keys a second.
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

    /// How many keys there are under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().store.list(prefix).len()
    }

    /// A string in the value of a key.
    pub fn text(&self, key: &str, field: &str) -> Option<String> {
        let entry = self.lock().store.get(key)?;
        let value: serde_json::Value = serde_json::from_str(entry.value.get()).ok()?;
        Some(value.get(field)?.as_str()?.to_string())
    }

    /// Unavailable to all, for so many seconds.
    pub fn make_unavailable(&self, s: f64) {
        let until = self.now() + s;
        self.lock().unavailable_until = until;
    }

    /// For so many seconds transactions are carried out and some of their answers lost.
    pub fn lose_answers(&self, s: f64) {
        let until = self.now() + s;
        self.lock().answers_lost_until = until;
    }

    /// How many answers of transactions were lost.
    pub fn answers_lost(&self) -> usize {
        self.lock().answers_lost
    }

    /// Whether the answer of the transaction carried out just now is lost.
    fn loses_answer(&self, revision: u64) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        let lost = now < inner.answers_lost_until && revision.is_multiple_of(LOST_EVERY);
        inner.answers_lost += usize::from(lost);
        lost
    }

    /// The same service as another controller reaches it.
    pub fn for_controller(&self, controller: usize) -> StateService {
        StateService {
            controller,
            ..self.clone()
        }
    }

    /// Refuses one controller alone, for so many seconds.
    pub fn refuse(&self, controller: usize, s: f64) {
        let until = self.now() + s;
        self.lock().refused_until.insert(controller, until);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The data, unless the service is unavailable or refuses this controller.
    fn open(&self) -> Option<MutexGuard<'_, Inner>> {
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

    /// Admits a request with so many writes.
    fn admit(&self, writes: usize) -> Result<MutexGuard<'_, Inner>, Rejection> {
        let mut inner = self.open().ok_or(Rejection::Unavailable)?;
        let second = self.now() as u64;
        if inner.second != second {
            inner.second = second;
            inner.spent = Rates::default();
        }
        inner.spent.requests += 1.0;
        inner.spent.writes += writes as f64;
        let too_many_requests = inner.spent.requests > BURST_S * self.limits.requests;
        let too_many_writes = inner.spent.writes > BURST_S * self.limits.writes;
        if too_many_requests || too_many_writes {
            return Err(Rejection::TooMany);
        }
        Ok(inner)
    }
}

/// Why a request is not executed.
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

/// Lists keys, a page at a time.
async fn list(service: Data, range: web::Query<Range>) -> HttpResponse {
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(inner) => {
            let after = |e: &Entry| range.since.as_ref().is_none_or(|s| e.key > *s);
            let mut items: Vec<Entry> = inner.store.list(&range.under);
            items.retain(after);
            let page = range.limit.unwrap_or(MAX_PAGE).min(MAX_PAGE);
            let more = items.len() > page;
            items.truncate(page);
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
async fn grant(service: Data, ask: web::Json<LeaseRequest>) -> HttpResponse {
    let now = service.now();
    match service.admit(0) {
        Err(rejection) => rejection.into(),
        Ok(mut inner) => {
            let lease = inner.store.grant(ask.ttl_ms as f64 / 1000.0, now);
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

/// A watch: waits for changes after the revision `since`.
async fn watch(service: Data, range: web::Query<Range>) -> HttpResponse {
    let since = range.since.as_ref();
    let since: u64 = since.and_then(|text| text.parse().ok()).unwrap_or(0);
    if let Err(rejection) = service.admit(0) {
        return rejection.into();
    }
    let wait_ms = range.wait_ms.unwrap_or(0).min(MAX_WATCH_MS);
    let until = service.now() + wait_ms as f64 / 1000.0;
    loop {
        // In an outage open watches stay open.
        if let Some(inner) = service.open() {
            let events = changes_after(&inner.store, since, &range.under);
            if !events.is_empty() || service.now() >= until {
                let revision = inner.store.revision;
                return HttpResponse::Ok().json(News { revision, events });
            }
        }
        actix_web::rt::time::sleep(WATCH_POLL).await;
    }
}

/// Changes of keys under a prefix after a revision, oldest first.
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
