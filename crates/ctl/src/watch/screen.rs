//! What the terminal view shows, and how keys change it.

use crate::api::Api;
use foxspur_wire::admin::{Answer, DrainRow, Jobs, MachineState, ShareRow, TeamRow};
use ratatui::crossterm::event::KeyCode;
use serde::de::DeserializeOwned;

/// What is on the screen; each part may be of another age.
#[derive(Default, Debug)]
pub struct Screen {
    /// Live jobs, worst first.
    pub jobs: Option<Answer<Jobs>>,
    /// Teams against their quotas.
    pub teams: Option<Answer<Vec<TeamRow>>>,
    /// Machines by state.
    pub fleet: Option<Answer<Vec<(MachineState, usize)>>>,
    /// Drains and how far they are.
    pub drains: Option<Answer<Vec<DrainRow>>>,
    /// Shards as the answering controller sees them.
    pub shares: Option<Answer<Vec<ShareRow>>>,
    /// Why the last refresh failed, if it did.
    pub error: Option<String>,
    /// Index of the first job shown.
    pub top: usize,
}

/// Gets a view; what cannot be had stays as it was.
fn refresh_part<T: DeserializeOwned>(
    api: &Api,
    view: &str,
    part: &mut Option<Answer<T>>,
    error: &mut Option<String>,
) {
    match api.view::<T>(&format!("/admin/v1/{view}")) {
        Ok((_, answer)) => *part = Some(answer),
        Err(why) => *error = Some(why.to_string()),
    }
}

impl Screen {
    /// Gets all parts anew; what cannot be had stays as it was.
    pub fn refresh(&mut self, api: &Api) {
        self.error = None;
        let error = &mut self.error;
        refresh_part(api, "jobs?limit=200", &mut self.jobs, error);
        refresh_part(api, "teams", &mut self.teams, error);
        refresh_part(api, "fleet", &mut self.fleet, error);
        refresh_part(api, "drains", &mut self.drains, error);
        refresh_part(api, "shares", &mut self.shares, error);
    }

    /// Handles a key, where a page has so many jobs; whether to go on.
    pub fn handle_key(&mut self, code: KeyCode, page: usize) -> bool {
        let jobs = self.jobs.as_ref().map_or(0, |jobs| jobs.data.rows.len());
        let last = jobs.saturating_sub(1);
        match code {
            KeyCode::Char('q') | KeyCode::Esc => return false,
            KeyCode::Down | KeyCode::Char('j') => self.top = (self.top + 1).min(last),
            KeyCode::Up | KeyCode::Char('k') => self.top = self.top.saturating_sub(1),
            KeyCode::PageDown => self.top = (self.top + page).min(last),
            KeyCode::PageUp => self.top = self.top.saturating_sub(page),
            KeyCode::Home => self.top = 0,
            _ => {}
        }
        true
    }
}
