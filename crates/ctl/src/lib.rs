//! `foxctl`: the command line for operators of foxspur. It calls the operators' API of any
//! controller, and tries the next controller if one does not answer.
//!
//! `cli` defines the command line, `run` executes it, `api` is the HTTP client, `plans` plans
//! and orders drains, `show` formats tables, `watch` is the terminal view.

pub mod api;
pub mod cli;
pub mod plans;
pub mod run;
pub mod show;
pub mod watch;
