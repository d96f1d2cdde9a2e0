//! Metrics of this controller and, if it leads, of the shard, in Prometheus' text format. The
//! metrics are computed for each request; no state is kept between requests.

use super::views::service_rows;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use prometheus::{GaugeVec, Opts, Registry, TextEncoder};

/// Registers gauges with these labels.
fn register_gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<GaugeVec> {
    let gauges = GaugeVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

/// Registers a gauge without labels, and sets its value.
fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
    value: f64,
) -> prometheus::Result<()> {
    let gauges = register_gauges(registry, name, help, &[])?;
    gauges.with_label_values::<&str>(&[]).set(value);
    Ok(())
}

fn job_metrics(registry: &Registry, scheduler: &Scheduler, now: f64) -> prometheus::Result<()> {
    let jobs = scheduler.job_rows(now, 0);
    let gauges = register_gauges(
        registry,
        "foxspur_jobs",
        "Live jobs by how they stand",
        &["standing"],
    )?;
    let unhealthy = jobs.stuck + jobs.failing + jobs.late;
    for (standing, count) in [
        ("stuck", jobs.stuck),
        ("failing", jobs.failing),
        ("late", jobs.late),
        ("ok", jobs.live.saturating_sub(unhealthy)),
    ] {
        gauges.with_label_values(&[standing]).set(count as f64);
    }
    Ok(())
}

fn machine_metrics(registry: &Registry, scheduler: &Scheduler, now: f64) -> prometheus::Result<()> {
    let gauges = register_gauges(
        registry,
        "foxspur_machines",
        "Machines by state",
        &["state"],
    )?;
    for (state, count) in scheduler.machine_counts(now) {
        let name = format!("{state:?}").to_lowercase();
        gauges.with_label_values(&[&name]).set(count as f64);
    }
    Ok(())
}

fn team_metrics(registry: &Registry, scheduler: &Scheduler) -> prometheus::Result<()> {
    let gauges = register_gauges(
        registry,
        "foxspur_team_cpus",
        "CPUs of a team",
        &["team", "what"],
    )?;
    for team in scheduler.team_rows() {
        for (what, cpus) in [
            ("used", team.cpus),
            ("waiting", team.waiting_cpus),
            ("guaranteed", team.cpus_guaranteed),
            ("limit", team.cpus_max),
        ] {
            gauges.with_label_values(&[&team.name, what]).set(cpus);
        }
    }
    Ok(())
}

fn wait_metrics(registry: &Registry, scheduler: &Scheduler) -> prometheus::Result<()> {
    let gauges = register_gauges(
        registry,
        "foxspur_first_start_seconds",
        "From acceptance to the first task that runs",
        &["class", "quantile"],
    )?;
    for class in scheduler.waits().first_start {
        for (quantile, seconds) in [
            ("0.5", class.p50_s),
            ("0.9", class.p90_s),
            ("0.99", class.p99_s),
        ] {
            let labels = [&class.name, quantile];
            gauges.with_label_values(&labels).set(seconds);
        }
    }
    Ok(())
}

fn work_metrics(registry: &Registry, scheduler: &Scheduler) -> prometheus::Result<()> {
    let work = scheduler.work;
    let gauges = register_gauges(
        registry,
        "foxspur_step_max",
        "Largest amount of work in one step since this controller took over",
        &["what"],
    )?;
    for (what, amount) in [
        ("placements_per_pass", work.max_placements_per_pass as f64),
        ("examined_per_pass", work.max_examined_per_pass as f64),
        ("commands_per_message", work.max_commands_per_message as f64),
        ("attempts_per_report", work.max_attempts_per_report as f64),
    ] {
        gauges.with_label_values(&[what]).set(amount);
    }
    Ok(())
}

fn shard_metrics(registry: &Registry, scheduler: &Scheduler, now: f64) -> prometheus::Result<()> {
    job_metrics(registry, scheduler, now)?;
    machine_metrics(registry, scheduler, now)?;
    team_metrics(registry, scheduler)?;
    wait_metrics(registry, scheduler)?;
    work_metrics(registry, scheduler)?;
    register_gauge(
        registry,
        "foxspur_refused_records",
        "Live jobs whose completed tasks the state service refused to write",
        scheduler.refused_records() as f64,
    )?;
    register_gauge(
        registry,
        "foxspur_unanswered_starts",
        "Starts sent to machines without an answer, whose tasks count as running",
        scheduler.unanswered_starts() as f64,
    )?;
    register_gauge(
        registry,
        "foxspur_open_starts",
        "Starts sent to machines, answered or not, that a late copy could still repeat",
        scheduler.open_starts() as f64,
    )?;
    register_gauge(
        registry,
        "foxspur_incarnation_checks",
        "Machines that may have restarted and have not shown the token sent since",
        scheduler.open_incarnation_checks() as f64,
    )?;
    let gauges = register_gauges(
        registry,
        "foxspur_machine_messages",
        "Messages to and from machines since this controller took over",
        &["what"],
    )?;
    for (what, count) in scheduler.messages.named() {
        gauges.with_label_values(&[what]).set(count as f64);
    }
    register_gauge(
        registry,
        "foxspur_unaccounted_machines",
        "Machines that hold up placing after a takeover",
        scheduler.machines_blocking_placement().unwrap_or(0) as f64,
    )
}

fn leadership_metrics(registry: &Registry, node: &Node) -> prometheus::Result<()> {
    register_gauge(
        registry,
        "foxspur_owner",
        "1 where this controller owns the share",
        f64::from(u8::from(node.may_answer_workers())),
    )?;
    let leadership = node.leadership.borrow();
    let shard = leadership.view.shard.as_ref();
    register_gauge(
        registry,
        "foxspur_term",
        "Term of the share as known here",
        shard.map_or(0, |(shard, _)| shard.term) as f64,
    )
}

fn service_metrics(registry: &Registry, node: &Node) -> prometheus::Result<()> {
    let gauges = register_gauges(
        registry,
        "foxspur_service_calls",
        "Calls to an outside service since the start",
        &["service", "result"],
    )?;
    for row in service_rows(node) {
        for (result, calls) in [("answered", row.answered), ("failed", row.failed)] {
            gauges
                .with_label_values(&[row.name.as_str(), result])
                .set(calls as f64);
        }
    }
    Ok(())
}

/// The body of the answer to `GET /metrics`.
pub(super) fn text(node: &Node) -> prometheus::Result<String> {
    let registry = Registry::new();
    leadership_metrics(&registry, node)?;
    service_metrics(&registry, node)?;
    register_gauge(
        &registry,
        "foxspur_event_loop_delay_max_seconds",
        "Longest delay of the event loop since the process started",
        node.loop_delay.get().max_delay_s(),
    )?;
    if let Some(scheduler) = node.scheduler.borrow().as_ref() {
        shard_metrics(&registry, scheduler, node.now())?;
    }
    TextEncoder::new().encode_to_string(&registry.gather())
}
