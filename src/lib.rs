//! foxspur: a cluster scheduler.
//!
//! For each task the scheduler samples a few suitable machines, by default two. If a sampled
//! machine has enough free resources, the task starts there at once; otherwise the task joins the
//! queue of the sampled machine with the fewest waiting tasks. In a queue, the task with the
//! smallest predicted run time starts first (see `docs/design.md`).
//!
//! The program consists of the following layers. Each layer imports only layers listed before it:
//!
//! - [`protocol`]: the messages exchanged with other programs, the settings and the policy.
//! - [`storage`]: the records in the state service and their keys.
//! - [`transport`]: HTTP, and the clients of external services.
//! - [`coordination`]: leadership, scheduling, workers, jobs and the fleet of machines.
//! - [`handlers`] and [`admin`]: the HTTP APIs for users, workers, controllers and operators.
//! - [`app`]: assembles the controller process.

#![warn(clippy::unwrap_used)]

pub mod admin;
pub mod app;
pub mod coordination;
pub mod handlers;
pub mod protocol;
pub mod storage;
pub mod transport;
