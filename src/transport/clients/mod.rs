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

/// Why a call has no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ServiceError {
    /// The request was not executed and never will be: the other side refused it (429, 503), no
    /// connection was made, or the client's own rate limit did not admit the request in time.
    #[error("refused")]
    Refused,
    /// The request may have been executed, or may be executed later.
    #[error("unknown outcome")]
    Unknown,
    /// The conditions of a transaction failed for these keys.
    #[error("conflict: {0:?}")]
    Conflict(Vec<String>),
    /// The lease has expired or was revoked.
    #[error("no such lease")]
    LeaseNotFound,
    /// A watch fell too far behind: the changes after its revision have been compacted.
    #[error("compacted")]
    Compacted,
    /// The other side answered with this HTTP status, for which there is no other variant. Status
    /// 0 means that the request could not be encoded and was not sent.
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

/// The result of a request, and the time at which the request was sent. The result reflects the
/// state of the service at that time or later.
#[derive(Debug)]
pub struct TimedResult<T> {
    /// The result.
    pub result: Result<T, ServiceError>,
    /// When the request was sent, after any wait for the rate limit.
    pub sent_at: Instant,
}
