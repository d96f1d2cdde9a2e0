//! Fleet management: scales out and in, drains machines for operators, carries out rollouts,
//! and keeps the durable record of the machines on which tasks may start.

pub mod drains;
pub mod eviction;
mod fleet_state;
pub mod machine_record_writer;
mod machine_types;
pub mod manager;
pub mod rollout;
pub mod rollout_writer;
pub mod scale_in;
pub mod scale_out;
pub mod shortfall;
