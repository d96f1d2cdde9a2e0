//! What a day served of each class of jobs and each team, from the controllers' own
//! log and the report of whatever played the day, and the best that any scheduler
//! could have done with the same arrivals and machines. Nothing here decides
//! anything for a running service.

pub mod bound;
pub mod count;
pub mod flow;
pub mod largest;
pub mod log;
pub mod report;
pub mod show;
