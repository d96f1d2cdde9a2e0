//! A test cluster on loopback.
//!
//! It consists of simulated services written against the published protocol (the state service,
//! the cloud with its workers, the load balancer), real controller processes, fault injection, a
//! load generator that uses the client library, and a checker of the recorded history.

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
