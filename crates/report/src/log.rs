//! The controllers' log: lines of a time in seconds, a host, a level, a message
//! and fields, as `LOG_LEVEL=info` prints them behind a time and a name.

use std::collections::BTreeMap;

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    pub job: String,
    pub class: String,
    pub team: String,
    pub tasks: u32,
    /// CPUs of one task.
    pub cpus: f64,
    /// The owner's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// From submission, in seconds; 0 for none.
    pub due_s: f64,
}

/// What a line tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Accepted(Accepted),
    /// The job is done: how often its tasks were started by this owner, and the
    /// longest time for which something of it waited and nothing of it started.
    Done {
        job: String,
        starts: u32,
        passed_s: f64,
    },
    Cancelled(String),
    /// A task of the job ran for the first time.
    Begun(String),
    /// A task (`job/number`) was stopped to make room.
    Stopped(String),
    /// Tasks that went with their machine.
    Lost(Vec<String>),
    /// CPUs of the machines in use.
    Load(f64),
}

/// A line that is one of ours but does not read.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("line {line}: {message}: field {field} is missing or no number")]
pub struct Unreadable {
    pub line: usize,
    pub message: &'static str,
    pub field: &'static str,
}

/// Message and fields of what stands behind the level.
fn parts(rest: &str) -> (String, BTreeMap<&str, &str>) {
    let mut message = Vec::new();
    let mut fields = BTreeMap::new();
    let mut left = rest.trim();
    while !left.is_empty() {
        let end = left.find(' ').unwrap_or(left.len());
        let word = &left[..end];
        match word.split_once('=') {
            Some((key, value)) if value.starts_with('"') => {
                let from = key.len() + 2;
                let close = left[from..].find('"').map_or(left.len(), |at| from + at);
                fields.insert(key, &left[from..close]);
                left = left.get(close + 1..).unwrap_or("").trim_start();
                continue;
            }
            Some((key, value)) => {
                fields.insert(key, value);
            }
            None => message.push(word),
        }
        left = left[end..].trim_start();
    }
    (message.join(" "), fields)
}

/// Reads a whole log; lines that tell nothing of ours are passed over.
///
/// # Errors
/// A line with one of our messages whose fields do not read: a count that passed
/// it over would be wrong.
pub fn read(text: &str) -> Result<Vec<(f64, Event)>, Unreadable> {
    let mut events = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let mut words = line.trim_start().splitn(2, ' ');
        let Some(time) = words.next().and_then(|w| w.parse::<f64>().ok()) else {
            continue;
        };
        let Some((_, rest)) = words.next().and_then(|r| r.split_once(" INFO ")) else {
            continue;
        };
        let (message, fields) = parts(rest);
        let text_of = |message, field| {
            let found = fields.get(field).map(|v| v.to_string());
            found.ok_or(Unreadable {
                line: at + 1,
                message,
                field,
            })
        };
        let number = |message, field| {
            let value = text_of(message, field)?.parse::<f64>().ok();
            value.filter(|v| v.is_finite()).ok_or(Unreadable {
                line: at + 1,
                message,
                field,
            })
        };
        let event = match message.as_str() {
            "accepted" => Event::Accepted(Accepted {
                job: text_of("accepted", "job")?,
                class: text_of("accepted", "class")?,
                team: text_of("accepted", "team")?,
                tasks: number("accepted", "tasks")? as u32,
                cpus: number("accepted", "cpus")?,
                estimate_s: number("accepted", "estimate_s")?,
                due_s: number("accepted", "due_s")?,
            }),
            "done" => Event::Done {
                job: text_of("done", "job")?,
                starts: number("done", "starts")? as u32,
                passed_s: number("done", "passed_s")?,
            },
            "begun" => Event::Begun(text_of("begun", "job")?),
            "cancelled" => Event::Cancelled(text_of("cancelled", "job")?),
            "stopped to make room" => Event::Stopped(text_of("stopped to make room", "task")?),
            "lost with its machine" => {
                let tasks = text_of("lost with its machine", "tasks")?;
                Event::Lost(tasks.split(' ').map(str::to_string).collect())
            }
            "load" => Event::Load(number("load", "cpus")?),
            _ => continue,
        };
        events.push((time, event));
    }
    Ok(events)
}
