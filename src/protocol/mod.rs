//! The data that foxspur exchanges with other programs. Only these modules know the names on
//! the wire; the rest of the program uses the usual terms of cluster scheduling.
//!
//! The messages between controllers and other programs are defined in `foxspur-wire`, because
//! clients, and programs that simulate the outside services, use the same definitions. The
//! data that only controllers read is defined here:
//!
//! - [`mesh`]: messages between controllers.
//! - [`settings`]: the settings file that the platform provides.
//! - [`policy`]: the policy file that operators write.

pub use foxspur_wire::{admin, cloud, job, roll, state, worker};

pub mod mesh;
pub mod policy;
pub mod settings;
