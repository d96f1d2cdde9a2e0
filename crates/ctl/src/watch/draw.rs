//! Draws the terminal view: jobs with stuck jobs first, then teams, machines and drains.

use super::screen::Screen;
use crate::show::{duration, variant_name};
use foxspur_wire::admin::{
    Answer, DrainRow, DrainState, JobHealth, JobRow, Jobs, ShardRow, TeamRow,
};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Gauge, Paragraph, Row, Table};
use ratatui::Frame;

fn style_of(standing: JobHealth) -> Style {
    match standing {
        JobHealth::Stuck | JobHealth::Failing => alarm_style(),
        JobHealth::Late => warning_style(),
        JobHealth::Ok => Style::new(),
    }
}

fn alarm_style() -> Style {
    Style::new().fg(Color::Red).add_modifier(Modifier::BOLD)
}

fn warning_style() -> Style {
    Style::new().fg(Color::Yellow)
}

/// The first line: job counts, the leader, and the error of the last refresh.
fn status_line(screen: &Screen) -> Line<'static> {
    let mut spans = match &screen.jobs {
        Some(jobs) => counts(jobs, screen.shares.as_ref()),
        None => vec![Span::raw(" no data yet")],
    };
    if let Some(error) = &screen.error {
        let style = Style::new().fg(Color::Red);
        spans.push(Span::styled(format!("   {error}"), style));
    }
    Line::from(spans)
}

fn counts(jobs: &Answer<Jobs>, shares: Option<&Answer<Vec<ShardRow>>>) -> Vec<Span<'static>> {
    let leader = jobs.owner.clone().unwrap_or_else(|| "nobody".into());
    let mut spans = vec![Span::raw(format!(
        " {} live, {} stuck, {} failing, {} late   owner {leader}, term {}",
        jobs.data.live, jobs.data.stuck, jobs.data.failing, jobs.data.late, jobs.term
    ))];
    let shard = shares.and_then(|shares| shares.data.first());
    if let Some(missing) = shard.and_then(|shard| shard.missing) {
        let text = format!("   {missing} machines not accounted for");
        spans.push(Span::styled(text, warning_style()));
    }
    if jobs.age_s > 0.0 {
        let text = format!("   {} OLD", duration(jobs.age_s));
        spans.push(Span::styled(text, alarm_style()));
    }
    spans
}

/// The least width at which the job's class is shown. On a narrower terminal the reason needs
/// the space.
const WIDE_COLUMNS: u16 = 150;

fn job_row(job: &JobRow, wide: bool) -> Row<'static> {
    let mut cells = vec![
        variant_name(&job.standing).to_uppercase(),
        job.id.clone(),
        job.team.clone(),
        duration(job.age_s),
        job.slack_s.map_or("-".into(), duration),
        format!("{}/{}", job.done, job.tasks),
        job.running.to_string(),
        job.why.clone(),
    ];
    if wide {
        cells.insert(2, job.class.clone());
    }
    Row::new(cells.into_iter().map(Cell::from)).style(style_of(job.standing))
}

fn draw_jobs(frame: &mut Frame, area: Rect, screen: &Screen) {
    let wide = area.width >= WIDE_COLUMNS;
    let rows = screen.jobs.iter().flat_map(|answer| &answer.data.rows);
    let rows = rows.skip(screen.first_job).map(|job| job_row(job, wide));
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
    let header = Row::new(columns.iter().map(|column| column.0));
    let table = Table::new(rows, columns.iter().map(|column| column.1))
        .header(header.style(Style::new().add_modifier(Modifier::DIM)))
        .block(Block::bordered().title(" jobs, the stuck ones first "));
    frame.render_widget(table, area);
}

fn draw_teams(frame: &mut Frame, area: Rect, screen: &Screen) {
    let block = Block::bordered().title(" teams: CPUs of limit ");
    let inner = block.inner(area);
    frame.render_widget(block, area);
    let teams: Vec<&TeamRow> = screen
        .teams
        .iter()
        .flat_map(|answer| &answer.data)
        .collect();
    let lines = Layout::vertical(vec![Constraint::Length(1); teams.len()]).split(inner);
    for (team, line) in teams.iter().zip(lines.iter()) {
        frame.render_widget(team_gauge(team), *line);
    }
}

/// A gauge of the CPUs that a team uses, out of its limit or, if that is higher, its guarantee.
/// The number after `+` counts the CPUs that its waiting tasks need.
fn team_gauge(team: &TeamRow) -> Gauge<'static> {
    let full = team.cpus_max.max(team.cpus_guaranteed);
    let (ratio, full) = if full > 0.0 {
        (team.cpus / full, format!("{full:.0}"))
    } else {
        (0.0, "-".into())
    };
    let label = format!(
        "{} {:.0}/{full} +{:.0}",
        team.name, team.cpus, team.waiting_cpus
    );
    Gauge::default()
        .ratio(ratio.clamp(0.0, 1.0))
        .label(label)
        .gauge_style(Style::new().fg(Color::Blue))
}

fn draw_fleet(frame: &mut Frame, area: Rect, screen: &Screen) {
    let fleet = screen.fleet.iter().flat_map(|answer| &answer.data);
    let mut lines: Vec<Line> = fleet
        .map(|(state, count)| Line::from(format!("{count:>6} {}", variant_name(state))))
        .collect();
    let drains = screen.drains.iter().flat_map(|answer| &answer.data);
    lines.extend(drains.map(drain_line));
    let block = Block::bordered().title(" machines and drains ");
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

fn drain_line(row: &DrainRow) -> Line<'static> {
    let (host, state) = (&row.drain.host, variant_name(&row.state));
    let text = format!("{host} {state} {} {}", row.tasks, row.stays);
    let style = match row.state {
        DrainState::Overdue => Style::new().fg(Color::Red),
        DrainState::Draining => warning_style(),
        _ => Style::new(),
    };
    Line::styled(text, style)
}

/// Draws the whole screen.
pub fn draw(frame: &mut Frame, screen: &Screen) {
    let teams = screen.teams.as_ref().map_or(0, |answer| answer.data.len()) as u16;
    // The lower part takes at most half of the terminal, so that jobs stay visible.
    let lower_height = (teams + 2).max(6).min(frame.area().height / 2);
    let [top, jobs, bottom] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Fill(1),
        Constraint::Length(lower_height),
    ])
    .areas(frame.area());
    frame.render_widget(Paragraph::new(status_line(screen)), top);
    draw_jobs(frame, jobs, screen);
    let [left, right] =
        Layout::horizontal([Constraint::Percentage(50), Constraint::Percentage(50)]).areas(bottom);
    draw_teams(frame, left, screen);
    draw_fleet(frame, right, screen);
}
