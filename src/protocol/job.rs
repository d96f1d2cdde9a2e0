//! Jobs as users submit them, and what users are told about them: the types that
//! clients share.

pub use foxspur_wire::job::*;
