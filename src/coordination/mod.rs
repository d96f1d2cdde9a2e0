//! Decides which controller leads, where tasks run, which commands workers get, and how many
//! machines there are. The state machines have no side effects: time and a seeded random number
//! generator are passed to them. The loops and actors in the same modules carry out the decisions
//! of the state machines.
//!
//! - [`scheduler`]: jobs, machines, and the placement of tasks on machines.
//! - [`agents`]: heartbeats, the failure detector, commands and calls to workers.
//! - [`leadership`]: leases, takeovers, and the conditions under which a leader may act.
//! - [`jobs`]: look-ups and completions of jobs, and the watch of live jobs.
//! - [`fleet`]: scale-out, scale-in, drains, rollouts, and the machine record.
//! - [`node`]: the state that all parts of one controller share.
//! - [`loop_delay`]: how long the event loop was delayed.
//! - [`readiness`]: whether the load balancer should send users to this controller.
//! - [`recent`]: a bounded map that evicts its oldest entry.

pub mod agents;
pub mod fleet;
pub mod jobs;
pub mod leadership;
pub mod loop_delay;
pub mod node;
pub mod readiness;
pub mod recent;
pub mod scheduler;
