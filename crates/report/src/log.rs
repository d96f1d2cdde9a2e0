//! Reads the log of the controllers. A line has a time in seconds, a host name, and then the level,
//! message and fields that a controller prints with `LOG_LEVEL=info`. Only lines of level INFO
//! whose messages belong to an [`Event`] are read.

use std::collections::BTreeMap;

/// The properties of a job at its acceptance.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Id of the job.
    pub job: String,
    /// Class of the job.
    pub class: String,
    /// Team of the job.
    pub team: String,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of one task.
    pub cpus: f64,
    /// The user's estimate of the run time of one task, in seconds.
    pub estimate_s: f64,
    /// Deadline in seconds from submission; 0 for none.
    pub due_s: f64,
}

/// The event that a line of the log records.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A job is accepted.
    Accepted(Accepted),
    /// A job is done.
    Done {
        /// Id of the job.
        job: String,
        /// How often the current leader started tasks of the job.
        starts: u32,
        /// The longest time, in seconds, during which tasks of the job waited and none started.
        passed_s: f64,
    },
    /// A job is cancelled.
    Cancelled(String),
    /// For the first time a task of the job runs.
    Begun(String),
    /// A task (`job/index`) is preempted.
    Stopped(String),
    /// Tasks are lost with their machine.
    Lost(Vec<String>),
    /// The total CPUs of the machines in use.
    Load(f64),
}

/// A line with a known message has a field that is missing or invalid.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("line {line}: {message}: field {field} is missing or not a number")]
pub struct Unreadable {
    /// Number of the line, from 1.
    pub line: usize,
    /// Message of the line.
    pub message: &'static str,
    /// The first field that is missing or invalid.
    pub field: &'static str,
}

/// A line of the log with level INFO.
struct Line<'a> {
    /// Number of the line, from 1.
    number: usize,
    at_s: f64,
    message: String,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Parses a line. Returns none for text that is not a log line of level INFO.
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

    /// The event of the line, if its message is known.
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

/// Splits the text after the level into message and fields. Words that contain `=` are fields,
/// the other words make up the message.
fn message_and_fields(text: &str) -> (String, BTreeMap<&str, &str>) {
    let mut message = Vec::new();
    let mut fields = BTreeMap::new();
    let mut remaining = text.trim();
    while !remaining.is_empty() {
        let word_end = remaining.find(' ').unwrap_or(remaining.len());
        let word = &remaining[..word_end];
        match word.split_once('=') {
            Some((key, value)) if value.starts_with('"') => {
                let value_start = key.len() + 2;
                let value_end = remaining[value_start..]
                    .find('"')
                    .map_or(remaining.len(), |offset| value_start + offset);
                fields.insert(key, &remaining[value_start..value_end]);
                remaining = remaining.get(value_end + 1..).unwrap_or("").trim_start();
                continue;
            }
            Some((key, value)) => {
                fields.insert(key, value);
            }
            None => message.push(word),
        }
        remaining = remaining[word_end..].trim_start();
    }
    (message.join(" "), fields)
}

/// Reads a whole log. Returns its events with their times in seconds. Lines without a known
/// message are ignored.
///
/// # Errors
///
/// If a line with a known message has a field that is missing or invalid, since counts without
/// that line would be wrong.
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
