//! The scheduler: which jobs there are, which machines, and what runs where. All of it is
//! pure: time and events go in, commands for machines and records to write come out.

pub mod capacity;
pub mod delivery;
pub mod fair_share;
pub mod fence;
pub mod job;
pub mod job_order;
pub mod machine;
pub mod overview;
pub mod placement;
pub mod preemption;
pub mod queue;
pub mod quota;
pub mod run_time_predictor;
pub mod snapshot;
pub mod state;
pub mod views;
mod zone_constraint;
