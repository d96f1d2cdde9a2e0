//! The terminal view: refreshes it at intervals and handles keys.

mod draw;
mod screen;

pub use draw::draw;
pub use screen::Screen;

use crate::api::{Api, Error};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEvent, KeyEventKind, KeyModifiers};
use std::time::{Duration, Instant};

/// The shortest time between two refreshes, in seconds.
const MIN_INTERVAL_S: f64 = 0.2;
/// Jobs of a page.
const PAGE: usize = 10;

/// Follows the cluster until `q`, with a refresh every so many seconds.
///
/// # Errors
///
/// If the interval is too short, or the terminal fails.
pub fn watch(api: &Api, every_s: f64) -> Result<(), Error> {
    if !every_s.is_finite() || every_s < MIN_INTERVAL_S {
        return Err(Error::Local("every: is below 0.2 s".into()));
    }
    let mut screen = Screen::default();
    screen.refresh(api);
    let mut terminal = ratatui::try_init().map_err(Error::local)?;
    let result = follow(api, every_s, &mut screen, &mut terminal);
    ratatui::restore();
    result.map_err(Error::local)
}

fn follow(
    api: &Api,
    every_s: f64,
    screen: &mut Screen,
    terminal: &mut ratatui::DefaultTerminal,
) -> std::io::Result<()> {
    let every = Duration::from_secs_f64(every_s);
    let mut next = Instant::now() + every;
    loop {
        terminal.draw(|frame| draw(frame, screen))?;
        let left = next.saturating_duration_since(Instant::now());
        if event::poll(left)? {
            let goes_on = match event::read()? {
                Event::Key(key) => handle_key(screen, key),
                _ => true,
            };
            if !goes_on {
                return Ok(());
            }
        } else {
            screen.refresh(api);
            next = Instant::now() + every;
        }
    }
}

/// Handles a key; whether to go on.
fn handle_key(screen: &mut Screen, key: KeyEvent) -> bool {
    let control = key.modifiers.contains(KeyModifiers::CONTROL);
    if control && key.code == KeyCode::Char('c') {
        return false;
    }
    let released = key.kind == KeyEventKind::Release;
    released || screen.handle_key(key.code, PAGE)
}
