//! A simulated cluster in memory. It answers requests as controllers would, behind a simulated
//! network that loses, delays or rejects them as each test specifies. Time is the runtime's paused
//! clock.
#![allow(dead_code)]

pub mod disk;

use foxspur_client::transport::{Answer, Call, NoAnswer, Request, Transport};
use foxspur_client::{Client, Key, Outbox, Settings, Work};
use foxspur_wire::job::JobSpec;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// What the simulated network and front do with one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Delivery {
    /// It is carried out and answered.
    Normal,
    /// It never arrives.
    Lost,
    /// It is carried out, but the answer is lost.
    AnswerLost,
    /// It is carried out after this many milliseconds, and the answer is lost.
    Delayed(u64),
    /// The front accepts the connection and never answers.
    Hangs,
    /// It is not carried out, and is answered with this status and `Retry-After` in seconds.
    Rejected(u16, Option<u64>),
    /// It is carried out and answered after this many milliseconds. It is not carried out if this
    /// exceeds the timeout.
    Slow(u64),
    /// It is carried out, but answered from out-of-date state: as if the job had only been
    /// accepted.
    Stale,
}

/// A job as the cluster knows it.
#[derive(Debug, Clone)]
pub struct ServerJob {
    pub body: String,
    /// Its state in the protocol's terms.
    pub state: &'static str,
    pub done_at: Instant,
    /// How many submissions of it were carried out.
    pub submissions: u32,
}

/// A request that the client sent, whether or not it was carried out.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub at: Instant,
    pub front: usize,
    pub path: String,
}

#[derive(Default)]
pub struct ClusterState {
    pub jobs: HashMap<String, ServerJob>,
    /// All requests, in the order in which they were sent.
    pub requests: Vec<SentRequest>,
}

type DecideDelivery = dyn Fn(&ClusterState, usize, &Request) -> Delivery + Send + Sync;

/// The simulated cluster. Clones share its state.
#[derive(Clone)]
pub struct Cluster {
    pub state: Arc<Mutex<ClusterState>>,
    decide_delivery: Arc<DecideDelivery>,
    run_time: Duration,
}

impl Cluster {
    /// Creates a cluster. `decide` gets the cluster's state, the front and the request, and returns
    /// what happens to the request.
    pub fn new(
        decide: impl Fn(&ClusterState, usize, &Request) -> Delivery + Send + Sync + 'static,
    ) -> Cluster {
        Cluster {
            state: Arc::default(),
            decide_delivery: Arc::new(decide),
            run_time: Duration::from_secs(20),
        }
    }

    pub fn request_count(&self) -> usize {
        self.state.lock().unwrap().requests.len()
    }

    /// The number of requests whose path contains this text.
    pub fn request_count_with(&self, part: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .requests
            .iter()
            .filter(|r| r.path.contains(part))
            .count()
    }

    pub fn job(&self, id: &str) -> Option<ServerJob> {
        self.state.lock().unwrap().jobs.get(id).cloned()
    }

    /// Carries out a request as a controller would. With `stale` the answer reports any job as
    /// pending.
    fn carry_out(&self, request: &Request, stale: bool) -> Answer {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        for job in state.jobs.values_mut() {
            if job.state == "pending" && now >= job.done_at {
                job.state = "done";
            }
        }
        let answer = |status, body: String| Answer {
            status,
            retry_after: None,
            body: body.into_bytes(),
        };
        let progress = |id: &str, status: &str| {
            let status = if stale { "pending" } else { status };
            format!(r#"{{"name_id":"{id}","status":"{status}","done":0,"running":0}}"#)
        };
        if request.path == "/work" {
            let body = request.body.clone().unwrap_or_default();
            let spec: JobSpec = serde_json::from_str(&body).unwrap();
            if spec.team == "nobody" {
                return answer(422, r#"{"error":"unknown owner nobody"}"#.into());
            }
            let run_time = self.run_time;
            let known = state.jobs.contains_key(&spec.id);
            let job = state.jobs.entry(spec.id.clone()).or_insert(ServerJob {
                body,
                state: "pending",
                done_at: now + run_time,
                submissions: 0,
            });
            job.submissions += 1;
            let status = if known { 200 } else { 201 };
            return answer(status, progress(&spec.id, job.state));
        }
        let is_cancellation = request.path.ends_with("/cancel");
        let id = request.path.split('/').nth(2).unwrap_or_default();
        match state.jobs.get_mut(id) {
            None => answer(404, r#"{"error":"no such job"}"#.into()),
            Some(job) => {
                if is_cancellation && job.state == "pending" {
                    job.state = "withdrawn";
                }
                answer(200, progress(id, job.state))
            }
        }
    }
}

impl Transport for Cluster {
    fn call(&self, front: usize, request: Request, timeout: Duration) -> Call<'_> {
        Box::pin(async move {
            let delivery = {
                let mut state = self.state.lock().unwrap();
                let delivery = (self.decide_delivery)(&state, front, &request);
                state.requests.push(SentRequest {
                    at: Instant::now(),
                    front,
                    path: request.path.clone(),
                });
                delivery
            };
            let reset = || Err(NoAnswer::Broken("connection reset".into()));
            tokio::time::sleep(Duration::from_millis(5)).await;
            match delivery {
                Delivery::Normal => Ok(self.carry_out(&request, false)),
                Delivery::Stale => Ok(self.carry_out(&request, true)),
                Delivery::Lost => reset(),
                Delivery::AnswerLost => {
                    self.carry_out(&request, false);
                    reset()
                }
                Delivery::Delayed(ms) => {
                    let (cluster, request) = (self.clone(), request.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_millis(ms)).await;
                        cluster.carry_out(&request, false);
                    });
                    reset()
                }
                Delivery::Hangs => {
                    tokio::time::sleep(timeout).await;
                    Err(NoAnswer::TimedOut)
                }
                Delivery::Rejected(status, retry_after) => Ok(Answer {
                    status,
                    retry_after: retry_after.map(|s| s as f64),
                    body: b"{}".to_vec(),
                }),
                Delivery::Slow(ms) => {
                    let latency = Duration::from_millis(ms);
                    if latency >= timeout {
                        tokio::time::sleep(timeout).await;
                        return Err(NoAnswer::TimedOut);
                    }
                    tokio::time::sleep(latency).await;
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

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}
