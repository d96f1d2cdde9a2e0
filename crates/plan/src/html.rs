//! Renders a plan as one self-contained HTML file with tables and SVG charts.

use crate::plan::{HostPlan, JobPlan, Plan, Range, Variant};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Default width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 320);
/// The most machines in the timeline, and the most classes in the chart of late jobs.
const MAX_CHART_ITEMS: usize = 24;
/// The most rows in a table.
const MAX_ROWS: usize = 200;

/// Escapes the characters that have a meaning in HTML.
fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            c => out.push(c),
        }
    }
    out
}

/// Draws a chart as SVG. Returns a paragraph with the error if that fails.
fn svg(height: u32, draw: impl FnOnce(&Area) -> DrawResult) -> String {
    let mut text = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut text, (CHART_SIZE.0, height)).into_drawing_area();
        area.fill(&WHITE)
            .map_err(|error| error.to_string())
            .and_then(|()| draw(&area).map_err(|error| error.to_string()))
            .and_then(|()| area.present().map_err(|error| error.to_string()))
    };
    match drawn {
        Ok(()) => text,
        Err(error) => format!("<p>no picture: {}</p>", escaped(&error)),
    }
}

/// The tasks on each drained machine in the first sample, until all machines are empty.
fn timeline(plan: &Plan) -> String {
    let lanes: Vec<_> = plan.picture.machines.iter().take(MAX_CHART_ITEMS).collect();
    let end = plan.picture.drained_s.values().copied().fold(1.0, f64::max) * 1.1;
    let end = end
        .min(plan.options.horizon_s)
        .max(plan.order.start_s + 1.0);
    svg(60 + 22 * lanes.len().max(1) as u32, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(110)
            .build_cartesian_2d(0.0..end, -0.5..lanes.len().max(1) as f64 - 0.5)?;
        let name = |y: &f64| {
            // Label whole numbers only, which are the middles of the lanes.
            let whole = (y - y.round()).abs() < 0.01 && *y > -0.1;
            let index = lanes.len().checked_sub(1 + y.round().max(0.0) as usize);
            let index = index.filter(|_| whole);
            index
                .and_then(|index| lanes.get(index))
                .map_or(String::new(), |(host, _)| (*host).clone())
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(lanes.len().max(1) + 1)
            .y_label_formatter(&name)
            .x_desc("seconds from the snapshot")
            .draw()?;
        for (lane, (host, spans)) in lanes.iter().enumerate() {
            let y = (lanes.len() - 1 - lane) as f64;
            for span in *spans {
                let color = if span.completed { &GREEN } else { &RED };
                let (from, to) = (span.from_s.max(0.0), span.to_s.min(end));
                if from < to {
                    let bar = [(from, y - 0.35), (to, y + 0.35)];
                    chart.draw_series([Rectangle::new(bar, color.mix(0.25).filled())])?;
                }
            }
            if let Some(drained_s) = plan.picture.drained_s.get(*host) {
                let line = vec![(*drained_s, y - 0.5), (*drained_s, y + 0.5)];
                chart.draw_series([PathElement::new(line, BLACK.stroke_width(2))])?;
            }
        }
        let start = vec![
            (plan.order.start_s, -0.5),
            (plan.order.start_s, lanes.len() as f64 - 0.5),
        ];
        chart.draw_series([PathElement::new(start, BLUE.stroke_width(1))])?;
        Ok(())
    })
}

/// Free CPUs over time in the first sample, without and with the drain.
fn free_cpu_chart(plan: &Plan) -> String {
    let (without, with) = &plan.picture.free;
    let max_cpus = without
        .iter()
        .chain(with)
        .map(|point| point.1)
        .fold(1.0, f64::max);
    svg(CHART_SIZE.1, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..plan.options.horizon_s, 0.0..max_cpus * 1.05)?;
        chart
            .configure_mesh()
            .x_desc("seconds from the snapshot")
            .y_desc("free CPUs")
            .draw()?;
        for (points, color, name) in [(without, BLUE, "without"), (with, RED, "with the drain")] {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &color))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    })
}

/// Late jobs by class, without and with the drain.
fn late_jobs_chart(plan: &Plan) -> String {
    let classes: Vec<_> = plan.classes.iter().take(MAX_CHART_ITEMS).collect();
    let max_late = classes
        .iter()
        .map(|class| class.late_with.max(class.late_without))
        .fold(1.0, f64::max);
    svg(CHART_SIZE.1, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(-0.5..classes.len().max(1) as f64 - 0.5, 0.0..max_late * 1.1)?;
        let name = |x: &f64| {
            let whole = (x - x.round()).abs() < 0.01 && *x > -0.1;
            let class = classes.get(x.round().max(0.0) as usize).filter(|_| whole);
            class.map_or(String::new(), |class| class.class.clone())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(classes.len().max(1) + 1)
            .x_label_formatter(&name)
            .y_desc("late jobs, on average")
            .draw()?;
        for (index, class) in classes.iter().enumerate() {
            let x = index as f64;
            let bars = [
                (x - 0.35, x - 0.05, class.late_without, BLUE),
                (x + 0.05, x + 0.35, class.late_with, RED),
            ];
            for (from, to, height, color) in bars {
                let bar = [(from, 0.0), (to, height)];
                chart.draw_series([Rectangle::new(bar, color.mix(0.6).filled())])?;
            }
        }
        Ok(())
    })
}

