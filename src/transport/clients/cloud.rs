//! Client of the cloud: machine types, scale out and in, and the list of machines, within
//! the published limit on requests.

use super::service::{self, Request, Service};
use super::{CallStatistics, Priority, ServiceError};
use crate::protocol::cloud::{Listed, Names, Page, Rental, TypeList};
use crate::protocol::settings::Settings;
use crate::transport::http::{Http, Response};
use crate::transport::token_bucket::TokenBucket;
use awc::http::Method;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Bound on the time to connect, in seconds.
const CONNECT_TIMEOUT_S: f64 = 1.0;
/// Bound on a call, in seconds.
const CALL_TIMEOUT_S: f64 = 5.0;
/// Connections kept open at most.
const MAX_SOCKETS: usize = 4;
/// Part of the published limit that a controller uses. The leader alone uses the cloud,
/// others only for the types.
const RATE_PART: f64 = 0.7;
/// Longest wait for a request's turn, in seconds.
const MAX_WAIT_S: f64 = 2.0;

/// Client of the cloud.
#[derive(Clone)]
pub struct CloudClient {
    service: Service,
    requests: Rc<RefCell<TokenBucket>>,
}

impl CloudClient {
    /// A client of the cloud that the settings name.
    pub fn new(settings: &Settings) -> CloudClient {
        let rps = settings.cluster.cloud.rps;
        let http = Http::new(CONNECT_TIMEOUT_S, MAX_SOCKETS);
        let requests = TokenBucket::new(rps * RATE_PART, rps, 0.0);
        CloudClient {
            service: Service::new(http, settings.services.cloud),
            requests: Rc::new(RefCell::new(requests)),
        }
    }

    /// Waits for a request's turn, once.
    async fn wait_for_turn(&self) -> Result<(), ServiceError> {
        let Err(wait_s) = self.take_token() else {
            return Ok(());
        };
        actix_rt::time::sleep(Duration::from_secs_f64(wait_s.min(MAX_WAIT_S))).await;
        self.take_token().map_err(|_| ServiceError::Refused)
    }

    fn take_token(&self) -> Result<(), f64> {
        let now = self.service.now();
        self.requests.borrow_mut().take(1.0, Priority::Control, now)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, ServiceError> {
        self.wait_for_turn().await?;
        let request = Request {
            method,
            path,
            body,
            timeout_s: CALL_TIMEOUT_S,
        };
        self.service.call(request, only_ok).await
    }

    /// How calls of the cloud went so far.
    pub fn statistics(&self) -> CallStatistics {
        self.service.statistics()
    }

    /// The machine types.
    ///
    /// # Errors
    /// The call failed.
    pub async fn types(&self) -> Result<TypeList, ServiceError> {
        service::decode(&self.call(Method::GET, "/flavors", None).await?)
    }

    /// Scales out: rents machines, and says their names.
    ///
    /// # Errors
    /// The call failed.
    pub async fn scale_out(&self, rental: &Rental) -> Result<Names, ServiceError> {
        let body = service::encode(rental)?;
        service::decode(&self.call(Method::POST, "/rentals", Some(body)).await?)
    }

    /// Scales in: returns machines. On success they and all that was on them are gone.
    ///
    /// # Errors
    /// The call failed.
    pub async fn scale_in(&self, machines: Vec<String>) -> Result<(), ServiceError> {
        let body = service::encode(&Names { machines })?;
        let returned = self.call(Method::POST, "/rentals/return", Some(body));
        returned.await.map(|_| ())
    }

    /// The whole list of machines, page by page.
    ///
    /// # Errors
    /// A call failed.
    pub async fn machines(&self) -> Result<Vec<Listed>, ServiceError> {
        let mut all: Vec<Listed> = Vec::new();
        loop {
            let since = all.last().map(|m| format!("&since={}", m.id));
            let path = format!("/rentals?limit=500{}", since.unwrap_or_default());
            let page: Page = service::decode(&self.call(Method::GET, &path, None).await?)?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Ok(all);
            }
        }
    }
}

/// Fails on every status but 200.
fn only_ok(response: Response) -> Result<Response, ServiceError> {
    let response = service::not_overloaded(response)?;
    match response.status {
        200 => Ok(response),
        status => Err(ServiceError::Status(status)),
    }
}
