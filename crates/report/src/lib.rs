//! Offline analysis of the run of a day. It reads the controllers' log and the report of the load
//! generator, and counts how many jobs of each class and team were served. Beside each count it
//! gives an upper bound: the best that any scheduler could have done with the same arrivals and
//! machines. No running service uses this crate.
//!
//! `log` and `objectives` read the input. `count` counts by class and team, `largest` counts the
//! largest jobs, and `bound` computes the upper bound with the flow networks of `flow`. `table`
//! combines the results, and `markdown` formats the table.

pub mod bound;
pub mod count;
pub mod flow;
pub mod largest;
pub mod log;
pub mod markdown;
pub mod objectives;
pub mod table;
