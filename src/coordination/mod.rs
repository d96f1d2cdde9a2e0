//! Decides: membership and shares, worker sessions, placement, quota,
//! preemption and the fleet. The `Core` and all it uses is pure code with
//! passed-in time and a seeded generator; the actors around it do the talking.

pub mod batch;
pub mod calls;
pub mod commands;
pub mod core;
pub mod dispatch;
pub mod drains;
pub mod fair;
pub mod fence;
pub mod fleet;
pub mod fleet_plan;
pub mod health;
pub mod hearing;
pub mod job;
pub mod job_lookup;
pub mod learn;
pub mod ledger;
pub mod machine;
pub mod member;
pub mod node;
pub mod order;
pub mod overview;
pub mod place;
pub mod preempt;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod recent;
pub mod rolls;
pub mod room;
pub mod sessions;
mod shown;
pub mod silence;
pub mod snapshot;
pub mod version_check;
pub mod views;
mod zones;
