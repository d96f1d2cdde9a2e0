//! A test cluster on loopback.
//!
//! Stand-ins for everything that foxspur talks to (the state service, the cloud with its
//! workers, the load balancer), written against the published protocol; real controller
//! processes; fault injection; a load generator that goes through the client library; and a
//! checker that judges the recorded history.

pub mod balancer;
pub mod checker;
pub mod cloud;
pub mod consistency_probe;
pub mod control_api;
pub mod controllers;
pub mod fault;
mod fault_injection;
pub mod history;
pub mod links;
pub mod load;
pub mod machines;
mod server;
pub mod site;
pub mod state;
pub mod store;
pub mod testbed;
mod user_polls;
mod worker_api;
