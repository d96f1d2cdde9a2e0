//! One request to one front, and what is known when it gave no answer.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A request to a controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// `POST` with this body, or `GET` without.
    pub body: Option<String>,
    /// Path below the front's base URL.
    pub path: String,
}

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Why there is no answer. The request may have been carried out all the same.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    /// The time was up: the other side, or the way there, has too much to do.
    #[error("no answer in time")]
    TimedOut,
    /// The connection broke, or was never made.
    #[error("{0}")]
    Broken(String),
}

/// A future that a transport gives.
pub type Call<'a> = Pin<Box<dyn Future<Output = Result<Answer, NoAnswer>> + Send + 'a>>;

/// How requests travel. `front` counts from 0 in the order of the settings.
pub trait Transport: Send + Sync + 'static {
    /// Sends a request to a front and waits for the answer, at most so long.
    fn call(&self, front: usize, request: Request, timeout: Duration) -> Call<'_>;
}

/// The longest answer that is read: the protocol's answers are a line.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// HTTP/1.1 by `reqwest`.
#[derive(Debug, Clone)]
pub struct Http {
    client: reqwest::Client,
    fronts: Vec<String>,
}

impl Http {
    /// `fronts` are base URLs, such as `http://10.0.0.1:8080`; `connect` bounds the time of a
    /// connection's establishment.
    ///
    /// # Errors
    ///
    /// If no HTTP client can be made.
    pub fn new(fronts: &[String], connect: Duration) -> Result<Http, NoAnswer> {
        let client = reqwest::Client::builder()
            .connect_timeout(connect)
            .redirect(reqwest::redirect::Policy::none())
            // What is sent again is decided here, and counted.
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
        let failed = |e: reqwest::Error| NoAnswer::Broken(e.without_url().to_string());
        let base = self.fronts.get(front).map_or("", String::as_str);
        let url = format!("{base}{}", request.path);
        let call = match request.body {
            Some(body) => self.client.post(url).body(body),
            None => self.client.get(url),
        };
        let call = call.header("content-type", "application/json");
        let mut response = call.send().await.map_err(failed)?;
        let header = response.headers().get("retry-after");
        let retry_after = header.and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let status = response.status().as_u16();
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(failed)? {
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(NoAnswer::Broken("answer over 64 KiB".into()));
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
