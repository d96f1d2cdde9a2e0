//! Predicts the effects of draining machines by simulation.
//!
//! A plan simulates the shard forward from a snapshot many times (Monte Carlo). The
//! controllers' own scheduler makes the decisions. Simulated machines run the tasks; run times
//! are drawn from the estimate errors observed for each class. Each sample is simulated once
//! with the drain and once without, with the same random numbers, so that the difference is
//! the drain's effect.
//!
//! Planning is deterministic: the same snapshot, order and options, which include the seed,
//! give the same plan on every machine.
//!
//! Modules, each importing only earlier ones: `order` and `plan` (data), `scenario` (input and
//! result of a simulation), `draw` (run times), `cluster` and `machine` (simulated machines),
//! `simulation`, `samples` (pairs of simulations), `summary` (statistics of the samples),
//! `alternatives` (other start times, failures of other machines), `planner` (assembles the
//! plan). `difference` compares two plans and `html` renders a plan.

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
