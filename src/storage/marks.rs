//! Sets of done task numbers, written as ranges: `0-3,7`.

use std::collections::BTreeSet;

/// A set of task numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompletedTasks(BTreeSet<u32>);

impl CompletedTasks {
    pub fn insert(&mut self, task: u32) -> bool {
        self.0.insert(task)
    }
    pub fn contains(&self, task: u32) -> bool {
        self.0.contains(&task)
    }
    pub fn len(&self) -> usize {
        self.0.len()
    }
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// All marked tasks, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().copied()
    }
    /// Adds all of `other`.
    pub fn merge(&mut self, other: &CompletedTasks) {
        self.0.extend(&other.0);
    }
    /// The marks within chunk `chunk` of `size` tasks.
    pub fn chunk(&self, chunk: u32, size: u32) -> CompletedTasks {
        let from = chunk.saturating_mul(size);
        CompletedTasks(
            self.0
                .range(from..from.saturating_add(size))
                .copied()
                .collect(),
        )
    }
    /// The ranges as text.
    pub fn to_text(&self) -> String {
        let mut parts: Vec<(u32, u32)> = Vec::new();
        for &n in &self.0 {
            match parts.last_mut() {
                Some((_, last)) if *last + 1 == n => *last = n,
                _ => parts.push((n, n)),
            }
        }
        let parts: Vec<String> = parts
            .iter()
            .map(|(a, b)| {
                if a == b {
                    a.to_string()
                } else {
                    format!("{a}-{b}")
                }
            })
            .collect();
        parts.join(",")
    }
    /// Reads ranges below `limit`; anything unreadable is no mark, so that a
    /// damaged record runs tasks again instead of losing them.
    pub fn from_text(text: &str, limit: u32) -> CompletedTasks {
        let mut set = BTreeSet::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (a, b) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(a), Ok(b)) = (a.parse::<u32>(), b.parse::<u32>()) {
                set.extend(a..=b.min(limit.saturating_sub(1)));
            }
        }
        CompletedTasks(set)
    }
}
