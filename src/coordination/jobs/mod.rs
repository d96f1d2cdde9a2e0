//! Jobs as the state service stores them: linearizable look-ups, the recording of completed
//! tasks, and the watch through which the leader learns of submissions and cancellations.
//!
//! Data types that [`crate::coordination::node::Node`] owns; their modules do not depend on
//! `Node`:
//! - [`terminal_states`]: a cache of terminal job states that this controller read or wrote.
//! - [`record_cache`]: a cache of live job records as they were last read or written.
//!
//! Functions and actors that work on a `Node`:
//! - [`admission`]: checks whether a job can ever run.
//! - [`lookup`]: linearizable look-ups of jobs, which supply the job states in answers to users.
//! - [`version_check`]: checks, in batches, whether cached live records are current.
//! - [`live_job_watch`]: the leader's watch of live jobs.
//! - [`completion_writer`]: the actor that writes completed tasks and terminal records;
//!   [`completion_batch`] plans each of its transactions.
//! - [`completed_task_chunks`]: the completed tasks of jobs whose record has no room for them.

pub mod admission;
pub mod completed_task_chunks;
pub mod completion_batch;
pub mod completion_writer;
pub mod live_job_watch;
pub mod lookup;
pub mod record_cache;
pub mod terminal_states;
pub mod version_check;
