//! Jobs as the state service has them: linearizable look-ups, completions that are written,
//! and the watch by which the leader learns of submissions and cancellations.
//!
//! Data that [`crate::coordination::node::Node`] holds, without functions that need a node:
//! - [`terminal_states`]: terminal states that were read or written here.
//! - [`record_cache`]: live records as they were last read.
//!
//! Functions that act for a node:
//! - [`admission`]: whether a job can ever run.
//! - [`lookup`]: what an answer to a user rests on.
//! - [`version_check`]: batched checks whether cached records are current.
//! - [`live_job_watch`]: the leader's watch of live jobs.
//! - [`completion_writer`]: the actor that writes completions; [`completion_batch`] plans
//!   each of its transactions.
//! - [`completed_task_chunks`]: the completed tasks of jobs too large for one record.

pub mod admission;
pub mod completed_task_chunks;
pub mod completion_batch;
pub mod completion_writer;
pub mod live_job_watch;
pub mod lookup;
pub mod record_cache;
pub mod terminal_states;
pub mod version_check;
