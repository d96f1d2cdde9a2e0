//! Stand-in of the state service: a consistent store with transactions, leases and watches, and
//! the limits of the settings. Each controller has a port of its own, so that it can be cut off
//! alone.

use crate::http::{self, Reply, Request};
use crate::json::{n, obj, parse, s, Json};
use crate::site::Site;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;

struct Entry {
    value: Json,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let ok = self.tokens >= count;
        if ok {
            self.tokens -= count;
        }
        ok
    }
}

struct Store {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    log: VecDeque<(u64, String, Option<Json>)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

/// What one controller meets at its port.
#[derive(Default)]
pub struct Port {
    /// Nothing arrives and nothing is answered.
    pub cut: AtomicBool,
}

pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
    value_bytes: usize,
    txn_ops: usize,
    /// Transactions answered with 400, by reason.
    pub refused: Mutex<BTreeMap<String, u64>>,
}

impl State {
    pub fn start(site: &Site) -> Arc<State> {
        let state = Arc::new(State {
            store: Mutex::new(Store {
                keys: BTreeMap::new(),
                revision: 1,
                log: VecDeque::new(),
                leases: HashMap::new(),
                next_lease: 1,
                requests: Bucket::new(site.state_rps),
                writes: Bucket::new(site.state_write_rps),
            }),
            changed: Condvar::new(),
            value_bytes: (site.value_kb * 1024.0) as usize,
            txn_ops: site.txn_ops,
            refused: Mutex::default(),
        });
        let reaper = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            reaper.end_leases();
        });
        state
    }

    /// Opens a port for one controller.
    pub fn port(self: &Arc<State>) -> (SocketAddr, Arc<Port>) {
        let (listener, addr) = http::listen();
        let port = Arc::new(Port::default());
        let (state, own) = (self.clone(), port.clone());
        http::serve(
            listener,
            Arc::new(move |request| {
                if own.cut.load(Ordering::SeqCst) {
                    return own.hold();
                }
                let reply = state.handle(request, &own);
                if own.cut.load(Ordering::SeqCst) {
                    return own.hold();
                }
                reply
            }),
        );
        (addr, port)
    }

    fn end_leases(&self) {
        let mut store = self.store.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = store
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            store.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request, port: &Port) -> Reply {
        if !self.store.lock().unwrap().requests.take(1.0) {
            return answer(429, obj(vec![]));
        }
        let path = request.path.as_str();
        match request.method.as_str() {
            "GET" if path == "/keys" => self.list(request),
            "GET" if path == "/follow" => self.follow(request, port),
            "GET" => match path.strip_prefix("/keys/") {
                Some(key) => self.get(key),
                None => answer(400, obj(vec![])),
            },
            "POST" if path == "/multi" => self.multi(request),
            "POST" if path == "/leases" => {
                let ttl = parse(&request.body).and_then(|b| b.get("life_ms").u64());
                let Some(ttl) = ttl.filter(|t| (100..=600_000).contains(t)) else {
                    return answer(400, obj(vec![]));
                };
                let ttl = Duration::from_millis(ttl);
                let mut store = self.store.lock().unwrap();
                let id = store.next_lease;
                store.next_lease += 1;
                store.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends: Instant::now() + ttl,
                    },
                );
                answer(200, obj(vec![("tenancy", n(id))]))
            }
            "POST" => {
                let id = path
                    .strip_prefix("/leases/")
                    .and_then(|p| p.strip_suffix("/extend"));
                let Some(id) = id.and_then(|id| id.parse::<u64>().ok()) else {
                    return answer(400, obj(vec![]));
                };
                let mut store = self.store.lock().unwrap();
                match store.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        answer(200, obj(vec![("tenancy", n(id))]))
                    }
                    None => answer(404, obj(vec![])),
                }
            }
            "DELETE" => {
                let id = path
                    .strip_prefix("/leases/")
                    .and_then(|id| id.parse::<u64>().ok());
                if let Some(id) = id {
                    self.store.lock().unwrap().end_lease(id);
                    self.changed.notify_all();
                }
                answer(200, obj(vec![]))
            }
            _ => answer(400, obj(vec![])),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let store = self.store.lock().unwrap();
        match store.keys.get(key) {
            Some(entry) => answer(200, entry_json(key, entry)),
            None => answer(404, obj(vec![("revno", n(store.revision))])),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let store = self.store.lock().unwrap();
        let under = request.param("under").unwrap_or("");
        let since = request.param("since").unwrap_or("");
        let limit: usize = request
            .param("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(1000);
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, entry) in store.keys.range(under.to_string()..) {
            if !key.starts_with(under) {
                break;
            }
            if key.as_str() <= since {
                continue;
            }
            let item = entry_json(key, entry);
            bytes += item.text().len();
            if entries.len() >= limit.min(1000) || bytes > 500 * 1024 {
                more = true;
                break;
            }
            entries.push(item);
        }
        let fields = vec![
            ("entries", Json::Arr(entries)),
            ("more", Json::Bool(more)),
            ("revno", n(store.revision)),
        ];
        answer(200, obj(fields))
    }

    fn follow(&self, request: &Request, port: &Port) -> Reply {
        let under = request.param("under").unwrap_or("").to_string();
        let since: u64 = request
            .param("since")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let wait: u64 = request
            .param("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let ends = Instant::now() + Duration::from_millis(wait.min(60_000));
        let mut store = self.store.lock().unwrap();
        loop {
            if store
                .log
                .front()
                .is_some_and(|(first, _, _)| since + 1 < *first)
                && store.log.len() >= KEPT_CHANGES
            {
                return answer(410, obj(vec![]));
            }
            let news: Vec<Json> = store
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > since && key.starts_with(&under))
                .map(|(revision, key, value)| match value {
                    Some(value) => obj(vec![
                        ("set", s(key)),
                        ("v", value.clone()),
                        ("stamp", n(revision)),
                    ]),
                    None => obj(vec![("delete", s(key)), ("stamp", n(revision))]),
                })
                .collect();
            let now = Instant::now();
            if !news.is_empty() || now >= ends || port.cut.load(Ordering::SeqCst) {
                let fields = vec![("revno", n(store.revision)), ("news", Json::Arr(news))];
                return answer(200, obj(fields));
            }
            let left = (ends - now).min(Duration::from_millis(100));
            store = self.changed.wait_timeout(store, left).unwrap().0;
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        *self
            .refused
            .lock()
            .unwrap()
            .entry(reason.into())
            .or_default() += 1;
        answer(400, obj(vec![("error", s(reason))]))
    }

    fn multi(&self, request: &Request) -> Reply {
        if request.size > http::LIMIT {
            return self.refuse("transaction over 64 KiB");
        }
        let Some(body) = parse(&request.body) else {
            return self.refuse("not JSON");
        };
        let (when, apply) = (body.get("when").arr(), body.get("apply").arr());
        if apply.len() > self.txn_ops || when.len() > 4 * self.txn_ops {
            return self.refuse("too many changes or conditions");
        }
        let too_large = |change: &Json| change.get("v").text().len() > self.value_bytes;
        if apply.iter().any(too_large) {
            return self.refuse("value over value_kb");
        }
        let mut store = self.store.lock().unwrap();
        if !apply.is_empty() && !store.writes.take(apply.len() as f64) {
            return answer(429, obj(vec![]));
        }
        let failed: Vec<Json> = when
            .iter()
            .filter(|c| {
                let stamp = store
                    .keys
                    .get(c.get("k").str())
                    .map_or(0, |entry| entry.stamp);
                c.get("stamp").u64() != Some(stamp)
            })
            .map(|c| c.get("k").clone())
            .collect();
        let lost_lease = apply.iter().any(|change| {
            let lease = change.get("tenancy").u64();
            lease.is_some_and(|lease| !store.leases.contains_key(&lease))
        });
        if lost_lease {
            return answer(400, obj(vec![("error", s("no such lease"))]));
        }
        if !failed.is_empty() {
            let fields = vec![("failed", Json::Arr(failed)), ("revno", n(store.revision))];
            return answer(409, obj(fields));
        }
        if !apply.is_empty() {
            store.revision += 1;
            for change in apply {
                match change.get("set") {
                    Json::Str(key) => {
                        store.set(key, change.get("v").clone(), change.get("tenancy").u64());
                    }
                    _ => store.delete(change.get("delete").str()),
                }
            }
            self.changed.notify_all();
        }
        answer(200, obj(vec![("revno", n(store.revision))]))
    }
}

impl Store {
    fn note(&mut self, key: &str, value: Option<Json>) {
        self.log.push_back((self.revision, key.to_string(), value));
        if self.log.len() > KEPT_CHANGES {
            self.log.pop_front();
        }
    }
    fn set(&mut self, key: &str, value: Json, lease: Option<u64>) {
        let stamp = self.revision;
        self.note(key, Some(value.clone()));
        self.keys.insert(
            key.to_string(),
            Entry {
                value,
                stamp,
                lease,
            },
        );
    }
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.note(key, None);
        }
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }
}

impl Port {
    /// Waits until the cut is over, then ends the connection without an answer.
    fn hold(&self) -> Reply {
        while self.cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
        }
        Reply::Close
    }
}

fn entry_json(key: &str, entry: &Entry) -> Json {
    let mut fields = vec![
        ("k", s(key)),
        ("v", entry.value.clone()),
        ("stamp", n(entry.stamp)),
    ];
    if let Some(lease) = entry.lease {
        fields.push(("tenancy", n(lease)));
    }
    obj(fields)
}

fn answer(status: u16, body: Json) -> Reply {
    Reply::Answer(status, body.text())
}