fn percent(proportion: f64) -> String {
    format!("{:.0}%", proportion * 100.0)
}

fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut text = String::from("<table><tr>");
    for name in header {
        let _ = write!(text, "<th>{}</th>", escaped(name));
    }
    text.push_str("</tr>");
    for row in rows {
        text.push_str("<tr>");
        for cell in row {
            let _ = write!(text, "<td>{}</td>", escaped(&cell));
        }
        text.push_str("</tr>");
    }
    text.push_str("</table>");
    text
}

/// The median and the 90th percentile of a time, or `never` if there are none.
fn quantiles(range: Option<Range>) -> String {
    range.map_or("never".into(), |r| format!("{:.0} / {:.0}", r.p50, r.p90))
}

fn host_row(host: &HostPlan) -> Vec<String> {
    vec![
        host.host.clone(),
        host.zone.clone(),
        host.tasks.to_string(),
        quantiles(host.drained_s),
        percent(host.overdue),
    ]
}

fn job_row(job: &JobPlan) -> Vec<String> {
    vec![
        job.id.clone(),
        job.class.clone(),
        percent(job.late_because),
        percent(job.late_anyway),
        percent(job.moved),
        percent(job.waits),
        format!("{:.0}", job.later_s),
        format!("{:.0}", job.lost_cpu_s),
    ]
}

fn variant_row(variant: &Variant) -> Vec<String> {
    vec![
        variant.name.clone(),
        format!("{:.2}", variant.late),
        percent(variant.any_late),
        format!("{:.0}", variant.lost_cpu_s),
        quantiles(variant.drained_s),
        percent(variant.overdue),
    ]
}

const HOST_HEADER: [&str; 5] = [
    "machine",
    "zone",
    "tasks now",
    "drained after, s (p50 / p90)",
    "overdue",
];

const JOB_HEADER: [&str; 8] = [
    "job",
    "class",
    "late because of it",
    "late anyway",
    "moved",
    "waits",
    "ends later, s",
    "CPU s lost",
];

const VARIANT_HEADER: [&str; 6] = [
    "way",
    "deadlines missed because of it",
    "runs with any",
    "CPU s lost",
    "all drained after, s (p50 / p90)",
    "overdue",
];

const PAGE_START: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>foxspur: plan of a drain</title>\
    <style>body{font:15px/1.4 sans-serif;margin:2em auto;max-width:60em;color:#222}\
    table{border-collapse:collapse;margin:.5em 0 1.5em}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}\
    th{background:#f2f2f2}svg{max-width:100%}</style></head><body>";

/// Renders the plan as an HTML page.
pub fn html(plan: &Plan) -> String {
    let mut page = String::from(PAGE_START);
    page.push_str(&introduction(plan));
    page.push_str(&tables(plan));
    page.push_str(&charts(plan));
    page.push_str("</body></html>\n");
    page
}

/// What was planned, and the main results.
fn introduction(plan: &Plan) -> String {
    format!(
        "<h1>Plan: drain {}</h1><p>Made from the state of term {}, revision {}: {} machines, {} live jobs. \
         {} runs of {:.0} s, each with the drain and without it, with the same random numbers.</p>\
         <p>Deadlines missed because of the drain: <b>{:.2}</b> on average; {} of the runs miss any. Any event \
         that is not listed below has a probability below {:.1}% (at a confidence of 95%).</p>",
        escaped(&plan.order.hosts.join(", ")),
        plan.term,
        plan.revision,
        plan.machines,
        plan.jobs_live,
        plan.options.samples,
        plan.options.horizon_s,
        plan.all.late,
        percent(plan.all.any_late),
        plan.unnamed_below * 100.0,
    )
}

/// Tables of machines, jobs and variants.
fn tables(plan: &Plan) -> String {
    let mut text = String::from("<h2>Machines</h2>");
    let hosts = plan.hosts.iter().take(MAX_ROWS).map(host_row);
    text.push_str(&table(&HOST_HEADER, hosts));
    text.push_str("<h2>Jobs</h2>");
    let jobs = plan.jobs.iter().take(MAX_ROWS).map(job_row);
    text.push_str(&table(&JOB_HEADER, jobs));
    if plan.jobs.len() > MAX_ROWS {
        let _ = write!(text, "<p>and {} more</p>", plan.jobs.len() - MAX_ROWS);
    }
    for (name, variants) in [
        ("When to start", &plan.starts),
        ("If another machine fails during the drain", &plan.failures),
    ] {
        if !variants.is_empty() {
            let _ = write!(text, "<h2>{name}</h2>");
            text.push_str(&table(&VARIANT_HEADER, variants.iter().map(variant_row)));
        }
    }
    text
}

/// Charts of the first sample, and of late jobs over all samples.
fn charts(plan: &Plan) -> String {
    let mut text = String::from("<h2>Charts</h2><h3>The drained machines in the first run</h3>");
    text.push_str("<p>Green: the task is completed; red: it is stopped or still runs at the end. Blue line: the drain begins; black line: the machine is proven empty.</p>");
    text.push_str(&timeline(plan));
    text.push_str("<h3>Free CPUs in the first run</h3>");
    text.push_str(&free_cpu_chart(plan));
    text.push_str("<h3>Late jobs by class</h3><p>Means over all runs. Blue: without the drain; red: with it.</p>");
    text.push_str(&late_jobs_chart(plan));
    text
}
