//! The state service, with a port of its own for each controller, so that faults can be limited to
//! one of them.

use crate::http::{addr, listen, serve, Reply, Request};
use crate::json::{num, obj, text, Json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Value {
    value: Json,
    stamp: u64,
    tenancy: Option<u64>,
}

struct Tenancy {
    life: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct Store {
    revno: u64,
    keys: BTreeMap<String, Value>,
    tenancies: HashMap<u64, Tenancy>,
    last_tenancy: u64,
    /// Revision, key and new value of each change.
    log: Vec<(u64, String, Option<Json>)>,
    outage_until: Option<Instant>,
    refused: Vec<usize>,
    /// Delay of all answers to a controller.
    slow: HashMap<usize, Duration>,
}

#[derive(Clone)]
pub struct State {
    inner: Arc<(Mutex<Store>, Condvar)>,
}

const LONGEST_PAGE: usize = 1000;
const PAGE_BYTES: usize = 512 * 1024;

impl State {
    pub fn new() -> State {
        let state = State {
            inner: Arc::new((Mutex::new(Store::default()), Condvar::new())),
        };
        let ticking = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            ticking.tick();
        });
        state
    }

    /// Serves one controller, and returns the address.
    pub fn serve(&self, controller: usize) -> SocketAddr {
        let listener = listen();
        let at = addr(&listener);
        let state = self.clone();
        serve(
            listener,
            Arc::new(move |request| state.answer(controller, request)),
        );
        at
    }

    /// From now on answers this controller 503, or no longer.
    pub fn refuse(&self, controller: usize, refused: bool) {
        let mut store = self.lock();
        store.refused.retain(|other| *other != controller);
        if refused {
            store.refused.push(controller);
        }
    }

    pub fn outage(&self, for_s: f64) {
        self.lock().outage_until = Some(Instant::now() + Duration::from_secs_f64(for_s));
    }

    /// Delays all answers to this controller.
    pub fn slow(&self, controller: usize, by: Duration) {
        self.lock().slow.insert(controller, by);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Store> {
        self.inner.0.lock().expect("no thread panics")
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut store = self.lock();
        if let Some(until) = store.outage_until {
            if now < until {
                return;
            }
            store.outage_until = None;
            for tenancy in store.tenancies.values_mut() {
                tenancy.ends_at = now + tenancy.life;
            }
        }
        let ended = store.tenancies.iter().filter(|(_, t)| t.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            store.end(id);
        }
        drop(store);
        self.inner.1.notify_all();
    }

    fn answer(&self, controller: usize, request: Request) -> Reply {
        let pause = self.lock().slow.get(&controller).copied();
        let reply = self.answer_now(controller, request);
        if let Some(pause) = pause {
            std::thread::sleep(pause);
        }
        reply
    }

    fn answer_now(&self, controller: usize, request: Request) -> Reply {
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        if parts == ["follow"] {
            return self.follow(controller, &request);
        }
        let mut store = self.lock();
        if !store.serves(controller) {
            return unavailable();
        }
        let reply = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["keys"]) => store.list(&request),
            ("GET", ["keys", ..]) => store.get(&request.path["/keys/".len()..]),
            ("POST", ["multi"]) => store.multi(&request.body),
            ("POST", ["leases"]) => store.grant(&request.body),
            ("POST", ["leases", id, "extend"]) => store.extend(id),
            ("DELETE", ["leases", id]) => {
                store.end(id.parse().unwrap_or(0));
                Some((200, "{}".into()))
            }
            _ => Some((400, "{}".into())),
        };
        drop(store);
        self.inner.1.notify_all();
        reply
    }

    fn follow(&self, controller: usize, request: &Request) -> Reply {
        let under = request.param("under").unwrap_or("").to_string();
        let since: u64 = request.param("since")?.parse().ok()?;
        let wait_ms: u64 = request.param("wait_ms").unwrap_or("0").parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut store = self.lock();
        if !store.serves(controller) {
            return unavailable();
        }
        loop {
            let now = Instant::now();
            if store.serves(controller) {
                let log = store.log.iter();
                let news = log.filter(|(at, key, _)| *at > since && key.starts_with(&under));
                let news: Vec<Json> = news
                    .map(|(at, key, value)| match value {
                        Some(value) => {
                            obj([("set", text(key)), ("v", value.clone()), ("stamp", num(at))])
                        }
                        None => obj([("delete", text(key)), ("stamp", num(at))]),
                    })
                    .collect();
                if !news.is_empty() || now >= until {
                    let reply = obj([("revno", num(store.revno)), ("news", Json::Arr(news))]);
                    return Some((200, reply.to_string()));
                }
            }
            let left = until.saturating_duration_since(now);
            let pause = left.clamp(Duration::from_millis(1), Duration::from_millis(20));
            store = self.inner.1.wait_timeout(store, pause).expect("no panic").0;
        }
    }
}

