//! Client of the other controllers: messages over the mesh.

use crate::protocol::mesh::{self, PeerRequest, PeerResponse};
use crate::transport::http::Http;
use awc::http::Method;
use std::net::SocketAddr;

/// Bound on the time to connect, in seconds.
const CONNECT_TIMEOUT_S: f64 = 0.2;
/// Connections kept open at most.
const MAX_SOCKETS: usize = 8;
/// Timeout of hints, which are worth no long wait, in seconds.
const HINT_TIMEOUT_S: f64 = 0.3;

/// Client of the other controllers.
#[derive(Clone)]
pub struct MeshClient {
    http: Http,
}

impl Default for MeshClient {
    fn default() -> Self {
        MeshClient {
            http: Http::new(CONNECT_TIMEOUT_S, MAX_SOCKETS),
        }
    }
}

impl MeshClient {
    /// A client with another carrier of its calls.
    pub fn over(http: Http) -> MeshClient {
        MeshClient { http }
    }

    /// Asks a peer for a hint; `None` without an answer soon.
    pub async fn ask(&self, addr: SocketAddr, request: &PeerRequest) -> Option<PeerResponse> {
        self.ask_within(addr, request, HINT_TIMEOUT_S).await
    }

    /// Asks a peer; `None` without an answer within `timeout_s` seconds.
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
