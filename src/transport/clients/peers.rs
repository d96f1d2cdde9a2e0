//! Client of the other controllers: sends them the messages of [`crate::protocol::mesh`].

use crate::protocol::mesh::{self, PeerRequest, PeerResponse};
use crate::transport::http::HttpClient;
use awc::http::Method;
use std::net::SocketAddr;

/// Maximum time to connect, in seconds.
const CONNECT_TIMEOUT_S: f64 = 0.2;
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 8;
/// Timeout of a request if the caller does not set another one, in seconds. Most such requests ask
/// for hints, which are not worth a long wait.
const DEFAULT_TIMEOUT_S: f64 = 0.3;

/// Client of the other controllers.
#[derive(Clone)]
pub struct MeshClient {
    http: HttpClient,
}

impl Default for MeshClient {
    fn default() -> Self {
        MeshClient {
            http: HttpClient::new(CONNECT_TIMEOUT_S, MAX_CONNECTIONS),
        }
    }
}

impl MeshClient {
    /// A client whose calls are made by `http`.
    pub fn with_http(http: HttpClient) -> MeshClient {
        MeshClient { http }
    }

    /// Sends a request to another controller; `None` if there is no valid response within the
    /// default timeout of 0.3 seconds.
    pub async fn ask(&self, addr: SocketAddr, request: &PeerRequest) -> Option<PeerResponse> {
        self.ask_within(addr, request, DEFAULT_TIMEOUT_S).await
    }

    /// Sends a request to another controller; `None` if there is no valid response within
    /// `timeout_s` seconds.
    pub async fn ask_within(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        timeout_s: f64,
    ) -> Option<PeerResponse> {
        let body = Some(mesh::encode(request));
        let call = self.http.call(addr, Method::POST, "/mesh", body, timeout_s);
        match call.await {
            Ok(response) if response.status == 200 => mesh::decode(&response.body),
            _ => None,
        }
    }
}