fn unavailable() -> Reply {
    Some((503, r#"{"error":"trouble"}"#.into()))
}

impl Store {
    fn serves(&self, controller: usize) -> bool {
        self.outage_until.is_none() && !self.refused.contains(&controller)
    }

    fn entry(&self, key: &str, value: &Value) -> Json {
        let mut fields = vec![
            ("k".to_string(), text(key)),
            ("v".to_string(), value.value.clone()),
            ("stamp".to_string(), num(value.stamp)),
        ];
        if let Some(tenancy) = value.tenancy {
            fields.push(("tenancy".to_string(), num(tenancy)));
        }
        Json::Obj(fields)
    }

    fn get(&self, key: &str) -> Reply {
        Some(match self.keys.get(key) {
            Some(value) => (200, self.entry(key, value).to_string()),
            None => (404, obj([("revno", num(self.revno))]).to_string()),
        })
    }

    fn list(&self, request: &Request) -> Reply {
        let under = request.param("under").unwrap_or("");
        let since = request.param("since").unwrap_or("");
        let limit: usize = request
            .param("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(LONGEST_PAGE);
        let mut entries = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, value) in &self.keys {
            if !key.starts_with(under) || key.as_str() <= since {
                continue;
            }
            let entry = self.entry(key, value);
            bytes += entry.to_string().len();
            if entries.len() >= limit.min(LONGEST_PAGE) || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            entries.push(entry);
        }
        let reply = obj([
            ("entries", Json::Arr(entries)),
            ("more", Json::Bool(more)),
            ("revno", num(self.revno)),
        ]);
        Some((200, reply.to_string()))
    }

    fn multi(&mut self, body: &str) -> Reply {
        let Some(body) = Json::parse(body) else {
            return Some((400, r#"{"error":"malformed"}"#.into()));
        };
        let changes = body.arr("apply");
        for change in changes {
            let tenancy = change.u64("tenancy");
            if tenancy.is_some_and(|id| !self.tenancies.contains_key(&id)) {
                return Some((400, r#"{"error":"no such lease"}"#.into()));
            }
        }
        let mut failed = Vec::new();
        for condition in body.arr("when") {
            let (Some(key), Some(stamp)) = (condition.str("k"), condition.u64("stamp")) else {
                return Some((400, r#"{"error":"malformed"}"#.into()));
            };
            if self.keys.get(key).map_or(0, |value| value.stamp) != stamp {
                failed.push(text(key));
            }
        }
        if !failed.is_empty() {
            let reply = obj([("failed", Json::Arr(failed)), ("revno", num(self.revno))]);
            return Some((409, reply.to_string()));
        }
        if changes.is_empty() {
            return Some((200, obj([("revno", num(self.revno))]).to_string()));
        }
        self.revno += 1;
        for change in changes {
            if let Some(key) = change.str("set") {
                let value = change.get("v").cloned().unwrap_or(Json::Null);
                self.log
                    .push((self.revno, key.to_string(), Some(value.clone())));
                let (stamp, tenancy) = (self.revno, change.u64("tenancy"));
                let value = Value {
                    value,
                    stamp,
                    tenancy,
                };
                self.keys.insert(key.to_string(), value);
            } else if let Some(key) = change.str("delete") {
                if self.keys.remove(key).is_some() {
                    self.log.push((self.revno, key.to_string(), None));
                }
            }
        }
        Some((200, obj([("revno", num(self.revno))]).to_string()))
    }

    fn grant(&mut self, body: &str) -> Reply {
        let life = Json::parse(body)?.u64("life_ms")?;
        if !(100..=600_000).contains(&life) {
            return Some((400, "{}".into()));
        }
        self.last_tenancy += 1;
        let life = Duration::from_millis(life);
        let ends_at = Instant::now() + life;
        self.tenancies
            .insert(self.last_tenancy, Tenancy { life, ends_at });
        Some((200, obj([("tenancy", num(self.last_tenancy))]).to_string()))
    }

    fn extend(&mut self, id: &str) -> Reply {
        let tenancy = id
            .parse()
            .ok()
            .and_then(|id: u64| self.tenancies.get_mut(&id));
        Some(match tenancy {
            Some(tenancy) => {
                tenancy.ends_at = Instant::now() + tenancy.life;
                (200, "{}".into())
            }
            None => (404, "{}".into()),
        })
    }

    fn end(&mut self, id: u64) {
        self.tenancies.remove(&id);
        let keys = self
            .keys
            .iter()
            .filter(|(_, value)| value.tenancy == Some(id));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revno += 1;
            self.keys.remove(&key);
            self.log.push((self.revno, key, None));
        }
    }
}
