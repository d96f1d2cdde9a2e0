//! The fleet: machines scaled out and in, drained for operators, rolled over in turn, and
//! the durable record of those that tasks may start on.

pub mod drains;
pub mod eviction;
mod fleet_state;
pub mod machine_record_writer;
mod machine_types;
pub mod manager;
pub mod rollout;
pub mod rollout_writer;
mod scale_in;
pub mod scale_out;
