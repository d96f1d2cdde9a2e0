//! Users that ask every controller at once, within milliseconds after a job was accepted,
//! ended or cancelled. What they are told goes into the history, whose checker holds the
//! answers against each other.

use crate::history::{Entry, Event, History, Status};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the history is looked at for something new.
const LOOK: Duration = Duration::from_millis(5);
/// How long a user waits for an answer to a poll.
const PATIENCE: Duration = Duration::from_secs(2);

/// Whether users look closely at present; clones share it.
#[derive(Clone, Default)]
pub struct CloseLooks {
    /// In milliseconds of the history.
    until_ms: Arc<AtomicU64>,
}

impl CloseLooks {
    /// Users look closely until this time of the history, in seconds.
    pub fn until(&self, at_s: f64) {
        let at_ms = (at_s * 1000.0) as u64;
        self.until_ms.store(at_ms, Ordering::Relaxed);
    }

    fn active(&self, now_s: f64) -> bool {
        ((now_s * 1000.0) as u64) < self.until_ms.load(Ordering::Relaxed)
    }

    /// Asks whenever a user has just been told something, as long as the runtime lasts.
    pub async fn run(self, history: History, fronts: Vec<SocketAddr>) {
        let builder = reqwest::Client::builder().no_proxy().timeout(PATIENCE);
        let Ok(client) = builder.build() else {
            return;
        };
        let mut seen = 0;
        loop {
            tokio::time::sleep(LOOK).await;
            let entries = history.entries_from(seen);
            seen += entries.len();
            if !self.active(history.now()) {
                continue;
            }
            for job in entries.iter().filter_map(told_of) {
                for front in &fronts {
                    let look = look(client.clone(), history.clone(), *front, job.clone());
                    actix_web::rt::spawn(look);
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

async fn look(client: reqwest::Client, history: History, front: SocketAddr, job: String) {
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

/// What an answer to a poll says, if it says anything.
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
