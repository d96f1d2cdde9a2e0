//! A probe for monotonic reads: within milliseconds after a job was accepted, ended or
//! cancelled, users ask every controller about it. The answers go into the history, whose
//! checker compares them with each other.

use crate::history::{Entry, Event, History, Status};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the history is searched for new answers.
const SCAN_INTERVAL: Duration = Duration::from_millis(5);
/// How long a user waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Whether the probe is switched on at present; clones share it.
#[derive(Clone, Default)]
pub struct ConsistencyProbe {
    /// Until when, in milliseconds of the history.
    until_ms: Arc<AtomicU64>,
}

impl ConsistencyProbe {
    /// Switches the probe on until this time of the history, in seconds.
    pub fn run_until(&self, at_s: f64) {
        let at_ms = (at_s * 1000.0) as u64;
        self.until_ms.store(at_ms, Ordering::Relaxed);
    }

    fn active(&self, now_s: f64) -> bool {
        ((now_s * 1000.0) as u64) < self.until_ms.load(Ordering::Relaxed)
    }

    /// Asks all of `fronts` whenever a user was just told something. Runs as long as the
    /// runtime.
    pub async fn run(self, history: History, fronts: Vec<SocketAddr>) {
        let builder = reqwest::Client::builder().no_proxy().timeout(TIMEOUT);
        let Ok(client) = builder.build() else {
            return;
        };
        let mut seen = 0;
        loop {
            tokio::time::sleep(SCAN_INTERVAL).await;
            let entries = history.entries_from(seen);
            seen += entries.len();
            if !self.active(history.now()) {
                continue;
            }
            for job in entries.iter().filter_map(told_of) {
                for front in &fronts {
                    let probe = probe(client.clone(), history.clone(), *front, job.clone());
                    actix_web::rt::spawn(probe);
                }
            }
        }
    }
}

/// The job that a user has just been told something of.
fn told_of(entry: &Entry) -> Option<String> {
    match &entry.event {
        Event::Told { job, .. } | Event::Cancelled { job } => Some(job.clone()),
        _ => None,
    }
}

async fn probe(client: reqwest::Client, history: History, front: SocketAddr, job: String) {
    let begun = history.now();
    let request = client.get(format!("http://{front}/work/{job}"));
    let Ok(response) = request.send().await else {
        return;
    };
    let code = response.status().as_u16();
    let Ok(body) = response.text().await else {
        return;
    };
    if let Some(status) = status_of(code, &body) {
        history.add(Event::Looked { job, begun, status });
    }
}

/// The status that an answer gives, if any.
fn status_of(code: u16, body: &str) -> Option<Status> {
    let field = |text: &str| -> Option<String> {
        let value: serde_json::Value = serde_json::from_str(text).ok()?;
        Some(value.get("status")?.as_str()?.to_string())
    };
    match code {
        404 => Some(Status::Unknown),
        200 => match field(body)?.as_str() {
            "done" => Some(Status::Done),
            "withdrawn" => Some(Status::Withdrawn),
            "pending" | "running" => Some(Status::Accepted),
            _ => None,
        },
        _ => None,
    }
}
