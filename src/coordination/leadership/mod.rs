//! Leadership: which controller leads the shard, and what proves its leadership.
//!
//! Every controller keeps a lease in the state service. Its *alive key* is attached to that
//! lease and is deleted when the lease ends. The shard record names the leader and its term.
//! When the leader's lease has ended, another controller takes the shard over in one
//! conditional transaction under a higher term (failover).
//!
//! Invariants:
//!
//! - Each takeover uses a higher term than all earlier ones. Writes of the machine list,
//!   drains and rollouts are conditional on the version of the leader's own shard record, so
//!   a deposed leader writes none of them.
//! - Once a later leader assumes that a former leader has stopped answering workers, the former
//!   leader answers none ([`lease_extension`]).
//! - No leader answers a worker without knowing every cancellation that was confirmed to a
//!   user before a bounded time ago ([`cancellation_horizon`]).
//! - A controller that has promised for a term neither acts under an earlier term nor
//!   extends the lease of a leader of an earlier term.
//!
//! A former leader is called *silent* once it no longer answers workers. A machine is called
//! *silent* while its heartbeats do not arrive.
//!
//! The decisions are pure code, with time passed in:
//!
//! - [`state`]: the state machine; whether this controller leads and may answer workers.
//! - [`lease`]: this controller's lease and alive key.
//! - [`takeover`], [`shard_update`]: the transactions that write the shard record, and what their
//!   responses prove.
//! - [`queries`], [`peer_queries`]: which queries controllers send to each other, and when.
//! - [`lease_extension`], [`cancellation_horizon`], [`confirmed_cancellations`]: how long a
//!   leader without contact to the state service may go on answering workers.
//! - [`cluster_view`]: what is known of the watched control prefix.
//!
//! The [`loops`] send the requests that these modules decide on, and pass the responses
//! back to them.

pub mod cancellation_horizon;
pub mod cluster_view;
pub mod confirmed_cancellations;
pub mod lease;
pub mod lease_extension;
pub mod loops;
pub mod peer_queries;
pub mod queries;
pub mod shard_update;
pub mod state;
pub mod takeover;

pub use loops::failover;
pub use loops::step_down::{promise, step_down_after_higher_term};
pub use loops::LeadershipActor;
