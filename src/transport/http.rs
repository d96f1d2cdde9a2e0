//! One HTTP call with a timeout, and what is known about it when it failed.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Largest response taken, in bytes: a snapshot of 6,000 machines, or the 10,000 changes
/// that a watch of the state service may tell at once. Listings come in pages.
const MAX_BODY: usize = 16 << 20;

/// A response.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// For how long a connection is kept for later calls: longer than the time
/// between two calls to any machine in use.
const KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Why there is no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection was never made: the other side did and will do nothing.
    #[error("not sent")]
    NotSent,
    /// Sent, perhaps: it may have been executed, or may be at any later time.
    #[error("unknown outcome")]
    Unknown,
}

/// One call, as it is handed to an [`Exchange`].
#[derive(Debug, Clone)]
pub struct Call {
    /// Whom to call.
    pub addr: SocketAddr,
    /// Method.
    pub method: awc::http::Method,
    /// Path and query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Bound on the time until the response.
    pub timeout: Duration,
}

/// Carries calls without sockets: a simulated network in tests.
pub trait Exchange {
    /// Answers the call within its timeout, or says why there is no answer.
    fn call(&self, call: Call) -> LocalBoxFuture<'static, Result<Response, CallError>>;
}

/// What carries the calls of a client.
#[derive(Clone)]
enum Carrier {
    /// Sockets.
    Pool(Pool),
    /// A simulated network.
    Simulated(Rc<dyn Exchange>),
}

/// A connection pool, and the time that connecting may take.
#[derive(Clone)]
struct Pool {
    client: awc::Client,
    connect_timeout: Duration,
}

/// A client with its own connection pool.
#[derive(Clone)]
pub struct Http(Carrier);

impl Http {
    /// A client whose calls go to a simulated network.
    pub fn simulated(exchange: Rc<dyn Exchange>) -> Http {
        Http(Carrier::Simulated(exchange))
    }

    /// A client over sockets: `connect_s` bounds the time to connect, in seconds,
    /// `sockets` the connections of the pool.
    pub fn new(connect_s: f64, sockets: usize) -> Http {
        let connect_timeout = Duration::from_secs_f64(connect_s);
        let connector = awc::Connector::new()
            .timeout(connect_timeout)
            .limit(sockets)
            // The other side closes a connection when it wants to, and a new
            // one costs a dozen system calls and packets. (Idle ones are not
            // closed before the next call to the same address anyway.)
            .conn_keep_alive(KEEP_ALIVE)
            .conn_lifetime(KEEP_ALIVE);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        Http(Carrier::Pool(Pool {
            client,
            connect_timeout,
        }))
    }

    /// Calls `method path` at `addr` and reads the whole response, within `timeout_s`
    /// seconds.
    ///
    /// # Errors
    /// There is no response: what is known of the request.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: awc::http::Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout_s: f64,
    ) -> Result<Response, CallError> {
        let timeout = Duration::from_secs_f64(timeout_s);
        match &self.0 {
            Carrier::Pool(pool) => pool.call(addr, method, path, body, timeout).await,
            Carrier::Simulated(exchange) => {
                let call = Call {
                    addr,
                    method,
                    path: path.to_string(),
                    body: body.unwrap_or_default(),
                    timeout,
                };
                exchange.call(call).await
            }
        }
    }
}

impl Pool {
    async fn call(
        &self,
        addr: SocketAddr,
        method: awc::http::Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let request = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .insert_header(("content-type", "application/json"));
        // One bound for all: waiting for the pool, sending, the body. It leaves
        // the connector time to say that it never connected.
        let bound = timeout + self.connect_timeout;
        actix_rt::time::timeout(bound, exchange(request, body))
            .await
            .unwrap_or(Err(CallError::Unknown))
    }
}

/// Sends a request and reads the whole response.
async fn exchange(
    request: awc::ClientRequest,
    body: Option<Vec<u8>>,
) -> Result<Response, CallError> {
    let sent = match body {
        Some(body) => request.send_body(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(call_error)?;
    let status = response.status().as_u16();
    let body = response.body().limit(MAX_BODY).await;
    let body = body.map_err(|_| CallError::Unknown)?;
    Ok(Response { status, body })
}

/// What is known of a request that could not be sent, or had no response.
fn call_error(error: awc::error::SendRequestError) -> CallError {
    use awc::error::SendRequestError::{Connect, Url};
    match error {
        Connect(_) | Url(_) => CallError::NotSent,
        _ => CallError::Unknown,
    }
}
