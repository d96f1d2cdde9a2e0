//! The books: done marks, records kept in the state service and their keys.

pub mod chunks;
pub mod marks;
pub mod records;
