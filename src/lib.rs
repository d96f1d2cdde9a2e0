//! foxspur: a cluster scheduler. Each task samples two fitting machines, starts
//! at once on one with free room, else joins the one with fewer bound waiting
//! tasks; a queue starts the smallest prediction first (see `docs/design.md`).
//!
//! Layers, each of which imports only those before it:
//!
//! - [`protocol`]: messages and settings, as they are exchanged with other programs.
//! - [`storage`]: the records in the state service, and their keys.
//! - [`transport`]: HTTP, and the clients of the outside services.
//! - [`coordination`]: leadership, scheduling, workers, jobs and the fleet.
//! - [`handlers`] and [`admin`]: the calls of users, workers, controllers and operators.
//! - [`app`]: ties all together into a process.

#![warn(clippy::unwrap_used)]

pub mod admin;
pub mod app;
pub mod coordination;
pub mod handlers;
pub mod protocol;
pub mod storage;
pub mod transport;
