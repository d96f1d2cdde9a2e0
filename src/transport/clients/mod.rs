//! Clients of the state service, the cloud, the workers and the other controllers.

mod cloud;
mod peers;
mod state;
mod workers;

pub use cloud::CloudClient;
pub use peers::MeshClient;
pub use state::StateClient;
pub use workers::{DirectOutcome, WorkerClient};

use super::http::{CallError, Response};
use actix_rt::time::Instant;

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The other side refused and did nothing (429, 503, never connected).
    #[error("refused")]
    Refused,
    /// It may have been executed, or may be later.
    #[error("unknown outcome")]
    Unknown,
    /// Conditions failed for these keys.
    #[error("conflict: {0:?}")]
    Conflict(Vec<String>),
    /// The lease is gone.
    #[error("no such lease")]
    NoLease,
    /// A watch fell too far behind.
    #[error("compacted")]
    Gone,
    /// The other side answered something else.
    #[error("status {0}")]
    Status(u16),
}

impl From<CallError> for Failure {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent => Failure::Refused,
            CallError::Unknown => Failure::Unknown,
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(response: &Response) -> Result<T, Failure> {
    serde_json::from_slice(&response.body).map_err(|_| Failure::Unknown)
}

/// A result, and when the request for it was sent: what it says is no older than that.
#[derive(Debug)]
pub struct Timed<T> {
    pub result: Result<T, Failure>,
    pub sent_at: Instant,
}

/// How urgent a call to the state service is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Lane {
    /// Leases, shares: first in line.
    Control,
    /// Everything else.
    Data,
}

/// What was met at a service: counts, and when it last answered and failed to.
#[derive(Debug, Default, Clone, Copy)]
pub struct Met {
    pub answered: u64,
    pub failed: u64,
    pub answered_at: Option<Instant>,
    pub failed_at: Option<Instant>,
}

impl Met {
    fn note<T>(&mut self, result: &Result<T, Failure>) {
        let at = Some(Instant::now());
        if result.is_ok() {
            self.answered += 1;
            self.answered_at = at;
        } else {
            self.failed += 1;
            self.failed_at = at;
        }
    }
}
