//! Client of the cloud: machine types, rentals, returns and the machine list.

use super::{read, Failure, Met};
use crate::protocol::cloud::{Names, Page, Rental, TypeList};
use crate::protocol::settings::Settings;
use crate::transport::budget::Budget;
use crate::transport::http::{Http, Response};
use actix_rt::time::Instant;
use awc::http::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Client of the cloud.
#[derive(Clone)]
pub struct CloudClient {
    met: Rc<RefCell<Met>>,
    http: Http,
    addr: SocketAddr,
    start: Instant,
    budget: Rc<RefCell<Budget>>,
}

impl CloudClient {
    pub fn new(settings: &Settings) -> CloudClient {
        let rps = settings.cluster.cloud.rps;
        CloudClient {
            met: Rc::default(),
            http: Http::new(1.0, 4),
            addr: settings.services.cloud,
            start: Instant::now(),
            // The owner alone uses the cloud, others only for the types.
            budget: Rc::new(RefCell::new(Budget::new(rps * 0.7, rps, 0.0))),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, Failure> {
        let wait = {
            let now = self.start.elapsed().as_secs_f64();
            self.budget.borrow_mut().take(1.0, true, now)
        };
        if let Err(wait) = wait {
            actix_rt::time::sleep(Duration::from_secs_f64(wait.min(2.0))).await;
            let now = self.start.elapsed().as_secs_f64();
            if self.budget.borrow_mut().take(1.0, true, now).is_err() {
                return Err(Failure::Refused);
            }
        }
        let sent = self.http.call(self.addr, method, path, body, 5.0).await;
        let result = match sent {
            Ok(response) => match response.status {
                200 => Ok(response),
                429 | 503 => Err(Failure::Refused),
                s => Err(Failure::Status(s)),
            },
            Err(error) => Err(error.into()),
        };
        self.met.borrow_mut().note(&result);
        result
    }

    /// How it was met so far.
    pub fn met(&self) -> Met {
        *self.met.borrow()
    }

    pub async fn types(&self) -> Result<TypeList, Failure> {
        read(&self.call(Method::GET, "/flavors", None).await?)
    }

    pub async fn rent(&self, rental: &Rental) -> Result<Names, Failure> {
        let body = serde_json::to_vec(rental).map_err(|_| Failure::Status(0))?;
        read(&self.call(Method::POST, "/rentals", Some(body)).await?)
    }

    /// Returns machines; on success they and all that was on them are gone.
    pub async fn give_back(&self, machines: Vec<String>) -> Result<(), Failure> {
        let body = serde_json::to_vec(&Names { machines }).map_err(|_| Failure::Status(0))?;
        self.call(Method::POST, "/rentals/return", Some(body))
            .await
            .map(|_| ())
    }

    /// The whole machine list.
    pub async fn machines(&self) -> Result<Vec<crate::protocol::cloud::Listed>, Failure> {
        let mut all: Vec<crate::protocol::cloud::Listed> = Vec::new();
        loop {
            let since = all
                .last()
                .map(|m| format!("&since={}", m.id))
                .unwrap_or_default();
            let path = format!("/rentals?limit=500{since}");
            let page: Page = read(&self.call(Method::GET, &path, None).await?)?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Ok(all);
            }
        }
    }
}
