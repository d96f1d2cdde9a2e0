//! Plans of drains. A plan plays the share's present state forward, many times,
//! with the controllers' own scheduler deciding and stand-in machines that run tasks
//! for as long as estimates of their class have turned out to be off, once with
//! the drain and once without, under the same draws. What differs is the drain's.
//!
//! Pure: a snapshot and a seed give the same plan on every machine.

pub mod draw;
pub mod html;
pub mod machine;
pub mod plan;
mod planner;
pub mod sim;
mod ways;

pub use foxspur::coordination::scheduler::snapshot::Snapshot;
pub use plan::{difference, plan, Options, Order, Plan, PlanError};
