//! The scheduler: it tracks the jobs and machines, and decides which task runs on which
//! machine. It is deterministic: its inputs are the time and events, its outputs are
//! commands for machines and records to write. Random draws come from a seeded generator.
//!
//! The modules form three layers. Each layer imports only from the layers listed before it:
//!
//! - Data types: [`job`], [`machine`] with [`attempt`], [`message_id`] and [`delivery`],
//!   [`resources`], [`failed_machines`], [`capacity_index`], [`team_usage`], [`fair_share`], [`job_order`],
//!   [`run_time_predictor`], [`fence`], [`active_drain`], `placement_pass`,
//!   `preemption_cost`, [`message_counters`], [`work_counters`].
//! - State: [`state`] with [`config`].
//! - Operations on the state:
//!   - the sets of jobs and machines: `jobs`, `machines`, `attempts`, `completions`, `terms`,
//!     `suspect_jobs`;
//!   - the order of precedence among jobs: `prediction`, [`quota`], `precedence`, `order_refresh`;
//!   - placement: [`placement`], `sampling`, [`queue`], [`preemption`], `zone_constraint`;
//!   - views: [`load`], [`views`], [`overview`], [`snapshot`].

pub mod active_drain;
pub mod attempt;
mod attempts;
pub mod capacity_index;
mod completions;
pub mod config;
pub mod delivery;
pub(crate) mod empty_proof;
pub mod failed_machines;
pub mod fair_share;
pub mod fence;
pub(crate) mod incarnation;
pub mod incarnation_check;
pub mod job;
pub mod job_order;
mod jobs;
pub mod load;
pub mod machine;
mod machines;
pub mod message_counters;
pub mod message_id;
mod order_refresh;
pub mod overview;
pub mod placement;
pub mod placement_pass;
mod precedence;
mod prediction;
pub mod preemption;
mod preemption_cost;
pub mod queue;
pub mod quota;
pub mod resources;
pub mod run_time_predictor;
mod sampling;
pub mod snapshot;
pub mod state;
mod suspect_jobs;
pub mod team_usage;
mod terms;
pub mod views;
pub mod work_counters;
pub(crate) mod zone_constraint;
