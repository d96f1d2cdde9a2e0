//! A bounded cache of the terminal states of jobs. A terminal state never changes, so an
//! entry is never stale and answers a user without a read.

use crate::coordination::recent::RecentMap;
use crate::storage::records::TerminalRecord;

/// Terminal states of the jobs that ended last.
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
