//! The state service as it answers one request: keys, transactions, leases, watches.

use super::{Call, Cluster, WATCH_STEP};
use foxspur::protocol::state::{Entry, Event, Lease, LeaseRequest, Listing, News, Revision, Txn};
use foxspur::storage::records;
use foxspur_testbed::store::Refusal;
use serde_json::json;
use tokio::time::Instant;

/// A status and a body.
type Answer = (u16, Vec<u8>);

fn json(status: u16, body: serde_json::Value) -> Answer {
    (status, body.to_string().into_bytes())
}

/// The value of a field of the query, as the path ends with it.
fn query_field<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, value) = path.split_once(&format!("{name}="))?;
    value.split('&').next()
}

impl Cluster {
    /// One request to the state service, as it arrives there.
    pub(super) fn execute(&self, from: usize, call: &Call) -> Answer {
        let now = self.start.elapsed().as_secs_f64();
        self.store.borrow_mut().tick(now);
        if let Some(lease) = call.path.strip_prefix("/leases") {
            self.lease(lease, call, now)
        } else if call.path == "/multi" {
            self.transaction(call)
        } else if let Some(key) = call.path.strip_prefix("/keys/") {
            self.read(key)
        } else {
            self.list(from, &call.path)
        }
    }

    /// Grants, renews or revokes a lease.
    fn lease(&self, path: &str, call: &Call, now: f64) -> Answer {
        let store = &mut *self.store.borrow_mut();
        let id = path.trim_matches('/').split('/').next();
        let id: Option<u64> = id.unwrap_or_default().parse().ok();
        match (call.method.as_str(), id) {
            ("POST", None) => {
                let wanted: LeaseRequest =
                    serde_json::from_slice(&call.body).expect("a lease request");
                let lease = store.grant(wanted.ttl_ms as f64 / 1000.0, now);
                json(200, json!(Lease { lease }))
            }
            ("POST", Some(id)) if store.extend(id, now) => json(200, json!({})),
            ("DELETE", Some(id)) => {
                store.end(id);
                json(200, json!({}))
            }
            _ => json(404, json!({})),
        }
    }

    fn transaction(&self, call: &Call) -> Answer {
        let store = &mut *self.store.borrow_mut();
        let txn: Txn = serde_json::from_slice(&call.body).expect("a transaction");
        match store.apply(&txn) {
            Ok(revision) => json(200, json!(Revision { revision })),
            Err(Refusal::Conflict(failed)) => {
                json(409, json!({"failed": failed, "revno": store.revision}))
            }
            Err(Refusal::NoLease) => json(400, json!({"error": "no such lease"})),
        }
    }

    fn read(&self, key: &str) -> Answer {
        let store = self.store.borrow();
        let revision = store.revision;
        match store.get(key) {
            Some(entry) => json(200, json!(entry)),
            None => json(404, json!(Revision { revision })),
        }
    }

    /// One page of a listing.
    fn list(&self, from: usize, path: &str) -> Answer {
        let under = query_field(path, "under").expect("a prefix");
        let since = query_field(path, "since").unwrap_or_default();
        let store = self.store.borrow();
        let mut items: Vec<Entry> = store.list(under);
        items.retain(|e| &*e.key > since);
        let more = items.len() > self.page.get();
        items.truncate(self.page.get());
        if more && under == records::LIVE_PREFIX {
            self.pages.borrow_mut().push((from, Instant::now()));
        }
        let revision = store.revision;
        json(
            200,
            json!(Listing {
                items,
                more,
                revision
            }),
        )
    }

    /// A watch: changes under a prefix after a revision, as soon as there are any.
    pub(super) async fn watch(&self, path: &str) -> Answer {
        let field = |name| query_field(path, name).expect("a field");
        let since: u64 = field("since").parse().expect("a revision");
        let wait_ms: u64 = field("wait_ms").parse().expect("a time");
        let prefix = field("under");
        for _ in 0..=wait_ms / WATCH_STEP.as_millis() as u64 {
            let news = self.changes(prefix, since);
            if !news.events.is_empty() {
                return (200, json!(news).to_string().into());
            }
            tokio::time::sleep(WATCH_STEP).await;
        }
        (200, json!(self.changes(prefix, since)).to_string().into())
    }

    /// The changes under a prefix after a revision.
    fn changes(&self, prefix: &str, since: u64) -> News {
        let store = self.store.borrow();
        let changes = store.log.iter();
        let wanted = changes.filter(|l| l.0 > since && l.1.starts_with(prefix));
        News {
            revision: store.revision,
            events: wanted
                .map(|l| Event::new(l.1.clone(), l.2.clone(), l.0))
                .collect(),
        }
    }
}
