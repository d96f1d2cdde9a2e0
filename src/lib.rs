//! foxspur: a cluster scheduler.
//!
//! For each task the scheduler samples two suitable machines. The task starts at once on one
//! that has enough free resources; otherwise it joins the queue of the machine with fewer
//! waiting tasks. A queue starts the task with the smallest predicted run time first (see
//! `docs/design.md`).
//!
//! The layers, each of which imports only the ones listed before it:
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
