//! Calls to the operators' API: the first controller that answers counts.

use foxspur_wire::admin::{Answer, Problem};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

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
    at: Vec<String>,
}

impl Api {
    pub fn new(at: &[String]) -> Result<Api, Error> {
        let http = reqwest::blocking::Client::builder()
            .connect_timeout(Duration::from_secs(1))
            // Longer than a controller waits for the owner.
            .timeout(Duration::from_secs(5))
            .no_proxy()
            .build()
            .map_err(|e| Error::Local(e.to_string()))?;
        let base = |a: &String| {
            let a = a.trim_end_matches('/');
            if a.contains("://") {
                a.to_string()
            } else {
                format!("http://{a}")
            }
        };
        Ok(Api {
            http,
            at: at.iter().map(base).collect(),
        })
    }

    /// The addresses that are tried.
    pub fn at(&self) -> &[String] {
        &self.at
    }

    fn once(&self, base: &str, path: &str, body: Option<&str>) -> Result<String, Error> {
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
    pub fn call(&self, path: &str, body: Option<&str>) -> Result<String, Error> {
        let mut last = Error::Nobody("no address is given".into());
        for base in &self.at {
            match self.once(base, path, body) {
                Err(error @ Error::Nobody(_)) => last = error,
                other => return other,
            }
        }
        Err(last)
    }

    /// A view: as text, and read.
    pub fn view<T: DeserializeOwned>(&self, path: &str) -> Result<(String, Answer<T>), Error> {
        let text = self.call(path, None)?;
        let read = serde_json::from_str(&text);
        let read = read.map_err(|e| Error::Nobody(format!("unreadable answer: {e}")))?;
        Ok((text, read))
    }

    /// The view of each controller, in the order of the addresses.
    pub fn each<T: DeserializeOwned>(&self, path: &str) -> Vec<(String, Result<Answer<T>, Error>)> {
        let ask = |base: &String| {
            let text = self.once(base, path, None)?;
            serde_json::from_str(&text)
                .map_err(|e| Error::Nobody(format!("unreadable answer: {e}")))
        };
        self.at
            .iter()
            .map(|base| (base.clone(), ask(base)))
            .collect()
    }

    /// Gives an order.
    pub fn order<T: Serialize>(&self, path: &str, order: &T) -> Result<String, Error> {
        let body = serde_json::to_string(order).map_err(|e| Error::Local(e.to_string()))?;
        self.call(path, Some(&body))
    }
}
