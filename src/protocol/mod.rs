//! The data that foxspur exchanges with other programs. Names on the wire appear only in these
//! modules; the rest of the program uses the usual terms of cluster scheduling.
//!
//! The messages between controllers and other programs are defined in `foxspur-wire`, because
//! clients, and programs that simulate the external services, use the same definitions. Data
//! that only controllers read are defined here:
//!
//! - [`mesh`]: messages between controllers.
//! - [`settings`]: the settings file that the platform provides.
//! - [`policy`]: the policy file that operators write.

pub use foxspur_wire::{admin, cloud, job, rollout, state, worker};

pub mod mesh;
pub mod policy;
pub mod settings;
