//! foxspur: a cluster scheduler. Each task samples two fitting machines, starts
//! at once on one with free room, else joins the one with fewer bound waiting
//! tasks; a queue starts the smallest prediction first (see `docs/design.md`).
//!
//! Layers, lower ones never importing higher ones: [`transport`] moves bytes,
//! [`protocol`] knows what they mean, [`storage`] keeps the books, and
//! [`coordination`] decides. [`handlers`] answer calls, and [`app`] ties all together into a
//! process.

pub mod admin;
pub mod app;
pub mod coordination;
pub mod handlers;
pub mod protocol;
pub mod storage;
pub mod transport;
