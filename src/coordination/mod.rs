//! Decides who leads, where tasks run, which commands workers get, and how many machines
//! there are. The state machines are pure code with passed-in time and a seeded generator; the
//! loops and actors beside them carry out their effects.
//!
//! - [`scheduler`]: jobs, machines and what runs where.
//! - [`agents`]: heartbeats, the failure detector, commands and calls to workers.
//! - [`leadership`]: leases, takeovers, and what a leader rests on.
//! - [`jobs`]: look-ups, completions, the watch of live jobs.
//! - [`fleet`]: scale out and in, drains, rollouts, the machine record.
//! - [`node`]: what ties the parts of one process together.
//! - [`readiness`]: whether users should be sent to this controller.
//! - [`recent`]: a bounded map.

pub mod agents;
pub mod fleet;
pub mod jobs;
pub mod leadership;
pub mod node;
pub mod readiness;
pub mod recent;
pub mod scheduler;
