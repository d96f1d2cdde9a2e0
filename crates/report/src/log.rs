//! Reads the controllers' log: lines of a time in seconds, a host, a level, a message and
//! fields, as `LOG_LEVEL=info` prints them behind a time and a name. Only lines of level INFO
//! with the messages of [`Event`] count.

use std::collections::BTreeMap;

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Its id.
    pub job: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// CPUs of one task.
    pub cpus: f64,
    /// Its user's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// Deadline in seconds from submission; 0 for none.
    pub due_s: f64,
}

/// What a line tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A job is accepted.
    Accepted(Accepted),
    /// A job is done.
    Done {
        /// Its id.
        job: String,
        /// How often its tasks were started by this leader.
        starts: u32,
        /// The longest time for which tasks of it waited and none of them started, in seconds.
        passed_s: f64,
    },
    /// A job is cancelled.
    Cancelled(String),
    /// A task of the job ran for the first time.
    Begun(String),
    /// A task (`job/index`) was preempted.
    Stopped(String),
    /// Tasks that were lost with their machine.
    Lost(Vec<String>),
    /// CPUs of the machines in use.
    Load(f64),
}

/// A line with a known message whose fields cannot be read.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("line {line}: {message}: field {field} is missing or no number")]
pub struct Unreadable {
    /// Number of the line, from 1.
    pub line: usize,
    /// Its message.
    pub message: &'static str,
    /// The first field that cannot be read.
    pub field: &'static str,
}

/// A line of the log, of level INFO.
struct Line<'a> {
    /// From 1.
    number: usize,
    at_s: f64,
    message: String,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line, if it is one of the log and of level INFO.
    fn parse(number: usize, text: &'a str) -> Option<Line<'a>> {
        let (time, rest) = text.trim_start().split_once(' ')?;
        let at_s = time.parse().ok()?;
        let (_, rest) = rest.split_once(" INFO ")?;
        let (message, fields) = message_and_fields(rest);
        Some(Line {
            number,
            at_s,
            message,
            fields,
        })
    }

    /// What it tells, if its message is known.
    fn event(&self) -> Result<Option<Event>, Unreadable> {
        let event = match self.message.as_str() {
            "accepted" => Event::Accepted(self.accepted()?),
            "done" => Event::Done {
                job: self.text("done", "job")?,
                starts: self.number("done", "starts")? as u32,
                passed_s: self.number("done", "passed_s")?,
            },
            "begun" => Event::Begun(self.text("begun", "job")?),
            "cancelled" => Event::Cancelled(self.text("cancelled", "job")?),
            "stopped to make room" => Event::Stopped(self.text("stopped to make room", "task")?),
            "lost with its machine" => {
                let tasks = self.text("lost with its machine", "tasks")?;
                Event::Lost(tasks.split(' ').map(str::to_string).collect())
            }
            "load" => Event::Load(self.number("load", "cpus")?),
            _ => return Ok(None),
        };
        Ok(Some(event))
    }

    fn accepted(&self) -> Result<Accepted, Unreadable> {
        let message = "accepted";
        Ok(Accepted {
            job: self.text(message, "job")?,
            class: self.text(message, "class")?,
            team: self.text(message, "team")?,
            tasks: self.number(message, "tasks")? as u32,
            cpus: self.number(message, "cpus")?,
            estimate_s: self.number(message, "estimate_s")?,
            due_s: self.number(message, "due_s")?,
        })
    }

    fn unreadable(&self, message: &'static str, field: &'static str) -> Unreadable {
        Unreadable {
            line: self.number,
            message,
            field,
        }
    }

    fn text(&self, message: &'static str, field: &'static str) -> Result<String, Unreadable> {
        let value = self.fields.get(field).map(std::string::ToString::to_string);
        value.ok_or_else(|| self.unreadable(message, field))
    }

    fn number(&self, message: &'static str, field: &'static str) -> Result<f64, Unreadable> {
        let value: Option<f64> = self.text(message, field)?.parse().ok();
        let value = value.filter(|value| value.is_finite());
        value.ok_or_else(|| self.unreadable(message, field))
    }
}

/// Message and fields of what stands behind the level: words with `=` are fields, the others
/// make up the message.
fn message_and_fields(text: &str) -> (String, BTreeMap<&str, &str>) {
    let mut message = Vec::new();
    let mut fields = BTreeMap::new();
    let mut left = text.trim();
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

/// Reads a whole log: events with their times in seconds. Lines with other messages are passed
/// over.
///
/// # Errors
///
/// A line with a known message whose fields cannot be read: a count without it would be wrong.
pub fn read(text: &str) -> Result<Vec<(f64, Event)>, Unreadable> {
    let mut events = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let Some(line) = Line::parse(index + 1, line) else {
            continue;
        };
        if let Some(event) = line.event()? {
            events.push((line.at_s, event));
        }
    }
    Ok(events)
}
