//! The message types of foxspur: those that users, workers, operators and controllers exchange,
//! and those of the state service and the cloud, which controllers call. Each type is defined
//! once, here.
//!
//! The crate does no I/O. A default never hides that a required field is missing. A field that
//! the protocol allows to be null may also be missing; here it is an `Option`.

pub mod admin;
pub mod cloud;
pub mod job;
pub mod rollout;
pub mod state;
pub mod worker;
