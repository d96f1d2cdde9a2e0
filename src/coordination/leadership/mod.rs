//! Leadership: which controller leads the shard, and what that rests on.
//!
//! Every controller keeps a lease in the state service, with its *alive key* on it. The
//! shard record names the leader and its term; when the leader's lease is gone, another
//! controller takes the shard over in one conditional transaction under a higher term
//! (failover).
//!
//! Invariants:
//!
//! - Each takeover is under a higher term than all before, and writes of the machine list,
//!   drains and rollouts are conditional on the version of the leader's own shard record: a
//!   deposed leader writes none of them.
//! - No former leader answers a worker once a later leader takes it to be silent
//!   ([`lease_extension`]).
//! - No leader answers a worker without knowing every cancellation that was confirmed to a
//!   user before a bounded time ago ([`cancellation_horizon`]).
//! - A promise for a later term is kept: whoever gave it neither acts under an earlier term
//!   nor extends the lease of a leader under one.
//!
//! The decisions are pure code, with time passed in:
//!
//! - [`state`]: the state machine; who leads and may answer workers.
//! - [`lease`]: our lease and alive key.
//! - [`takeover`], [`shard_update`]: the transactions, and what their responses prove.
//! - [`queries`], [`peer_queries`]: what the controllers ask of each other, and when.
//! - [`lease_extension`], [`cancellation_horizon`], [`confirmed_cancellations`]: for how long
//!   a leader without contact goes on.
//! - [`cluster_view`]: what is known of the watched control prefix.
//!
//! The [`loops`] carry the decisions out: they send the requests and hand the responses
//! back.

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
pub use loops::step_down::{promise, superseded};
pub use loops::LeadershipActor;
