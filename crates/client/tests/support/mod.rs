//! A cluster in memory: what controllers would do with requests, and a network
//! that loses, delays and refuses on order. Time is the runtime's, paused.
#![allow(dead_code)]

pub mod disk;

use foxspur_client::transport::{Answer, Call, NoAnswer, Request, Transport};
use foxspur_client::{Client, Key, Outbox, Settings, Work};
use foxspur_wire::job::JobSpec;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// What the network does with one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    Arrives,
    /// It never arrives.
    Lost,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is carried out this much later, and nobody hears of it.
    Late(u64),
    /// The front takes the connection and never answers.
    Hangs,
    /// Answered with this status and `Retry-After`.
    Refused(u16, Option<u64>),
    /// Answered after this long, in milliseconds.
    Slow(u64),
    /// Carried out, and answered as if the job had only been accepted.
    Behind,
}

#[derive(Debug, Clone)]
pub struct ServerJob {
    pub body: String,
    pub state: &'static str,
    pub done_at: Instant,
    pub submitted: u32,
}

#[derive(Default)]
pub struct Inner {
    pub jobs: HashMap<String, ServerJob>,
    /// All requests: when, which front, path.
    pub requests: Vec<(Instant, usize, String)>,
}

type Decide = dyn Fn(&Inner, usize, &Request) -> Fate + Send + Sync;

/// The cluster; clones share it.
#[derive(Clone)]
pub struct Cluster {
    pub inner: Arc<Mutex<Inner>>,
    fate: Arc<Decide>,
    run: Duration,
}

impl Cluster {
    pub fn new(fate: impl Fn(&Inner, usize, &Request) -> Fate + Send + Sync + 'static) -> Cluster {
        Cluster {
            inner: Arc::default(),
            fate: Arc::new(fate),
            run: Duration::from_secs(20),
        }
    }

    pub fn requests(&self) -> usize {
        self.inner.lock().unwrap().requests.len()
    }

    /// Requests about a path that holds this.
    pub fn asked(&self, part: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.requests.iter().filter(|r| r.2.contains(part)).count()
    }

    pub fn job(&self, id: &str) -> Option<ServerJob> {
        self.inner.lock().unwrap().jobs.get(id).cloned()
    }

    fn carry_out(&self, request: &Request, behind: bool) -> Answer {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        for job in inner.jobs.values_mut() {
            if job.state == "pending" && now >= job.done_at {
                job.state = "done";
            }
        }
        let answer = |status, body: String| Answer {
            status,
            retry_after: None,
            body: body.into_bytes(),
        };
        let told = |id: &str, state: &str| {
            let state = if behind { "pending" } else { state };
            format!(r#"{{"name_id":"{id}","status":"{state}","done":0,"running":0}}"#)
        };
        if request.path == "/work" {
            let body = request.body.clone().unwrap_or_default();
            let spec: JobSpec = serde_json::from_str(&body).unwrap();
            if spec.team == "nobody" {
                return answer(422, r#"{"error":"unknown owner nobody"}"#.into());
            }
            let run = self.run;
            let known = inner.jobs.contains_key(&spec.id);
            let job = inner.jobs.entry(spec.id.clone()).or_insert(ServerJob {
                body,
                state: "pending",
                done_at: now + run,
                submitted: 0,
            });
            job.submitted += 1;
            return answer(if known { 200 } else { 201 }, told(&spec.id, job.state));
        }
        let cancels = request.path.ends_with("/cancel");
        let id = request.path.split('/').nth(2).unwrap_or_default();
        match inner.jobs.get_mut(id) {
            None => answer(404, r#"{"error":"no such job"}"#.into()),
            Some(job) => {
                if cancels && job.state == "pending" {
                    job.state = "withdrawn";
                }
                answer(200, told(id, job.state))
            }
        }
    }
}

impl Transport for Cluster {
    fn call(&self, front: usize, request: Request, timeout: Duration) -> Call<'_> {
        Box::pin(async move {
            let fate = {
                let mut inner = self.inner.lock().unwrap();
                let fate = (self.fate)(&inner, front, &request);
                let about = (Instant::now(), front, request.path.clone());
                inner.requests.push(about);
                fate
            };
            let none = |why: &str| Err(NoAnswer::Broken(why.into()));
            tokio::time::sleep(Duration::from_millis(5)).await;
            match fate {
                Fate::Arrives => Ok(self.carry_out(&request, false)),
                Fate::Behind => Ok(self.carry_out(&request, true)),
                Fate::Lost => none("connection reset"),
                Fate::AnswerLost => {
                    self.carry_out(&request, false);
                    none("connection reset")
                }
                Fate::Late(ms) => {
                    let (cluster, request) = (self.clone(), request.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_millis(ms)).await;
                        cluster.carry_out(&request, false);
                    });
                    none("connection reset")
                }
                Fate::Hangs => {
                    tokio::time::sleep(timeout).await;
                    Err(NoAnswer::TimedOut)
                }
                Fate::Refused(status, after) => Ok(Answer {
                    status,
                    retry_after: after.map(|s| s as f64),
                    body: b"{}".to_vec(),
                }),
                Fate::Slow(ms) => {
                    let slow = Duration::from_millis(ms);
                    if slow >= timeout {
                        tokio::time::sleep(timeout).await;
                        return Err(NoAnswer::TimedOut);
                    }
                    tokio::time::sleep(slow).await;
                    Ok(self.carry_out(&request, false))
                }
            }
        })
    }
}

pub fn work(key: &str, team: &str) -> Work {
    let spec = serde_json::from_value(serde_json::json!({
        "name_id": "run-0", "queue": "reminders", "owner": team, "shape": "sweep",
        "urgency": "standard", "shards": 4, "cpus": 2.0, "cards": 0.0, "memory_gb": 3.5,
        "bundle": "img", "image_gb": 1.5, "together": false, "scatter": false,
        "standby": true, "expected_s": 20.0, "save_every_s": 0.0, "save_cost_s": 0.0
    }))
    .unwrap();
    Work {
        key: Key::new(key).unwrap(),
        spec,
    }
}

pub fn settings(fronts: usize) -> Settings {
    Settings::new((0..fronts).map(|n| format!("http://127.0.0.1:{}", 8000 + n)))
}

pub fn client(cluster: &Cluster, fronts: usize, outbox: Outbox) -> Client {
    let transport = Box::new(cluster.clone());
    Client::with_transport(settings(fronts), outbox, transport, 7).unwrap()
}

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}
