//! Decides which controller leads, where tasks run, which commands workers get, and how many
//! machines there are. The state machines have no side effects: time and a seeded random
//! number generator are passed in. The loops and actors next to them carry out the effects.
//!
//! - [`scheduler`]: jobs, machines, and the placement of tasks on machines.
//! - [`agents`]: heartbeats, the failure detector, commands and calls to workers.
//! - [`leadership`]: leases, takeovers, and the conditions under which a leader may act.
//! - [`jobs`]: look-ups and completions of jobs, and the watch of live jobs.
//! - [`fleet`]: scale-out, scale-in, drains, rollouts, and the machine record.
//! - [`node`]: the state that all parts of one controller share.
//! - [`readiness`]: whether the load balancer should send users to this controller.
//! - [`recent`]: a bounded map.

pub mod agents;
pub mod fleet;
pub mod jobs;
pub mod leadership;
pub mod node;
pub mod readiness;
pub mod recent;
pub mod scheduler;
