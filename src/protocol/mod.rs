//! What travels between foxspur and the world: the only place that knows wire
//! names. Inside the program the field's own terms are used.

pub mod cloud;
pub mod job;
pub mod mesh;
pub mod policy;
pub mod settings;
pub mod state;
pub mod worker;
