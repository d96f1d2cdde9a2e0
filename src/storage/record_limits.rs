//! Where the completed tasks of a job are stored, so that no record outgrows the largest value of
//! the state service, whatever the job and however many of its tasks are completed.
//!
//! The completed tasks of a job stand in its live record if the record has room for all of them
//! from the start. Otherwise they are stored in chunks of their own, and the live record never
//! grows. The decision depends only on the specification and the settings, so every controller
//! comes to the same one.

use crate::protocol::job::JobSpec;

/// Lower limit of `RecordLimits::chunk_tasks`, for state services that only allow very small values.
const MIN_CHUNK_TASKS: f64 = 64.0;
/// Bytes of a value that are reserved for each task of a chunk. At least half of the value is then
/// left, since a completed task takes `MAX_BYTES_PER_COMPLETED_TASK` at most.
const CHUNK_BYTES_PER_TASK: f64 = 16.0;
/// Upper bound on the bytes that one completed task takes in a text of ranges. A range takes up to 14
/// bytes and covers at least two tasks, and a single task takes up to 7.
const MAX_BYTES_PER_COMPLETED_TASK: usize = 7;
/// Bytes of a live record besides the specification and the completed tasks: field names, syntax and
/// the time of acceptance.
const LIVE_RECORD_OVERHEAD_BYTES: usize = 64;

/// The size in bytes of a job's live record without completed tasks. It is an upper bound: the time
/// of acceptance may have fewer digits.
pub fn live_record_bytes(spec: &JobSpec) -> usize {
    // A specification is a plain struct, which always serialises.
    let spec_bytes = serde_json::to_vec(spec).map_or(0, |text| text.len());
    spec_bytes + LIVE_RECORD_OVERHEAD_BYTES
}

/// The limits on the records of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLimits {
    /// Largest value of the state service, in bytes.
    pub value_bytes: usize,
    /// Number of tasks that one chunk of completed tasks covers.
    pub chunk_tasks: u32,
}

impl RecordLimits {
    /// The limits for a state service that stores values of up to `value_kb` KiB.
    pub fn new(value_kb: f64) -> RecordLimits {
        let value_bytes = value_kb * 1024.0;
        RecordLimits {
            value_bytes: value_bytes as usize,
            chunk_tasks: (value_bytes / CHUNK_BYTES_PER_TASK).max(MIN_CHUNK_TASKS) as u32,
        }
    }

    /// Whether the completed tasks of a job with this many tasks are stored in chunks.
    /// `record_bytes` is the size of its live record without completed tasks.
    pub fn stores_chunks(&self, tasks: u32, record_bytes: usize) -> bool {
        let most_completed_bytes = tasks as usize * MAX_BYTES_PER_COMPLETED_TASK;
        tasks > self.chunk_tasks || record_bytes + most_completed_bytes > self.value_bytes
    }

    /// Number of chunks of the job's completed tasks; 0 if they stand in its live record.
    pub fn chunk_count(&self, spec: &JobSpec) -> u32 {
        if self.stores_chunks(spec.tasks, live_record_bytes(spec)) {
            spec.tasks.div_ceil(self.chunk_tasks)
        } else {
            0
        }
    }
}
