//! An HTTP client for calls with a timeout. When a call fails, the error says whether the request
//! may have been executed.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a response body, in bytes. The largest expected bodies are a snapshot of 6,000
/// machines, and a response to a watch of the state service with 10,000 changes. Listings are
/// divided into pages.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// The complete body.
    pub body: Bytes,
}

/// How long an idle connection is kept open for later calls. This is longer than the interval
/// between two calls to a machine in use.
const KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was made: the other side has not executed the request and never will.
    #[error("not sent")]
    NotSent,
    /// The request may have been sent: the other side may have executed it already, or may
    /// execute it at any later time.
    #[error("unknown outcome")]
    Unknown,
}

/// One call, as it is passed to a [`CallHandler`].
#[derive(Debug, Clone)]
pub struct Call {
    /// Address to call.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: awc::http::Method,
    /// Path and query string.
    pub path: String,
    /// Request body; empty if there is none.
    pub body: Vec<u8>,
    /// Maximum time to wait for the response.
    pub timeout: Duration,
}

/// Answers calls in place of the network. Tests implement this trait to simulate a network.
pub trait CallHandler {
    /// Returns the response, or the reason why there is none, within the call's timeout.
    fn call(&self, call: Call) -> LocalBoxFuture<'static, Result<Response, CallError>>;
}

/// How a client's calls reach the other side.
#[derive(Clone)]
enum Transport {
    /// Over the sockets of a connection pool.
    Pool(Pool),
    /// Through a simulated network.
    Simulated(Rc<dyn CallHandler>),
}

/// A connection pool, and the maximum time to wait for a new connection.
#[derive(Clone)]
struct Pool {
    client: awc::Client,
    connect_timeout: Duration,
}

/// An HTTP client, by default with its own connection pool.
#[derive(Clone)]
pub struct HttpClient(Transport);

impl HttpClient {
    /// A client whose calls go to a simulated network.
    pub fn simulated(handler: Rc<dyn CallHandler>) -> HttpClient {
        HttpClient(Transport::Simulated(handler))
    }

    /// A client whose calls go over sockets. Connecting may take at most `connect_timeout_s`
    /// seconds, and the pool holds at most `max_connections` connections.
    pub fn new(connect_timeout_s: f64, max_connections: usize) -> HttpClient {
        let connect_timeout = Duration::from_secs_f64(connect_timeout_s);
        let connector = awc::Connector::new()
            .timeout(connect_timeout)
            .limit(max_connections)
            // Idle connections are kept open for a long time, because a new connection costs a
            // dozen system calls and packets. The other side can close a connection at any
            // time. (The pool closes an expired connection only at the next call to the same
            // address.)
            .conn_keep_alive(KEEP_ALIVE)
            .conn_lifetime(KEEP_ALIVE);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        HttpClient(Transport::Pool(Pool {
            client,
            connect_timeout,
        }))
    }

    /// Sends a request to `addr` and reads the whole response. The call takes at most `timeout_s`
    /// seconds; if the call goes over sockets, the client's connect timeout is added.
    ///
    /// # Errors
    /// There is no response. The error says whether the request may have been executed.
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
            Transport::Pool(pool) => pool.call(addr, method, path, body, timeout).await,
            Transport::Simulated(handler) => {
                let call = Call {
                    addr,
                    method,
                    path: path.to_string(),
                    body: body.unwrap_or_default(),
                    timeout,
                };
                handler.call(call).await
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
        // One timeout covers the wait for a free connection, sending the request, and reading
        // the response. The time to connect is added so that a failure to connect is reported
        // as `NotSent` before this timeout makes the outcome unknown.
        let total_timeout = timeout + self.connect_timeout;
        actix_rt::time::timeout(total_timeout, send_and_read(request, body))
            .await
            .unwrap_or(Err(CallError::Unknown))
    }
}

/// Sends a request and reads the whole response.
async fn send_and_read(
    request: awc::ClientRequest,
    body: Option<Vec<u8>>,
) -> Result<Response, CallError> {
    let sent = match body {
        Some(body) => request.send_body(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(call_error)?;
    let status = response.status().as_u16();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|_| CallError::Unknown)?;
    Ok(Response { status, body })
}

/// Converts the error of a request. The result says whether the request may have been sent.
fn call_error(error: awc::error::SendRequestError) -> CallError {
    use awc::error::SendRequestError::{Connect, Url};
    match error {
        Connect(_) | Url(_) => CallError::NotSent,
        _ => CallError::Unknown,
    }
}
