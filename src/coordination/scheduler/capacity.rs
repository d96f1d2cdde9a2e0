//! Capacity of machines: [amounts](Resources) of it, and the
//! [index](super::capacity_index) of machines by what is free.

pub use crate::coordination::scheduler::resources::Resources;
