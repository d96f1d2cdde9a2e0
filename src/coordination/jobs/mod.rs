//! Jobs as the state service has them: linearizable look-ups, completions that are written,
//! and the watch by which the leader learns of submissions and cancellations.

pub mod completion_batch;
pub mod completion_writer;
pub mod lookup;
pub mod version_check;
