//! Responses that several handlers send, and the reading of request bodies.

use super::MAX_BODY;
use crate::coordination::node::Node;
use crate::protocol::job::Refusal;
use actix_http::ConnectionType;
use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes};
use actix_web::HttpResponse;
use futures_util::StreamExt;
use serde::Serialize;
use serde_json::json;

/// A response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    HttpResponse::build(status).json(body)
}

/// An error response whose body gives the reason.
pub fn refuse(status: StatusCode, why: &str) -> HttpResponse {
    json_response(status, &Refusal { error: why.into() })
}

/// The response for a job id that was never accepted.
pub fn no_such_job() -> HttpResponse {
    refuse(StatusCode::NOT_FOUND, "no such job")
}

/// The response (503) when a request cannot be answered at present or its change cannot be
/// recorded at present. The `retry-after` header asks clients to retry after 1 s, since the state
/// service is usually available again soon.
pub fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header(("retry-after", "1"))
        .json(json!({"error": "not available now"}))
}

/// The response of [`unavailable`], for users. While this controller has lost contact to the state
/// service and the other controllers have not, the connection is closed as well, so that the
/// user's next connection reaches another controller.
pub fn unavailable_to_user(node: &Node) -> HttpResponse {
    let mut response = unavailable();
    if node.readiness.borrow().is_not_ready() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Reads a request body of at most [`MAX_BODY`] bytes.
///
/// # Errors
/// The body is too large or cannot be read. The error is the response to the client.
pub async fn read_body(mut payload: web::Payload) -> Result<Bytes, HttpResponse> {
    // Most bodies arrive as a single chunk, which is returned without copying.
    let mut first = Bytes::new();
    let mut copied = Vec::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(refuse(StatusCode::BAD_REQUEST, "unreadable body"));
        };
        if first.len().max(copied.len()) + chunk.len() > MAX_BODY {
            return Err(refuse(StatusCode::BAD_REQUEST, "body over 64 KiB"));
        }
        if first.is_empty() {
            first = chunk;
            continue;
        }
        if copied.is_empty() {
            copied.extend_from_slice(&first);
        }
        copied.extend_from_slice(&chunk);
    }
    Ok(if copied.is_empty() {
        first
    } else {
        copied.into()
    })
}
