//! Sends one request to one front. The errors tell apart why there is no answer.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A request to a controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Body of a `POST` request; `None` makes it a `GET` request.
    pub body: Option<String>,
    /// Path below the front's base URL.
    pub path: String,
}

/// A controller's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The `Retry-After` header in seconds, if there is one.
    pub retry_after: Option<f64>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why there is no answer. The request may have been carried out nevertheless.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    /// The timeout expired. The front or the network to it is overloaded.
    #[error("no answer in time")]
    TimedOut,
    /// The connection broke or could not be established.
    #[error("{0}")]
    Broken(String),
}

/// The future of a request's result.
pub type Call<'a> = Pin<Box<dyn Future<Output = Result<Answer, NoAnswer>> + Send + 'a>>;

/// Sends requests to fronts.
pub trait Transport: Send + Sync + 'static {
    /// Sends a request to a front and waits for the answer, at most for `timeout`. `front` is the
    /// front's index in the settings.
    fn call(&self, front: usize, request: Request, timeout: Duration) -> Call<'_>;
}

/// The longest answer body that is read. The protocol's answers are a single line.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The transport over HTTP/1.1, with `reqwest`.
#[derive(Debug, Clone)]
pub struct Http {
    client: reqwest::Client,
    fronts: Vec<String>,
}

impl Http {
    /// Creates the transport. `fronts` are base URLs, such as `http://10.0.0.1:8080`, and
    /// `connect_timeout` limits the time to establish a connection.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(fronts: &[String], connect_timeout: Duration) -> Result<Http, NoAnswer> {
        let client = reqwest::Client::builder()
            .connect_timeout(connect_timeout)
            .redirect(reqwest::redirect::Policy::none())
            // Retries are decided and counted against a budget in this library.
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .map_err(|e| NoAnswer::Broken(e.to_string()))?;
        let fronts = fronts.iter().map(|f| f.trim_end_matches('/').to_string());
        Ok(Http {
            client,
            fronts: fronts.collect(),
        })
    }

    async fn exchange(&self, front: usize, request: Request) -> Result<Answer, NoAnswer> {
        let broken = |e: reqwest::Error| NoAnswer::Broken(e.without_url().to_string());
        let base = self.fronts.get(front).map_or("", String::as_str);
        let url = format!("{base}{}", request.path);
        let call = match request.body {
            Some(body) => self.client.post(url).body(body),
            None => self.client.get(url),
        };
        let call = call.header("content-type", "application/json");
        let mut response = call.send().await.map_err(broken)?;
        let header = response.headers().get("retry-after");
        let retry_after = header.and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let status = response.status().as_u16();
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(broken)? {
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(NoAnswer::Broken("answer body exceeds 64 KiB".into()));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Answer {
            status,
            retry_after,
            body,
        })
    }
}

impl Transport for Http {
    fn call(&self, front: usize, request: Request, timeout: Duration) -> Call<'_> {
        Box::pin(async move {
            tokio::time::timeout(timeout, self.exchange(front, request))
                .await
                .unwrap_or(Err(NoAnswer::TimedOut))
        })
    }
}
