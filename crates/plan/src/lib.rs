//! Plans of drains, by simulation.
//!
//! A plan simulates the shard's present state forward many times (Monte Carlo): the
//! controllers' own scheduler decides, and simulated machines run tasks for as long as
//! estimates of their class have turned out to be off. Each sample is run once with the drain
//! and once without, with the same random numbers, so that the difference is the drain's
//! effect.
//!
//! Pure: a snapshot and a seed give the same plan on every machine.
//!
//! Modules, each importing only those before it: `order` and `plan` (data), `scenario`
//! (input and result of a simulation), `draw` (run times), `cluster` and `machine` (simulated
//! machines), `simulation`, `samples` (pairs of simulations), `summary` (their statistics),
//! `alternatives`, `planner` (a plan from all of these); `difference` and `html` show plans.

mod alternatives;
mod cluster;
mod difference;
pub mod draw;
pub mod html;
mod machine;
pub mod order;
pub mod plan;
mod planner;
pub mod samples;
pub mod scenario;
pub mod simulation;
mod summary;

pub use difference::difference;
pub use foxspur::coordination::scheduler::snapshot::Snapshot;
pub use order::{Options, Order, PlanError};
pub use plan::Plan;
pub use planner::plan;
