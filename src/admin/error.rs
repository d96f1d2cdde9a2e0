//! Errors of operators' orders, and the error responses to the operators.

use super::reply::problem;
use actix_web::HttpResponse;

/// Why an order was not carried out.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum OrderError {
    /// A field of the order has an invalid value.
    #[error("{field}: {reason}")]
    InvalidField {
        /// Path of the field in the order.
        field: &'static str,
        /// What is wrong with the value.
        reason: String,
    },
    /// A machine or a rollout that the order names does not exist.
    #[error("{0}")]
    NotFound(String),
    /// The order conflicts with the recorded state.
    #[error("{0}")]
    Conflict(String),
    /// The order cannot be carried out now, or its outcome is unknown.
    #[error("{0}")]
    Unavailable(&'static str),
}

/// The state service did not answer a read. Nothing has been written for this attempt yet.
pub(super) const STATE_UNAVAILABLE: OrderError =
    OrderError::Unavailable("the state service does not answer now: nothing was ordered");
/// The state service did not answer a write, which may have been executed nevertheless.
pub(super) const OUTCOME_UNKNOWN: OrderError = OrderError::Unavailable(
    "no answer from the state service: give the same order again to be sure",
);
/// Every attempt to write conflicted with concurrent changes.
pub(super) const TOO_MANY_CONFLICTS: OrderError =
    OrderError::Unavailable("others change the same: try again");

impl OrderError {
    /// The error for an invalid field.
    pub(super) fn invalid(field: &'static str, reason: impl Into<String>) -> OrderError {
        OrderError::InvalidField {
            field,
            reason: reason.into(),
        }
    }

    /// The response to the operator.
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
