//! The live view in the terminal: refreshes it at intervals and handles keys.

mod draw;
mod screen;

pub use draw::draw;
pub use screen::Screen;

use crate::api::{Api, Error};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};
use std::time::{Duration, Instant};

/// The shortest time between two refreshes, in seconds.
const MIN_INTERVAL_S: f64 = 0.2;
/// The number of jobs that a page key scrolls by.
const PAGE_JOBS: usize = 10;

/// Shows the live view until the operator quits, and refreshes it every `every_s` seconds.
///
/// # Errors
///
/// If the interval is too short, or the terminal fails.
pub fn watch(api: &Api, every_s: f64) -> Result<(), Error> {
    if !every_s.is_finite() || every_s < MIN_INTERVAL_S {
        return Err(Error::Local("every: must be at least 0.2 s".into()));
    }
    let mut screen = Screen::default();
    screen.refresh(api);
    let mut terminal = ratatui::try_init().map_err(Error::local)?;
    let result = run_event_loop(api, every_s, &mut screen, &mut terminal);
    ratatui::restore();
    result.map_err(Error::local)
}

fn run_event_loop(
    api: &Api,
    every_s: f64,
    screen: &mut Screen,
    terminal: &mut ratatui::DefaultTerminal,
) -> std::io::Result<()> {
    let interval = Duration::from_secs_f64(every_s);
    let mut next_refresh = Instant::now() + interval;
    loop {
        terminal.draw(|frame| draw(frame, screen))?;
        let wait = next_refresh.saturating_duration_since(Instant::now());
        if event::poll(wait)? {
            let keep_running = match event::read()? {
                Event::Key(key) => handle_key(screen, key),
                _ => true,
            };
            if !keep_running {
                return Ok(());
            }
        } else {
            screen.refresh(api);
            next_refresh = Instant::now() + interval;
        }
    }
}

/// Handles a key event. Returns whether to keep running.
fn handle_key(screen: &mut Screen, key: KeyEvent) -> bool {
    let control = key.modifiers.contains(KeyModifiers::CONTROL);
    if control && key.code == KeyCode::Char('c') {
        return false;
    }
    let released = key.kind == KeyEventKind::Release;
    released || screen.handle_key(key.code, PAGE_JOBS)
}
