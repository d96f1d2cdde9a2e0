//! Stand-ins on loopback for what foxspur meets: the state service, the cloud and
//! its workers, the load balancer, by the published protocol and with faults; a
//! load through the client library, and a checker of histories.

pub mod balancer;
pub mod close_looks;
pub mod cloud;
pub mod controllers;
pub mod history;
pub mod links;
pub mod load;
pub mod machines;
pub mod site;
pub mod state;
pub mod store;
pub mod testbed;
