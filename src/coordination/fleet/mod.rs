//! The fleet: machines rented and returned, drained for operators, rolled over in turn, and
//! the durable record of those that tasks may start on.

pub mod drains;
pub mod machine_record_writer;
pub mod manager;
pub mod rollout;
pub mod rollout_writer;
pub mod scale_out;
