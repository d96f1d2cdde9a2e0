//! Moves bytes: an HTTP client with timeouts and request limits, the clients of the
//! outside services built on it, and the listener that feeds the servers.
//!
//! - [`http`]: one HTTP call with a timeout.
//! - [`token_bucket`]: limits on requests.
//! - [`clients`]: the state service, the cloud, the workers, the other controllers.
//! - [`sockets`]: how a process's sockets are divided.
//! - [`listen`]: accepts connections.

pub mod clients;
pub mod http;
pub mod listen;
pub mod sockets;
pub mod token_bucket;
