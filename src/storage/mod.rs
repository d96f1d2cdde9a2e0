//! The records that foxspur stores in the state service, and their keys. Sets of tasks and lists
//! of machines are split to stay within the size limits of values and transactions.
//!
//! - [`records`]: the records and their keys.
//! - [`completed_tasks`]: sets of task numbers, stored as ranges.
//! - [`record_limits`]: which jobs store their completed tasks apart from their live records.
//! - [`machine_record`]: the shard's list of machines, stored in chunks.

pub mod completed_tasks;
pub mod machine_record;
pub mod record_limits;
pub mod records;
