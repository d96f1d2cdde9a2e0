//! Linearizable look-ups of jobs, on which the answers to users rest.
//!
//! Invariant: once any controller has told a user that a job is accepted, done or
//! cancelled, no answer to a request that began later is older. So every answer is
//! either a terminal state, which never changes, or rests on a read that was sent after
//! the request came; what this controller learnt while the read was under way wins over
//! it, and a read whose answer came late is repeated instead of being passed on.

pub use super::terminal_states::TerminalStates;

use super::record_cache::VersionedRecord;
use super::version_check::{self, CurrentRecord};
use crate::coordination::node::Node;
use crate::protocol::state::Entry;
use crate::storage::records::{self, TerminalRecord};
use crate::transport::clients::{Priority, ServiceError};
use actix_rt::time::Instant;
use std::rc::Rc;
use std::time::Duration;

/// How old the read behind an answer may be when the answer leaves: a quarter of the 2 s
/// that users wait for the answer to a poll. Requests of one user overlap, and an answer
/// that was held up would contradict what the user has been told elsewhere meanwhile.
pub const MAX_READ_AGE: Duration = Duration::from_millis(500);

/// Reads for one answer at most.
const MAX_READS: usize = 2;

/// A job as the state service has it.
#[derive(Debug)]
pub enum JobLookup {
    /// It is live: its record.
    Live(VersionedRecord),
    /// It is over: done or cancelled.
    Terminal(TerminalRecord),
    /// It is live, and its record says nothing to this version of the program: it
    /// waits for one that can read it, and its user must be answered. The version of the
    /// record.
    Unreadable(u64),
    /// No such job was accepted.
    NotFound,
}

/// A result of a read, and when that read was sent.
struct TimedLookup {
    found: JobLookup,
    sent_at: Instant,
}

/// Looks the job up. The caller answers at once: whatever else it needs it has to wait
/// for before.
///
/// # Errors
/// The state service could not be read, or its answers came too late to be passed on.
pub async fn find(node: &Rc<Node>, id: &str) -> Result<JobLookup, ServiceError> {
    for _ in 0..MAX_READS {
        if let Some(state) = node.terminal_states.borrow().get(id) {
            return Ok(JobLookup::Terminal(state));
        }
        let TimedLookup { found, sent_at } = read(node, id).await?;
        if let Some(state) = node.terminal_states.borrow().get(id) {
            return Ok(JobLookup::Terminal(state));
        }
        if matches!(found, JobLookup::Terminal(_)) {
            return Ok(found);
        }
        if sent_at.elapsed() <= MAX_READ_AGE {
            return Ok(unless_accepted_meanwhile(node, id, found));
        }
    }
    Err(ServiceError::Refused)
}

/// A job that this controller accepted while the read was under way is not unknown.
fn unless_accepted_meanwhile(node: &Node, id: &str, found: JobLookup) -> JobLookup {
    match (found, node.record_cache.borrow().get(id)) {
        (JobLookup::NotFound, Some(read)) => JobLookup::Live(read),
        (found, _) => found,
    }
}

/// Reads the job, and says when the read that the result rests on was sent. A job moves
/// from live to terminal and never back, so reading in this order cannot miss it.
async fn read(node: &Rc<Node>, id: &str) -> Result<TimedLookup, ServiceError> {
    if let Some(current) = version_check::current_record(node, id).await? {
        let CurrentRecord { read, sent_at } = current;
        return Ok(TimedLookup {
            found: JobLookup::Live(read),
            sent_at,
        });
    }
    let live_key = records::live_key(id);
    let live = node.state.timed_get(&live_key, Priority::Data).await;
    let sent_at = live.sent_at;
    let found = match live.result? {
        Some(entry) => read_live(node, &entry),
        None => read_terminal(node, id).await?,
    };
    Ok(TimedLookup { found, sent_at })
}

/// Reads a live record, and remembers it.
fn read_live(node: &Node, entry: &Entry) -> JobLookup {
    let Ok(record) = entry.read() else {
        tracing::error!(key = %entry.key, "unreadable job record");
        return JobLookup::Unreadable(entry.version);
    };
    let read = VersionedRecord {
        record: Rc::new(record),
        version: entry.version,
    };
    let mut cache = node.record_cache.borrow_mut();
    cache.insert(&read.record, read.version);
    JobLookup::Live(read)
}

/// Reads the terminal record of a job that is not live, and remembers it.
async fn read_terminal(node: &Node, id: &str) -> Result<JobLookup, ServiceError> {
    let key = records::terminal_key(id);
    let Some(entry) = node.state.get(&key, Priority::Data).await? else {
        return Ok(JobLookup::NotFound);
    };
    let state: TerminalRecord = entry.read().map_err(|_| ServiceError::Unknown)?;
    node.learn_terminal_state(id, state);
    Ok(JobLookup::Terminal(state))
}
