//! Why an operator's order was not carried out, and how that is answered.

use super::reply::problem;
use actix_web::HttpResponse;

/// Why an order was not carried out.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum OrderError {
    /// A field of the order is wrong.
    #[error("{field}: {reason}")]
    InvalidField {
        /// The field's path.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// Something that is named does not exist.
    #[error("{0}")]
    NotFound(String),
    /// It conflicts with what is recorded.
    #[error("{0}")]
    Conflict(String),
    /// It cannot be carried out, or is not known to be, now.
    #[error("{0}")]
    Unavailable(&'static str),
}

/// The state service did not answer a read, so nothing was ordered.
pub(super) const STATE_UNAVAILABLE: OrderError =
    OrderError::Unavailable("the state service does not answer now: nothing was ordered");
/// The state service did not answer a write: it may have been carried out all the same.
pub(super) const OUTCOME_UNKNOWN: OrderError = OrderError::Unavailable(
    "no answer from the state service: give the same order again to be sure",
);
/// Every attempt to write conflicted with changes by others.
pub(super) const TOO_MANY_CONFLICTS: OrderError =
    OrderError::Unavailable("others change the same: try again");

impl OrderError {
    /// A wrong field.
    pub(super) fn invalid(field: &'static str, reason: impl Into<String>) -> OrderError {
        OrderError::InvalidField {
            field,
            reason: reason.into(),
        }
    }

    /// The answer to the operator.
    pub(super) fn response(&self) -> HttpResponse {
        let (status, field) = match self {
            OrderError::InvalidField { field, .. } => (400, Some(*field)),
            OrderError::NotFound(_) => (404, Some("hosts")),
            OrderError::Conflict(_) => (409, None),
            OrderError::Unavailable(_) => (503, None),
        };
        problem(status, field, &self.to_string())
    }
}
