//! Network communication: an HTTP client with timeouts, rate limits, the clients of the
//! outside services, and the listener that accepts connections for the HTTP servers.
//!
//! - [`http`]: one HTTP call with a timeout.
//! - [`token_bucket`]: rate limits on requests.
//! - [`clients`]: clients of the state service, the cloud, the workers and the other
//!   controllers.
//! - [`sockets`]: how the sockets of a process are divided among their uses.
//! - [`listen`]: accepts connections and serves them.

pub mod clients;
pub mod http;
pub mod listen;
pub mod sockets;
pub mod token_bucket;
