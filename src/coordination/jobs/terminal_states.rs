//! A bounded cache of the terminal states of jobs. A terminal state never changes, so an entry
//! is never stale, and users can be answered from the cache without a read.

use crate::coordination::recent::RecentMap;
use crate::storage::records::TerminalRecord;

/// The terminal states that were added most recently.
pub struct TerminalStates(RecentMap<String, TerminalRecord>);

impl Default for TerminalStates {
    fn default() -> TerminalStates {
        TerminalStates(RecentMap::new(TerminalStates::CAPACITY))
    }
}

impl TerminalStates {
    /// Maximum number of cached states, of about 150 bytes each. A state that was evicted is
    /// read from the state service again.
    pub const CAPACITY: usize = 16_384;

    /// The job's terminal state; `None` if it is not cached.
    pub fn get(&self, id: &str) -> Option<TerminalRecord> {
        self.0.get(id).copied()
    }

    /// Caches the job's terminal state. Returns true if no state of the job was cached before.
    pub fn put(&mut self, id: &str, state: TerminalRecord) -> bool {
        self.0.insert(id.to_string(), state).is_none()
    }
}
