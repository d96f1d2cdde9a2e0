//! Jobs as the state service stores them: linearizable look-ups, the recording of completed
//! tasks, and the watch through which the leader learns of submissions and cancellations.
//!
//! Data that [`crate::coordination::node::Node`] holds. These modules do not use the node:
//! - [`terminal_states`]: a cache of terminal job states that this controller read or wrote.
//! - [`record_cache`]: a cache of live job records as they were last read.
//!
//! Functions that act for a node:
//! - [`admission`]: whether a job can ever run.
//! - [`lookup`]: linearizable look-ups of jobs, on which answers to users are based.
//! - [`version_check`]: batched checks whether cached records are current.
//! - [`live_job_watch`]: the leader's watch of live jobs.
//! - [`completion_writer`]: the actor that writes completed tasks and terminal records;
//!   [`completion_batch`] plans each of its transactions.
//! - [`completed_task_chunks`]: the completed tasks of jobs with too many tasks for one record.

pub mod admission;
pub mod completed_task_chunks;
pub mod completion_batch;
pub mod completion_writer;
pub mod live_job_watch;
pub mod lookup;
pub mod record_cache;
pub mod terminal_states;
pub mod version_check;
