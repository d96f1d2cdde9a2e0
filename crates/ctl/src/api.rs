//! An HTTP client of the operators' API. It tries the controllers in the order of their
//! addresses and uses the first answer.

use foxspur_wire::admin::{Answer, Problem};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The limit for a whole request, longer than a controller waits for the leader.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command has no result.
#[derive(thiserror::Error, Debug)]
pub enum Error {
    /// A controller refused the call: it is invalid, or names something that does not exist.
    #[error("{0}")]
    Refused(String),
    /// No controller gave a valid answer. It is unknown whether an order was carried out; it is
    /// safe to send the same order again.
    #[error("no controller answers: {0}")]
    NoAnswer(String),
    /// Something failed on this side, such as a file or the terminal.
    #[error("{0}")]
    Local(String),
}

impl Error {
    /// An error on this side.
    pub(crate) fn local(error: impl std::fmt::Display) -> Error {
        Error::Local(error.to_string())
    }

    fn invalid_answer(error: serde_json::Error) -> Error {
        Error::NoAnswer(format!("cannot parse the answer: {error}"))
    }

    /// The exit code of the process.
    pub fn code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Local(_) => 2,
            Error::NoAnswer(_) => 3,
        }
    }
}

/// A client of the operators' API of all controllers.
pub struct Api {
    http: reqwest::blocking::Client,
    /// The controllers' base URLs, in the order in which they are tried.
    at: Vec<String>,
}

impl Api {
    /// Creates a client for the controllers at these addresses or URLs.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(at: &[String]) -> Result<Api, Error> {
        let http = reqwest::blocking::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(Error::local)?;
        Ok(Api {
            http,
            at: at.iter().map(|address| base_url(address)).collect(),
        })
    }

    /// The controllers' base URLs, in the order in which they are tried.
    pub fn at(&self) -> &[String] {
        &self.at
    }

    /// Calls one controller: with `POST` if there is a body, else with `GET`.
    fn call_one(&self, base: &str, path: &str, body: Option<&str>) -> Result<String, Error> {
        let url = format!("{base}{path}");
        let request = match body {
            Some(body) => self.http.post(url).body(body.to_string()),
            None => self.http.get(url),
        };
        let no_answer = |error: reqwest::Error| Error::NoAnswer(format!("{base}: {error}"));
        let response = request.send().map_err(no_answer)?;
        let status = response.status();
        let text = response.text().map_err(no_answer)?;
        if status.is_success() {
            return Ok(text);
        }
        let message = match serde_json::from_str::<Problem>(&text) {
            Ok(problem) => problem.error,
            Err(_) => format!("{base} answered with status {status}"),
        };
        if status.is_client_error() {
            Err(Error::Refused(message))
        } else {
            Err(Error::NoAnswer(message))
        }
    }

    /// Calls one controller after the other until one answers. A refusal is an answer, too.
    ///
    /// # Errors
    ///
    /// If the call is refused or no controller answers.
    pub fn call(&self, path: &str, body: Option<&str>) -> Result<String, Error> {
        let mut last_error = Error::NoAnswer("no address is given".into());
        for base in &self.at {
            match self.call_one(base, path, body) {
                Err(error @ Error::NoAnswer(_)) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    /// Gets a view, as text and parsed.
    ///
    /// # Errors
    ///
    /// As [`Api::call`], and if the answer cannot be parsed.
    pub fn view<T: DeserializeOwned>(&self, path: &str) -> Result<(String, Answer<T>), Error> {
        let text = self.call(path, None)?;
        let answer = serde_json::from_str(&text).map_err(Error::invalid_answer)?;
        Ok((text, answer))
    }

    /// Gets a view from every controller, in the order of the addresses.
    pub fn each<T: DeserializeOwned>(&self, path: &str) -> Vec<(String, Result<Answer<T>, Error>)> {
        let get = |base: &String| {
            let text = self.call_one(base, path, None)?;
            serde_json::from_str(&text).map_err(Error::invalid_answer)
        };
        self.at
            .iter()
            .map(|base| (base.clone(), get(base)))
            .collect()
    }

    /// Sends an order and returns the answer as text.
    ///
    /// # Errors
    ///
    /// As [`Api::call`].
    pub fn order<T: Serialize>(&self, path: &str, order: &T) -> Result<String, Error> {
        let body = serde_json::to_string(order).map_err(Error::local)?;
        self.call(path, Some(&body))
    }
}

/// The base URL for an address or URL.
fn base_url(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.contains("://") {
        address.to_string()
    } else {
        format!("http://{address}")
    }
}
