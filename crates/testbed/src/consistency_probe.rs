//! A probe for monotonic reads: within milliseconds after a user is told that a job is accepted,
//! ended or cancelled, it asks every controller about that job. The answers are recorded in the
//! history, and the history checker compares them.

use crate::history::{Entry, Event, History, Status};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the history is searched for new answers.
const SCAN_INTERVAL: Duration = Duration::from_millis(5);
/// How long a probe waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The switch of the probe. Clones share it.
#[derive(Clone, Default)]
pub struct ConsistencyProbe {
    /// Until when the probe is on, in milliseconds since the history began.
    until_ms: Arc<AtomicU64>,
}

impl ConsistencyProbe {
    /// Switches the probe on until this time, in seconds since the history began.
    pub fn enable_until(&self, until_s: f64) {
        let until_ms = (until_s * 1000.0) as u64;
        self.until_ms.store(until_ms, Ordering::Relaxed);
    }

    fn is_enabled(&self, now_s: f64) -> bool {
        ((now_s * 1000.0) as u64) < self.until_ms.load(Ordering::Relaxed)
    }

    /// Sends a probe to each of `fronts` whenever a user is told something about a job. Runs until
    /// the runtime ends.
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
            if !self.is_enabled(history.now()) {
                continue;
            }
            for job in entries.iter().filter_map(job_told_about) {
                for front in &fronts {
                    let probe = probe(client.clone(), history.clone(), *front, job.clone());
                    actix_web::rt::spawn(probe);
                }
            }
        }
    }
}

/// The job that an entry tells a user about, if it does.
fn job_told_about(entry: &Entry) -> Option<String> {
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
    if let Some(status) = parse_status(code, &body) {
        history.add(Event::Looked { job, begun, status });
    }
}

/// The job status in an answer, if it states one.
fn parse_status(code: u16, body: &str) -> Option<Status> {
    let status_field = || -> Option<String> {
        let value: serde_json::Value = serde_json::from_str(body).ok()?;
        Some(value.get("status")?.as_str()?.to_string())
    };
    match code {
        404 => Some(Status::Unknown),
        200 => match status_field()?.as_str() {
            "done" => Some(Status::Done),
            "withdrawn" => Some(Status::Withdrawn),
            "pending" | "running" => Some(Status::Accepted),
            _ => None,
        },
        _ => None,
    }
}
