//! The model of the state service: its responses to requests about keys, transactions, leases
//! and watches.

use super::{Call, Cluster, WATCH_POLL_INTERVAL};
use foxspur::protocol::state::{
    Entry, Event, Lease, LeaseRequest, Listing, Revision, Txn, WatchReply,
};
use foxspur::storage::records;
use foxspur_testbed::store::Refusal;
use serde_json::json;
use tokio::time::Instant;

/// The HTTP status and the body of a response.
type Answer = (u16, Vec<u8>);

fn json_answer(status: u16, body: serde_json::Value) -> Answer {
    (status, body.to_string().into_bytes())
}

/// The value of a query parameter in a path.
fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, value) = path.split_once(&format!("{name}="))?;
    value.split('&').next()
}

impl Cluster {
    /// Executes a request other than a watch, and returns the response.
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
                let request: LeaseRequest =
                    serde_json::from_slice(&call.body).expect("a lease request");
                let lease = store.grant(request.ttl_ms as f64 / 1000.0, now);
                json_answer(200, json!(Lease { lease }))
            }
            ("POST", Some(id)) if store.extend(id, now) => json_answer(200, json!({})),
            ("DELETE", Some(id)) => {
                store.end(id);
                json_answer(200, json!({}))
            }
            _ => json_answer(404, json!({})),
        }
    }

    /// Executes a transaction.
    fn transaction(&self, call: &Call) -> Answer {
        let store = &mut *self.store.borrow_mut();
        let txn: Txn = serde_json::from_slice(&call.body).expect("a transaction");
        match store.apply(&txn) {
            Ok(revision) => json_answer(200, json!(Revision { revision })),
            Err(Refusal::Conflict(failed)) => {
                json_answer(409, json!({"failed": failed, "revno": store.revision}))
            }
            Err(Refusal::NoLease) => json_answer(400, json!({"error": "no such lease"})),
        }
    }

    /// Reads one key.
    fn read(&self, key: &str) -> Answer {
        let store = self.store.borrow();
        let revision = store.revision;
        match store.get(key) {
            Some(entry) => json_answer(200, json!(entry)),
            None => json_answer(404, json!(Revision { revision })),
        }
    }

    /// Returns a page of a listing. The page begins with the first key after the parameter `since`.
    fn list(&self, from: usize, path: &str) -> Answer {
        let under = query_parameter(path, "under").expect("a prefix");
        let since = query_parameter(path, "since").unwrap_or_default();
        let store = self.store.borrow();
        let mut items: Vec<Entry> = store.list(under);
        items.retain(|e| &*e.key > since);
        let more = items.len() > self.listing_page_size.get();
        items.truncate(self.listing_page_size.get());
        if more && under == records::LIVE_PREFIX {
            self.partial_listing_reads
                .borrow_mut()
                .push((from, Instant::now()));
        }
        let revision = store.revision;
        json_answer(
            200,
            json!(Listing {
                items,
                more,
                revision
            }),
        )
    }

    /// Executes a watch: as soon as there are changes under the prefix after the revision, returns
    /// them. If there are none within the watch's timeout, returns an empty list.
    pub(super) async fn watch(&self, path: &str) -> Answer {
        let parameter = |name| query_parameter(path, name).expect("a query parameter");
        let since: u64 = parameter("since").parse().expect("a revision");
        let wait_ms: u64 = parameter("wait_ms").parse().expect("a timeout");
        let prefix = parameter("under");
        for _ in 0..=wait_ms / WATCH_POLL_INTERVAL.as_millis() as u64 {
            let changes = self.changes(prefix, since);
            if !changes.events.is_empty() {
                return (200, json!(changes).to_string().into());
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
        (200, json!(self.changes(prefix, since)).to_string().into())
    }

    /// The changes of keys under `prefix` after the revision `since`.
    fn changes(&self, prefix: &str, since: u64) -> WatchReply {
        let store = self.store.borrow();
        let changes = store.log.iter();
        let wanted = changes.filter(|logged| logged.0 > since && logged.1.starts_with(prefix));
        WatchReply {
            revision: store.revision,
            events: wanted
                .map(|logged| Event::new(logged.1.clone(), logged.2.clone(), logged.0))
                .collect(),
        }
    }
}
