//! `foxctl`: the operators' command line of foxspur. It asks any controller's
//! operators' API, and tries the next one where one does not answer.

pub mod api;
pub mod cli;
pub mod plans;
pub mod run;
pub mod show;
pub mod watch;
