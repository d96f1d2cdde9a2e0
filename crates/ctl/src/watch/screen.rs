//! The data of the terminal view, and how keys change what is shown.

use crate::api::Api;
use foxspur_wire::admin::{Answer, DrainRow, Jobs, MachineState, ShardRow, TeamRow};
use ratatui::crossterm::event::KeyCode;
use serde::de::DeserializeOwned;

/// The data on the screen. The parts may be of different ages.
#[derive(Default, Debug)]
pub struct Screen {
    /// Live jobs, stuck jobs first.
    pub jobs: Option<Answer<Jobs>>,
    /// What teams use, and their guarantees and limits.
    pub teams: Option<Answer<Vec<TeamRow>>>,
    /// Number of machines by state.
    pub fleet: Option<Answer<Vec<(MachineState, usize)>>>,
    /// Drains and their progress.
    pub drains: Option<Answer<Vec<DrainRow>>>,
    /// Shards as the answering controller sees them.
    pub shares: Option<Answer<Vec<ShardRow>>>,
    /// The error of the last refresh, if it failed.
    pub error: Option<String>,
    /// Index of the first job that is shown.
    pub first_job: usize,
}

/// Fetches a view. If that fails, the part keeps its old data and the error is stored.
fn refresh_part<T: DeserializeOwned>(
    api: &Api,
    view: &str,
    part: &mut Option<Answer<T>>,
    error: &mut Option<String>,
) {
    match api.view::<T>(&format!("/admin/v1/{view}")) {
        Ok((_, answer)) => *part = Some(answer),
        Err(failure) => *error = Some(failure.to_string()),
    }
}

impl Screen {
    /// Fetches all parts again. Parts that cannot be fetched keep their old data.
    pub fn refresh(&mut self, api: &Api) {
        self.error = None;
        let error = &mut self.error;
        refresh_part(api, "jobs?limit=200", &mut self.jobs, error);
        refresh_part(api, "teams", &mut self.teams, error);
        refresh_part(api, "fleet", &mut self.fleet, error);
        refresh_part(api, "drains", &mut self.drains, error);
        refresh_part(api, "shares", &mut self.shares, error);
    }

    /// Handles a key; `page_jobs` is the number of jobs that a page key scrolls by. Returns
    /// whether to keep running.
    pub fn handle_key(&mut self, code: KeyCode, page_jobs: usize) -> bool {
        let count = self.jobs.as_ref().map_or(0, |jobs| jobs.data.rows.len());
        let last = count.saturating_sub(1);
        match code {
            KeyCode::Char('q') | KeyCode::Esc => return false,
            KeyCode::Down | KeyCode::Char('j') => self.first_job = (self.first_job + 1).min(last),
            KeyCode::Up | KeyCode::Char('k') => self.first_job = self.first_job.saturating_sub(1),
            KeyCode::PageDown => self.first_job = (self.first_job + page_jobs).min(last),
            KeyCode::PageUp => self.first_job = self.first_job.saturating_sub(page_jobs),
            KeyCode::Home => self.first_job = 0,
            _ => {}
        }
        true
    }
}
