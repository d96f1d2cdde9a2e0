//! The terminal view: the stuck jobs on top, then teams, machines and drains.

use crate::api::{Api, Error};
use crate::show::{name, span};
use foxspur_wire::admin::{
    Answer, DrainRow, DrainState, JobRow, Jobs, MachineState, ShareRow, Standing, TeamRow,
};
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Gauge, Paragraph, Row, Table};
use ratatui::Frame;
use std::time::{Duration, Instant};

/// What is on the screen; each part may be of another age.
#[derive(Default, Debug)]
pub struct Screen {
    pub jobs: Option<Answer<Jobs>>,
    pub teams: Option<Answer<Vec<TeamRow>>>,
    pub fleet: Option<Answer<Vec<(MachineState, usize)>>>,
    pub drains: Option<Answer<Vec<DrainRow>>>,
    pub shares: Option<Answer<Vec<ShareRow>>>,
    /// Why the last look failed, if it did.
    pub error: Option<String>,
    /// First job shown.
    pub top: usize,
}

impl Screen {
    /// Looks again; what cannot be had stays as it was.
    pub fn look(&mut self, api: &Api) {
        self.error = None;
        fn take<T: serde::de::DeserializeOwned>(
            api: &Api,
            path: &str,
            part: &mut Option<Answer<T>>,
            error: &mut Option<String>,
        ) {
            match api.view::<T>(path) {
                Ok((_, answer)) => *part = Some(answer),
                Err(why) => *error = Some(why.to_string()),
            }
        }
        let error = &mut self.error;
        take(api, "/admin/v1/jobs?limit=200", &mut self.jobs, error);
        take(api, "/admin/v1/teams", &mut self.teams, error);
        take(api, "/admin/v1/fleet", &mut self.fleet, error);
        take(api, "/admin/v1/drains", &mut self.drains, error);
        take(api, "/admin/v1/shares", &mut self.shares, error);
    }

    /// A key; whether to go on.
    pub fn key(&mut self, code: KeyCode, page: usize) -> bool {
        let jobs = self.jobs.as_ref().map_or(0, |j| j.data.rows.len());
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

fn colour(standing: Standing) -> Style {
    match standing {
        Standing::Stuck | Standing::Failing => {
            Style::new().fg(Color::Red).add_modifier(Modifier::BOLD)
        }
        Standing::Late => Style::new().fg(Color::Yellow),
        Standing::Ok => Style::new(),
    }
}

fn head(screen: &Screen) -> Line<'static> {
    let mut spans = Vec::new();
    match (&screen.jobs, &screen.shares) {
        (Some(jobs), shares) => {
            let share = shares.as_ref().and_then(|s| s.data.first());
            let owner = jobs.owner.clone().unwrap_or_else(|| "nobody".into());
            spans.push(Span::raw(format!(
                " {} live, {} stuck, {} failing, {} late   owner {owner}, term {}",
                jobs.data.live, jobs.data.stuck, jobs.data.failing, jobs.data.late, jobs.term
            )));
            if let Some(missing) = share.and_then(|s| s.missing) {
                spans.push(Span::styled(
                    format!("   {missing} machines not accounted for"),
                    Style::new().fg(Color::Yellow),
                ));
            }
            if jobs.age_s > 0.0 {
                spans.push(Span::styled(
                    format!("   {} OLD", span(jobs.age_s)),
                    Style::new().fg(Color::Red).add_modifier(Modifier::BOLD),
                ));
            }
        }
        _ => spans.push(Span::raw(" nothing is known yet")),
    }
    if let Some(error) = &screen.error {
        spans.push(Span::styled(
            format!("   {error}"),
            Style::new().fg(Color::Red),
        ));
    }
    Line::from(spans)
}

/// From this width on the class is shown too; on a narrower terminal the reason
/// needs the room.
const WIDE: u16 = 150;

fn job_row(j: &JobRow, wide: bool) -> Row<'static> {
    let mut cells = vec![
        name(&j.standing).to_uppercase(),
        j.id.clone(),
        j.team.clone(),
        span(j.age_s),
        j.slack_s.map_or("-".into(), span),
        format!("{}/{}", j.done, j.tasks),
        j.running.to_string(),
        j.why.clone(),
    ];
    if wide {
        cells.insert(2, j.class.clone());
    }
    Row::new(cells.into_iter().map(Cell::from)).style(colour(j.standing))
}

