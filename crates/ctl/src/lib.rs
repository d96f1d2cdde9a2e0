//! `foxctl`: the operators' command line of foxspur. It asks any controller's operators' API,
//! and tries the next controller if one does not answer.
//!
//! `cli` is the command line, `run` carries it out, `api` is the client, `plans` plans and
//! orders drains, `show` makes tables, `watch` is the terminal view.

pub mod api;
pub mod cli;
pub mod plans;
pub mod run;
pub mod show;
pub mod watch;
