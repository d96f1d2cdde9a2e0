//! Clients of the state service, the cloud, the workers and the other controllers.

mod cloud;
mod peers;
mod service;
mod state;
mod workers;

pub use super::token_bucket::Priority;
pub use cloud::CloudClient;
pub use peers::MeshClient;
pub use service::CallStatistics;
pub use state::StateClient;
pub use workers::{DirectOutcome, WorkerClient};

use super::http::CallError;
use actix_rt::time::Instant;

/// Why a call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ServiceError {
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
    LeaseNotFound,
    /// A watch fell too far behind: its revision is compacted.
    #[error("compacted")]
    Compacted,
    /// The other side answered with this other status; 0: the request could not be
    /// encoded and was not sent.
    #[error("status {0}")]
    Status(u16),
}

impl From<CallError> for ServiceError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => ServiceError::Refused,
            CallError::Unknown => ServiceError::Unknown,
        }
    }
}

/// A result, and when the request for it was sent: what it says is no older than that.
#[derive(Debug)]
pub struct TimedResult<T> {
    /// The result.
    pub result: Result<T, ServiceError>,
    /// When the request was sent; it may have waited for its turn before.
    pub sent_at: Instant,
}
