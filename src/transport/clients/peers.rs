//! Client of the other controllers.

use crate::protocol::mesh::{self, PeerRequest, PeerResponse};
use crate::transport::http::Http;
use awc::http::Method;
use std::net::SocketAddr;

/// Client of the other controllers.
#[derive(Clone)]
pub struct MeshClient {
    http: Http,
}

impl Default for MeshClient {
    fn default() -> Self {
        MeshClient {
            http: Http::new(0.2, 8),
        }
    }
}

impl MeshClient {
    /// A client with another carrier of its calls.
    pub fn over(http: Http) -> MeshClient {
        MeshClient { http }
    }

    /// Asks a peer; hints are worth no long wait.
    pub async fn ask(&self, addr: SocketAddr, ask: &PeerRequest) -> Option<PeerResponse> {
        self.ask_within(addr, ask, 0.3).await
    }

    /// Asks a peer with this much patience.
    pub async fn ask_within(
        &self,
        addr: SocketAddr,
        ask: &PeerRequest,
        wait_s: f64,
    ) -> Option<PeerResponse> {
        let body = mesh::encode(ask);
        let response = self
            .http
            .call(addr, Method::POST, "/mesh", Some(body), wait_s)
            .await
            .ok()?;
        if response.status != 200 {
            return None;
        }
        mesh::decode(&response.body)
    }
}
