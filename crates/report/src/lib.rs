//! What a day's run served of each class of jobs and each team, from the controllers' own log
//! and the report of whatever generated the load, beside the best that any scheduler could have
//! done with the same arrivals and machines. Offline analysis only: nothing here decides
//! anything for a running service.
//!
//! `log` and `objectives` read the input, `count` counts by class and team, `largest` looks at
//! the largest jobs, `bound` computes the upper bound over `flow` networks, `table` puts them
//! together and `markdown` prints the table.

pub mod bound;
pub mod count;
pub mod flow;
pub mod largest;
pub mod log;
pub mod markdown;
pub mod objectives;
pub mod table;
