//! The completed tasks of a job: a set of task numbers, stored as ranges such as `0-3,7`.

use std::collections::BTreeSet;

/// A set of task numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompletedTasks(BTreeSet<u32>);

impl CompletedTasks {
    /// Adds a task. Returns true if the task was not in the set before.
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

    /// The task numbers in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().copied()
    }

    /// Adds all tasks of `other`.
    pub fn merge(&mut self, other: &CompletedTasks) {
        self.0.extend(&other.0);
    }

    /// The tasks of the set that belong to chunk number `chunk`, counted from 0. Each chunk covers
    /// `size` consecutive task numbers.
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

    /// The ranges of consecutive tasks, each as a pair of its first and its last task.
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

    /// Parses the text of a set, and leaves out task numbers from `task_count` on. Ranges that
    /// cannot be parsed are skipped: if a record is damaged, some completed tasks run again, and
    /// no task is lost.
    pub fn from_text(text: &str, task_count: u32) -> CompletedTasks {
        let max_task = task_count.saturating_sub(1);
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
