//! The state service over HTTP: its limits, outages, and refusals of one
//! controller alone.

use crate::store::{Refusal, Store};
use actix_web::{web, HttpResponse};
use foxspur_wire::state::{Entry, Event, Lease, LeaseRequest, Listing, News, Revision, Txn};
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The service as one controller reaches it; clones share what it holds.
#[derive(Clone)]
pub struct StateService {
    face: usize,
    start: Instant,
    limits: (f64, f64),
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    store: Store,
    /// Requests and writes of the present second.
    second: u64,
    spent: (f64, f64),
    /// Away for all until, and for these controllers.
    away_until: f64,
    was_away: bool,
    refused: HashMap<usize, f64>,
    /// Until then answers of transactions are lost, and how many were.
    answers_lost_until: f64,
    answers_lost: usize,
}

/// One in so many transactions has no answer while answers are lost.
const LOST_EVERY: u64 = 4;
/// How long a lost answer keeps its connection: longer than any controller waits.
const HELD: Duration = Duration::from_secs(20);

#[derive(Deserialize)]
pub struct Range {
    #[serde(default)]
    under: String,
    since: Option<String>,
    limit: Option<usize>,
    wait_ms: Option<u64>,
}

impl StateService {
    pub fn new(rps: f64, write_rps: f64) -> StateService {
        StateService {
            face: 0,
            start: Instant::now(),
            limits: (rps, write_rps),
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

    /// Away for all, for this long.
    pub fn away(&self, s: f64) {
        let until = self.now() + s;
        self.lock().away_until = until;
    }

    /// For this long transactions are carried out and some of their answers lost.
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

    /// The same service for another controller.
    pub fn face(&self, face: usize) -> StateService {
        StateService {
            face,
            ..self.clone()
        }
    }

    /// Refuses one controller alone, for this long.
    pub fn refuse(&self, face: usize, s: f64) {
        let until = self.now() + s;
        self.lock().refused.insert(face, until);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The store, unless it is away or refuses this controller.
    fn open(&self) -> Option<MutexGuard<'_, Inner>> {
        let now = self.now();
        let mut inner = self.lock();
        let away = now < inner.away_until;
        if inner.was_away && !away {
            inner.store.full_time(now);
        }
        inner.was_away = away;
        if away {
            return None;
        }
        inner.store.tick(now);
        let refused = inner.refused.get(&self.face).is_some_and(|u| now < *u);
        (!refused).then_some(inner)
    }

    /// Lets a request in, or says why not.
    fn enter(&self, writes: usize) -> Result<MutexGuard<'_, Inner>, NotNow> {
        let mut inner = self.open().ok_or(NotNow::Away)?;
        let second = self.now() as u64;
        if inner.second != second {
            inner.second = second;
            inner.spent = (0.0, 0.0);
        }
        inner.spent.0 += 1.0;
        inner.spent.1 += writes as f64;
        // Bursts of one second's worth are allowed.
        if inner.spent.0 > 2.0 * self.limits.0 || inner.spent.1 > 2.0 * self.limits.1 {
            return Err(NotNow::TooMany);
        }
        Ok(inner)
    }
}

/// Why a request is not executed.
enum NotNow {
    Away,
    TooMany,
}

impl From<NotNow> for HttpResponse {
    fn from(why: NotNow) -> HttpResponse {
        match why {
            NotNow::Away => HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"})),
            NotNow::TooMany => HttpResponse::TooManyRequests().json(json!({"error": "too many"})),
        }
    }
}

type Data = web::Data<StateService>;

async fn get(service: Data, key: web::Path<String>) -> HttpResponse {
    match service.enter(0) {
        Err(refusal) => refusal.into(),
        Ok(inner) => match inner.store.get(&key) {
            Some(entry) => HttpResponse::Ok().json(entry),
            None => HttpResponse::NotFound().json(Revision {
                revision: inner.store.revision,
            }),
        },
    }
}

async fn list(service: Data, range: web::Query<Range>) -> HttpResponse {
    match service.enter(0) {
        Err(refusal) => refusal.into(),
        Ok(inner) => {
            let after = |e: &Entry| range.since.as_ref().is_none_or(|s| e.key > *s);
            let mut items: Vec<Entry> = inner.store.list(&range.under);
            items.retain(after);
            let most = range.limit.unwrap_or(1000).min(1000);
            let more = items.len() > most;
            items.truncate(most);
            HttpResponse::Ok().json(Listing {
                items,
                more,
                revision: inner.store.revision,
            })
        }
    }
}

async fn multi(service: Data, txn: web::Json<Txn>) -> HttpResponse {
    let applied = match service.enter(txn.changes.len()) {
        Err(refusal) => return refusal.into(),
        Ok(mut inner) => {
            let applied = inner.store.apply(&txn);
            applied.map_err(|refusal| (refusal, inner.store.revision))
        }
    };
    match applied {
        Ok(revision) => {
            if service.loses_answer(revision) {
                actix_web::rt::time::sleep(HELD).await;
            }
            HttpResponse::Ok().json(Revision { revision })
        }
        Err((Refusal::NoLease, _)) => {
            HttpResponse::BadRequest().json(json!({"error": "no such lease"}))
        }
        Err((Refusal::Conflict(failed), revno)) => {
            HttpResponse::Conflict().json(json!({"failed": failed, "revno": revno}))
        }
    }
}

async fn grant(service: Data, ask: web::Json<LeaseRequest>) -> HttpResponse {
    let now = service.now();
    match service.enter(0) {
        Err(refusal) => refusal.into(),
        Ok(mut inner) => {
            let lease = inner.store.grant(ask.ttl_ms as f64 / 1000.0, now);
            HttpResponse::Ok().json(Lease { lease })
        }
    }
}

async fn extend(service: Data, lease: web::Path<u64>) -> HttpResponse {
    let now = service.now();
    match service.enter(0) {
        Err(refusal) => refusal.into(),
        Ok(mut inner) => match inner.store.extend(*lease, now) {
            true => HttpResponse::Ok().json(json!({})),
            false => HttpResponse::NotFound().json(json!({})),
        },
    }
}

async fn end(service: Data, lease: web::Path<u64>) -> HttpResponse {
    match service.enter(0) {
        Err(refusal) => refusal.into(),
        Ok(mut inner) => {
            inner.store.end(*lease);
            HttpResponse::Ok().json(json!({}))
        }
    }
}

async fn follow(service: Data, range: web::Query<Range>) -> HttpResponse {
    let since: u64 = range
        .since
        .as_ref()
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    if let Err(refusal) = service.enter(0) {
        return refusal.into();
    }
    let until = service.now() + range.wait_ms.unwrap_or(0).min(60_000) as f64 / 1000.0;
    loop {
        if let Some(inner) = service.open() {
            let changes = inner.store.log.iter().rev();
            let mut events: Vec<Event> = changes
                .take_while(|l| l.0 > since)
                .filter(|l| l.1.starts_with(&range.under))
                .map(|(at, key, value)| Event::new(key.clone(), value.clone(), *at))
                .collect();
            events.reverse();
            if !events.is_empty() || service.now() >= until {
                let revision = inner.store.revision;
                return HttpResponse::Ok().json(News { revision, events });
            }
        }
        // In an outage open watches stay open.
        actix_web::rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Its routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/keys", web::get().to(list))
        .route("/keys/{key:.*}", web::get().to(get))
        .route("/multi", web::post().to(multi))
        .route("/leases", web::post().to(grant))
        .route("/leases/{id}/extend", web::post().to(extend))
        .route("/leases/{id}", web::delete().to(end))
        .route("/follow", web::get().to(follow));
}
