//! Moves bytes: an HTTP client with budgets and timeouts, the clients of the
//! outside services built on it, and the listener that feeds the front server.

pub mod budget;
pub mod clients;
pub mod http;
pub mod listen;
pub mod sockets;
