//! The types that users, operators and controllers of foxspur exchange, and those
//! of the interfaces that controllers use, one definition each. No I/O, and no
//! default that hides a missing field: where the protocol lets a field be null
//! it may be missing too, and is an `Option` here.

pub mod admin;
pub mod cloud;
pub mod job;
pub mod roll;
pub mod state;
pub mod worker;
