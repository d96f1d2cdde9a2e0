//! The completed tasks of a job: a set of task numbers, stored as ranges such as `0-3,7`.

use std::collections::BTreeSet;

/// A set of task numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompletedTasks(BTreeSet<u32>);

impl CompletedTasks {
    /// Adds a task. Returns true if it was not in the set.
    pub fn insert(&mut self, task: u32) -> bool {
        self.0.insert(task)
    }

    /// Whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.0.contains(&task)
    }

    /// How many tasks are in the set.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no task is in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All tasks of the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().copied()
    }

    /// Adds all of `other`.
    pub fn merge(&mut self, other: &CompletedTasks) {
        self.0.extend(&other.0);
    }

    /// The tasks in chunk number `chunk`, where each chunk covers `size` task numbers.
    pub fn chunk(&self, chunk: u32, size: u32) -> CompletedTasks {
        let first = chunk.saturating_mul(size);
        let end = first.saturating_add(size);
        CompletedTasks(self.0.range(first..end).copied().collect())
    }

    /// The set as text: ranges of consecutive tasks, separated by commas.
    pub fn to_text(&self) -> String {
        let ranges: Vec<String> = self
            .ranges()
            .iter()
            .map(|&(first, last)| {
                if first == last {
                    first.to_string()
                } else {
                    format!("{first}-{last}")
                }
            })
            .collect();
        ranges.join(",")
    }

    /// The ranges of consecutive tasks, each as its first and last task.
    fn ranges(&self) -> Vec<(u32, u32)> {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for &task in &self.0 {
            match ranges.last_mut() {
                Some((_, last)) if *last + 1 == task => *last = task,
                _ => ranges.push((task, task)),
            }
        }
        ranges
    }

    /// Parses ranges of tasks and keeps the tasks below `limit`. Ranges that cannot be parsed
    /// are skipped, so that a damaged record makes tasks run again instead of losing them.
    pub fn from_text(text: &str, limit: u32) -> CompletedTasks {
        let max_task = limit.saturating_sub(1);
        let mut tasks = BTreeSet::new();
        for range in text.split(',').filter(|range| !range.is_empty()) {
            let (first, last) = range.split_once('-').unwrap_or((range, range));
            if let (Ok(first), Ok(last)) = (first.parse::<u32>(), last.parse::<u32>()) {
                tasks.extend(first..=last.min(max_task));
            }
        }
        CompletedTasks(tasks)
    }
}
