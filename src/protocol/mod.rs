//! What travels between foxspur and other programs: the only place that knows wire
//! names. Inside the program the field's own terms are used.
//!
//! What others exchange with controllers is in `foxspur-wire`, for clients and
//! stand-ins use the same definitions; what controllers alone read is here:
//!
//! - [`mesh`]: messages between controllers.
//! - [`settings`]: the platform's settings file.
//! - [`policy`]: the operators' own settings.

pub use foxspur_wire::{admin, cloud, job, roll, state, worker};

pub mod mesh;
pub mod policy;
pub mod settings;
