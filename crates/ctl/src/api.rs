//! A client of the operators' API. Controllers are tried in the order of their addresses; the
//! first that answers counts.

use foxspur_wire::admin::{Answer, Problem};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than a controller waits for the leader.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why there is no result.
#[derive(thiserror::Error, Debug)]
pub enum Error {
    /// The order is refused, or names something that does not exist.
    #[error("{0}")]
    Refused(String),
    /// Nobody answers now; giving the same order again is safe.
    #[error("no controller answers: {0}")]
    Nobody(String),
    /// A file, or the terminal.
    #[error("{0}")]
    Local(String),
}

impl Error {
    /// Something on this side failed.
    pub(crate) fn local(error: impl std::fmt::Display) -> Error {
        Error::Local(error.to_string())
    }

    fn unreadable(error: serde_json::Error) -> Error {
        Error::Nobody(format!("unreadable answer: {error}"))
    }

    /// The exit code that scripts see.
    pub fn code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Local(_) => 2,
            Error::Nobody(_) => 3,
        }
    }
}

/// A client of all controllers.
pub struct Api {
    http: reqwest::blocking::Client,
    /// Base URLs.
    at: Vec<String>,
}

impl Api {
    /// A client of the controllers at these addresses or URLs.
    ///
    /// # Errors
    ///
    /// If no HTTP client can be made.
    pub fn new(at: &[String]) -> Result<Api, Error> {
        let http = reqwest::blocking::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(TIMEOUT)
            .no_proxy()
            .build()
            .map_err(Error::local)?;
        Ok(Api {
            http,
            at: at.iter().map(|address| base_url(address)).collect(),
        })
    }

    /// The base URLs that are tried.
    pub fn at(&self) -> &[String] {
        &self.at
    }

    /// Asks one controller: `POST` with a body, else `GET`.
    fn call_one(&self, base: &str, path: &str, body: Option<&str>) -> Result<String, Error> {
        let url = format!("{base}{path}");
        let request = match body {
            Some(body) => self.http.post(url).body(body.to_string()),
            None => self.http.get(url),
        };
        let nobody = |e: reqwest::Error| Error::Nobody(format!("{base}: {e}"));
        let response = request.send().map_err(nobody)?;
        let status = response.status();
        let text = response.text().map_err(nobody)?;
        if status.is_success() {
            return Ok(text);
        }
        let why = match serde_json::from_str::<Problem>(&text) {
            Ok(problem) => problem.error,
            Err(_) => format!("{base} answers {status}"),
        };
        if status.is_client_error() {
            Err(Error::Refused(why))
        } else {
            Err(Error::Nobody(why))
        }
    }

    /// Asks one controller after the other; a refusal is an answer.
    ///
    /// # Errors
    ///
    /// If the call is refused or no controller answers.
    pub fn call(&self, path: &str, body: Option<&str>) -> Result<String, Error> {
        let mut last = Error::Nobody("no address is given".into());
        for base in &self.at {
            match self.call_one(base, path, body) {
                Err(error @ Error::Nobody(_)) => last = error,
                other => return other,
            }
        }
        Err(last)
    }

    /// A view: as text, and parsed.
    ///
    /// # Errors
    ///
    /// As [`Api::call`], and if the answer cannot be parsed.
    pub fn view<T: DeserializeOwned>(&self, path: &str) -> Result<(String, Answer<T>), Error> {
        let text = self.call(path, None)?;
        let answer = serde_json::from_str(&text).map_err(Error::unreadable)?;
        Ok((text, answer))
    }

    /// The view of each controller, in the order of the addresses.
    pub fn each<T: DeserializeOwned>(&self, path: &str) -> Vec<(String, Result<Answer<T>, Error>)> {
        let ask = |base: &String| {
            let text = self.call_one(base, path, None)?;
            serde_json::from_str(&text).map_err(Error::unreadable)
        };
        self.at
            .iter()
            .map(|base| (base.clone(), ask(base)))
            .collect()
    }

    /// Gives an order; the answer as text.
    ///
    /// # Errors
    ///
    /// As [`Api::call`].
    pub fn order<T: Serialize>(&self, path: &str, order: &T) -> Result<String, Error> {
        let body = serde_json::to_string(order).map_err(Error::local)?;
        self.call(path, Some(&body))
    }
}

/// The base URL of a controller at this address or URL.
fn base_url(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.contains("://") {
        address.to_string()
    } else {
        format!("http://{address}")
    }
}
