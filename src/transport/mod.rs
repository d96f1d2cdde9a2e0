//! Network communication: an HTTP client with timeouts, rate limits, the clients of external
//! services, and the listener that accepts connections for the HTTP servers.
//!
//! - [`http`]: one HTTP call with a timeout.
//! - [`token_bucket`]: rate limits on requests.
//! - [`clients`]: clients of the state service, the cloud, the workers and the other
//!   controllers.
//! - [`sockets`]: limits on the number of sockets that a process uses for each purpose.
//! - [`listen`]: accepts connections and serves them.

pub mod clients;
pub mod http;
pub mod listen;
pub mod sockets;
pub mod token_bucket;