fn draw_jobs(frame: &mut Frame, area: Rect, screen: &Screen) {
    let wide = area.width >= WIDE;
    let rows = screen.jobs.iter().flat_map(|j| &j.data.rows);
    let rows = rows.skip(screen.top).map(|j| job_row(j, wide));
    let mut columns = vec![
        ("state", Constraint::Length(8)),
        ("job", Constraint::Length(24)),
        ("team", Constraint::Length(12)),
        ("age", Constraint::Length(5)),
        ("slack", Constraint::Length(5)),
        ("done", Constraint::Length(9)),
        ("runs", Constraint::Length(5)),
        ("why", Constraint::Fill(1)),
    ];
    if wide {
        columns.insert(2, ("class", Constraint::Length(18)));
    }
    let head = Row::new(columns.iter().map(|c| c.0));
    let table = Table::new(rows, columns.iter().map(|c| c.1))
        .header(head.style(Style::new().add_modifier(Modifier::DIM)))
        .block(Block::bordered().title(" jobs, the stuck ones first "));
    frame.render_widget(table, area);
}

fn draw_teams(frame: &mut Frame, area: Rect, screen: &Screen) {
    let block = Block::bordered().title(" teams: CPUs of limit ");
    let inner = block.inner(area);
    frame.render_widget(block, area);
    let teams: Vec<&TeamRow> = screen.teams.iter().flat_map(|t| &t.data).collect();
    let lines = Layout::vertical(vec![Constraint::Length(1); teams.len()]).split(inner);
    for (team, line) in teams.iter().zip(lines.iter()) {
        let full = team.cpus_max.max(team.cpus_guaranteed);
        let ratio = if full > 0.0 { team.cpus / full } else { 0.0 };
        let label = format!(
            "{} {:.0}/{} +{:.0}",
            team.name,
            team.cpus,
            if full > 0.0 {
                format!("{full:.0}")
            } else {
                "-".into()
            },
            team.waiting_cpus
        );
        let gauge = Gauge::default()
            .ratio(ratio.clamp(0.0, 1.0))
            .label(label)
            .gauge_style(Style::new().fg(Color::Blue));
        frame.render_widget(gauge, *line);
    }
}

fn draw_fleet(frame: &mut Frame, area: Rect, screen: &Screen) {
    let fleet = screen.fleet.iter().flat_map(|f| &f.data);
    let mut lines: Vec<Line> = fleet
        .map(|(state, n)| Line::from(format!("{n:>6} {}", name(state))))
        .collect();
    for d in screen.drains.iter().flat_map(|d| &d.data) {
        let text = format!(
            "{} {} {} {}",
            d.drain.host,
            name(&d.state),
            d.tasks,
            d.stays
        );
        let style = match d.state {
            DrainState::Overdue => Style::new().fg(Color::Red),
            DrainState::Draining => Style::new().fg(Color::Yellow),
            _ => Style::new(),
        };
        lines.push(Line::styled(text, style));
    }
    let block = Block::bordered().title(" machines and drains ");
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

/// Draws the whole screen.
pub fn draw(frame: &mut Frame, screen: &Screen) {
    let teams = screen.teams.as_ref().map_or(0, |t| t.data.len()) as u16;
    // A terminal of a few lines keeps at least its jobs.
    let below = (teams + 2).max(6).min(frame.area().height / 2);
    let [top, jobs, bottom] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Fill(1),
        Constraint::Length(below),
    ])
    .areas(frame.area());
    frame.render_widget(Paragraph::new(head(screen)), top);
    draw_jobs(frame, jobs, screen);
    let [left, right] =
        Layout::horizontal([Constraint::Percentage(50), Constraint::Percentage(50)]).areas(bottom);
    draw_teams(frame, left, screen);
    draw_fleet(frame, right, screen);
}

/// Follows the cluster until `q`.
pub fn watch(api: &Api, every_s: f64) -> Result<(), Error> {
    if !every_s.is_finite() || every_s < 0.2 {
        return Err(Error::Local("every: is below 0.2 s".into()));
    }
    let mut screen = Screen::default();
    screen.look(api);
    let mut terminal = ratatui::try_init().map_err(|e| Error::Local(e.to_string()))?;
    let result = follow(api, every_s, &mut screen, &mut terminal);
    ratatui::restore();
    result.map_err(|e| Error::Local(e.to_string()))
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
            if let Event::Key(key) = event::read()? {
                let control = key.modifiers.contains(KeyModifiers::CONTROL);
                let ended = control && key.code == KeyCode::Char('c');
                let pressed = key.kind != KeyEventKind::Release;
                if ended || pressed && !screen.key(key.code, 10) {
                    return Ok(());
                }
            }
        } else {
            screen.look(api);
            next = Instant::now() + every;
        }
    }
}
