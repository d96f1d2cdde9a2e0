//! What the clients of the outside services share: a call and its statistics, request
//! bodies, responses.

use super::ServiceError;
use crate::transport::http::{Http, Response};
use actix_rt::time::Instant;
use awc::http::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call of a service.
pub(super) struct Request<'a> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) body: Option<Vec<u8>>,
    /// Bound on the time from sending to the end of the response, in seconds.
    pub(super) timeout_s: f64,
}

/// One outside service: its address, and how calls of it went. Clones share the
/// statistics.
#[derive(Clone)]
pub(super) struct Service {
    http: Http,
    addr: SocketAddr,
    /// Origin of [`Service::now`].
    start: Instant,
    statistics: Rc<RefCell<CallStatistics>>,
}

impl Service {
    pub(super) fn new(http: Http, addr: SocketAddr) -> Service {
        Service {
            http,
            addr,
            start: Instant::now(),
            statistics: Rc::default(),
        }
    }

    /// The time that token buckets are passed, in seconds.
    pub(super) fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Makes a call and counts how it went; `check` says which responses are failures.
    pub(super) async fn call(
        &self,
        request: Request<'_>,
        check: impl FnOnce(Response) -> Result<Response, ServiceError>,
    ) -> Result<Response, ServiceError> {
        let result = self.send(&self.http, request).await.and_then(check);
        self.statistics.borrow_mut().record(&result);
        result
    }

    /// Makes a call over a carrier of its own, without counting it.
    pub(super) async fn send(
        &self,
        http: &Http,
        request: Request<'_>,
    ) -> Result<Response, ServiceError> {
        let Request {
            method,
            path,
            body,
            timeout_s,
        } = request;
        let response = http.call(self.addr, method, path, body, timeout_s).await;
        response.map_err(ServiceError::from)
    }

    /// How calls went so far.
    pub(super) fn statistics(&self) -> CallStatistics {
        *self.statistics.borrow()
    }
}

/// Fails on refusals because of overload (429, 503): nothing was done.
pub(super) fn not_overloaded(response: Response) -> Result<Response, ServiceError> {
    match response.status {
        429 | 503 => Err(ServiceError::Refused),
        _ => Ok(response),
    }
}

/// The body of a request. Our requests are plain structs, which always serialise.
pub(super) fn encode<T: Serialize>(body: &T) -> Result<Vec<u8>, ServiceError> {
    serde_json::to_vec(body).map_err(|_| ServiceError::Status(0))
}

/// Reads the body of a response.
pub(super) fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, ServiceError> {
    serde_json::from_slice(&response.body).map_err(|_| ServiceError::Unknown)
}

/// How calls of a service went: counts, and when the last ones were.
#[derive(Debug, Default, Clone, Copy)]
pub struct CallStatistics {
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that failed.
    pub failed: u64,
    /// When a call was last answered.
    pub answered_at: Option<Instant>,
    /// When a call last failed.
    pub failed_at: Option<Instant>,
}

impl CallStatistics {
    fn record<T>(&mut self, result: &Result<T, ServiceError>) {
        let now = Some(Instant::now());
        if result.is_ok() {
            self.answered += 1;
            self.answered_at = now;
        } else {
            self.failed += 1;
            self.failed_at = now;
        }
    }
}
