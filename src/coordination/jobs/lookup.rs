//! Linearizable look-ups of jobs, on which the answers to users rest.
//!
//! Invariant: once any controller has told a user that a job is accepted, done or
//! cancelled, no answer to a request that began later is older. So every answer is
//! either a terminal state, which never changes, or rests on a read that was sent after
//! the request came; what this controller learnt while the read was under way wins over
//! it, and a read whose answer came late is repeated instead of being passed on.

use crate::coordination::jobs::version_check;
use crate::coordination::node::Node;
use crate::coordination::recent::RecentMap;
use crate::storage::records::{self, LiveJob, TerminalRecord};
use crate::transport::clients::{Failure, Lane};
use actix_rt::time::Instant;
use std::rc::Rc;
use std::time::Duration;

/// How old the read behind an answer may be when the answer leaves: a quarter of the 2 s
/// that users wait for the answer to a poll. Requests of one user overlap, and an answer
/// that was held up would contradict what the user has been told elsewhere meanwhile.
pub const READ_AGE: Duration = Duration::from_millis(500);

/// Reads for one answer at most.
const READS: usize = 2;

/// Terminal states, which never change, of the jobs that ended last.
pub struct TerminalStates(RecentMap<String, TerminalRecord>);

impl Default for TerminalStates {
    fn default() -> TerminalStates {
        TerminalStates(RecentMap::new(TerminalStates::CAPACITY))
    }
}

impl TerminalStates {
    /// Jobs remembered, some 150 bytes each; the states of others are read again.
    pub const CAPACITY: usize = 16_384;

    /// The job's terminal state, if it is remembered.
    pub fn get(&self, id: &str) -> Option<TerminalRecord> {
        self.0.get(id).copied()
    }

    /// Remembers a terminal state; true if it was not known.
    pub fn put(&mut self, id: &str, state: TerminalRecord) -> bool {
        self.0.insert(id.to_string(), state).is_none()
    }
}

/// A job as the state service has it.
#[derive(Debug)]
pub enum Found {
    /// The live record and its version.
    Live(Rc<LiveJob>, u64),
    /// The job is over.
    TerminalRecord(TerminalRecord),
    /// It is live, and its record says nothing to this version of the program: it
    /// waits for one that can read it, and its user must be answered.
    Unreadable(u64),
    /// No such job was accepted.
    Nothing,
}

/// Looks the job up. The caller answers at once: whatever else it needs it has to wait
/// for before.
pub async fn find(node: &Rc<Node>, id: &str) -> Result<Found, Failure> {
    for _ in 0..READS {
        if let Some(state) = node.terminal_states.borrow().get(id) {
            return Ok(Found::TerminalRecord(state));
        }
        let (found, sent_at) = read(node, id).await?;
        if let Some(state) = node.terminal_states.borrow().get(id) {
            return Ok(Found::TerminalRecord(state));
        }
        if matches!(found, Found::TerminalRecord(_)) {
            return Ok(found);
        }
        if sent_at.elapsed() <= READ_AGE {
            return Ok(unless_accepted_meanwhile(node, id, found));
        }
    }
    Err(Failure::Refused)
}

/// A job that this controller accepted while the read was under way is not unknown.
fn unless_accepted_meanwhile(node: &Node, id: &str, found: Found) -> Found {
    match (found, node.record_cache.borrow().get(id)) {
        (Found::Nothing, Some(read)) => Found::Live(read.record, read.version),
        (found, _) => found,
    }
}

/// Reads the job, and says when the read that the result rests on was sent. A job moves
/// from live to final and never back, so reading in this order cannot miss it.
async fn read(node: &Rc<Node>, id: &str) -> Result<(Found, Instant), Failure> {
    if let Some((read, sent_at)) = version_check::unchanged(node, id).await? {
        return Ok((Found::Live(read.record, read.version), sent_at));
    }
    let live = node
        .state
        .timed_get(&records::live_key(id), Lane::Data)
        .await;
    let sent_at = live.sent_at;
    if let Some(entry) = live.result? {
        let Ok(record) = entry.read() else {
            tracing::error!(key = %entry.key, "unreadable job record");
            return Ok((Found::Unreadable(entry.version), sent_at));
        };
        let record = Rc::new(record);
        node.record_cache
            .borrow_mut()
            .insert(&record, entry.version);
        return Ok((Found::Live(record, entry.version), sent_at));
    }
    match node
        .state
        .get(&records::terminal_key(id), Lane::Data)
        .await?
    {
        Some(entry) => {
            let state: TerminalRecord = entry.read().map_err(|_| Failure::Unknown)?;
            node.learn_terminal_state(id, state);
            Ok((Found::TerminalRecord(state), sent_at))
        }
        None => Ok((Found::Nothing, sent_at)),
    }
}
