//! Functions that the clients of the state service and of the cloud share: calls with statistics,
//! encoding of request bodies, decoding of responses.

use super::ServiceError;
use crate::transport::http::{HttpClient, Response};
use actix_rt::time::Instant;
use awc::http::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// A request to a service.
pub(super) struct Request<'a> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) body: Option<Vec<u8>>,
    /// Maximum time from sending the request to the end of the response, in seconds.
    pub(super) timeout_s: f64,
}

/// An external service: its address, and statistics of the calls to it. Clones of the value share
/// the statistics.
#[derive(Clone)]
pub(super) struct Service {
    http: HttpClient,
    addr: SocketAddr,
    /// The time at which [`Service::now`] is 0.
    start: Instant,
    statistics: Rc<RefCell<CallStatistics>>,
}

impl Service {
    pub(super) fn new(http: HttpClient, addr: SocketAddr) -> Service {
        Service {
            http,
            addr,
            start: Instant::now(),
            statistics: Rc::default(),
        }
    }

    /// The current time for token buckets: the time since this value was created, in seconds.
    pub(super) fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Makes a call and counts it as answered or failed. `check` returns an error if the response
    /// is a failure.
    pub(super) async fn call(
        &self,
        request: Request<'_>,
        check: impl FnOnce(Response) -> Result<Response, ServiceError>,
    ) -> Result<Response, ServiceError> {
        let result = self.send(&self.http, request).await.and_then(check);
        self.statistics.borrow_mut().record(&result);
        result
    }

    /// Makes a call through the client `http`, without counting the call in the statistics.
    pub(super) async fn send(
        &self,
        http: &HttpClient,
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

    /// Statistics of the calls so far.
    pub(super) fn statistics(&self) -> CallStatistics {
        *self.statistics.borrow()
    }
}

/// Returns an error if the service refused the request because of overload (429, 503). A refused
/// request has not been executed.
pub(super) fn not_overloaded(response: Response) -> Result<Response, ServiceError> {
    match response.status {
        429 | 503 => Err(ServiceError::Refused),
        _ => Ok(response),
    }
}

/// Encodes the body of a request as JSON. The requests are plain structs, which always
/// serialise.
pub(super) fn encode<T: Serialize>(body: &T) -> Result<Vec<u8>, ServiceError> {
    serde_json::to_vec(body).map_err(|_| ServiceError::Status(0))
}

/// Decodes the JSON body of a response.
pub(super) fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, ServiceError> {
    serde_json::from_slice(&response.body).map_err(|_| ServiceError::Unknown)
}

/// Statistics of the calls to a service: the numbers of answered and failed calls, and when the
/// last call of each kind ended.
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
    /// Counts a call that ends now.
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
