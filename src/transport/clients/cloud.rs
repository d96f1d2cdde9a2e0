//! Client of the cloud, which observes the published rate limit. It reads the machine types and
//! the list of machines, rents machines and returns them.

use super::service::{self, Request, Service};
use super::{CallStatistics, Priority, ServiceError};
use crate::protocol::cloud::{LaunchRequest, ListPage, ListedMachine, MachineNames, TypeList};
use crate::protocol::settings::Settings;
use crate::transport::http::{HttpClient, Response};
use crate::transport::token_bucket::TokenBucket;
use awc::http::Method;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time to connect, in seconds.
const CONNECT_TIMEOUT_S: f64 = 1.0;
/// Timeout of a call, in seconds.
const CALL_TIMEOUT_S: f64 = 5.0;
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 4;
/// Fraction of the published rate limit that a controller may use. The rest is for the other
/// controllers, which only read the machine types; the leader makes all other calls.
const RATE_FRACTION: f64 = 0.7;
/// Maximum wait for the rate limit before a request, in seconds.
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
        let http = HttpClient::new(CONNECT_TIMEOUT_S, MAX_CONNECTIONS);
        let requests = TokenBucket::new(rps * RATE_FRACTION, rps, 0.0);
        CloudClient {
            service: Service::new(http, settings.services.cloud),
            requests: Rc::new(RefCell::new(requests)),
        }
    }

    /// Takes a token of the rate limit for one request. If none is available, waits once and tries
    /// again.
    ///
    /// # Errors
    /// No token is available after the wait.
    async fn wait_for_token(&self) -> Result<(), ServiceError> {
        let Err(wait_s) = self.take_token() else {
            return Ok(());
        };
        actix_rt::time::sleep(Duration::from_secs_f64(wait_s.min(MAX_WAIT_S))).await;
        self.take_token().map_err(|_| ServiceError::Refused)
    }

    /// Takes one token of the rate limit. The error is the time until one is available, in seconds.
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
        self.wait_for_token().await?;
        let request = Request {
            method,
            path,
            body,
            timeout_s: CALL_TIMEOUT_S,
        };
        self.service.call(request, only_ok).await
    }

    /// Statistics of the calls so far.
    pub fn statistics(&self) -> CallStatistics {
        self.service.statistics()
    }

    /// Reads the machine types.
    ///
    /// # Errors
    /// The call failed.
    pub async fn types(&self) -> Result<TypeList, ServiceError> {
        service::decode(&self.call(Method::GET, "/flavors", None).await?)
    }

    /// Scales out: rents machines, and returns their names.
    ///
    /// # Errors
    /// The call failed.
    pub async fn scale_out(&self, rental: &LaunchRequest) -> Result<MachineNames, ServiceError> {
        let body = service::encode(rental)?;
        service::decode(&self.call(Method::POST, "/rentals", Some(body)).await?)
    }

    /// Scales in: returns machines to the cloud. After a success, the machines, their tasks and
    /// their data no longer exist.
    ///
    /// # Errors
    /// The call failed.
    pub async fn scale_in(&self, machines: Vec<String>) -> Result<(), ServiceError> {
        let body = service::encode(&MachineNames { machines })?;
        let returned = self.call(Method::POST, "/rentals/return", Some(body));
        returned.await.map(|_| ())
    }

    /// Reads the whole list of machines, page by page.
    ///
    /// # Errors
    /// A call failed.
    pub async fn machines(&self) -> Result<Vec<ListedMachine>, ServiceError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let since = machines
                .last()
                .map(|machine| format!("&since={}", machine.id));
            let path = format!("/rentals?limit=500{}", since.unwrap_or_default());
            let page: ListPage = service::decode(&self.call(Method::GET, &path, None).await?)?;
            let has_more = page.more && !page.machines.is_empty();
            machines.extend(page.machines);
            if !has_more {
                return Ok(machines);
            }
        }
    }
}

/// Fails on every status other than 200.
fn only_ok(response: Response) -> Result<Response, ServiceError> {
    let response = service::not_overloaded(response)?;
    match response.status {
        200 => Ok(response),
        status => Err(ServiceError::Status(status)),
    }
}
