//! The tables of a plan.

use super::{duration, percent, table};
use foxspur_plan::plan::{HostPlan, JobPlan, Plan, Range, Variant};

const HOSTS_HEADER: [&str; 5] = ["machine", "zone", "tasks now", "drained p50/p90", "overdue"];

const JOBS_HEADER: [&str; 8] = [
    "job",
    "class",
    "late because",
    "late anyway",
    "moved",
    "waits",
    "later",
    "cpu s lost",
];

/// Formats a plan, with at most `max_jobs` jobs.
pub fn plan(plan: &Plan, max_jobs: usize) -> String {
    let mut text = format!(
        "plan of term {}, revision {}: {} machines, {} live jobs; {} simulated runs of {}\n\n",
        plan.term,
        plan.revision,
        plan.machines,
        plan.jobs_live,
        plan.options.samples,
        duration(plan.options.horizon_s)
    );
    text.push_str(&table(&HOSTS_HEADER, plan.hosts.iter().map(host_row)));
    text.push('\n');
    let jobs = plan.jobs.iter().take(max_jobs).map(job_row);
    text.push_str(&table(&JOBS_HEADER, jobs));
    if plan.jobs.len() > max_jobs {
        text.push_str(&format!("and {} more\n", plan.jobs.len() - max_jobs));
    }
    text.push_str(&variants("start", &plan.starts));
    text.push_str(&variants("if", &plan.failures));
    text.push_str(&format!(
        "\ndeadlines missed because of the drain: {:.2} on average, at least one in {} of the runs; anything not listed: below {:.1}%\n",
        plan.all.late,
        percent(plan.all.any_late),
        plan.unnamed_below * 100.0
    ));
    text
}

fn host_row(host: &HostPlan) -> Vec<String> {
    vec![
        host.host.clone(),
        host.zone.clone(),
        host.tasks.to_string(),
        range(host.drained_s),
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
        duration(job.later_s),
        format!("{:.0}", job.lost_cpu_s),
    ]
}

/// A table of variants whose first column has this title; empty if there are none.
fn variants(title: &str, variants: &[Variant]) -> String {
    if variants.is_empty() {
        return String::new();
    }
    let header = [
        title,
        "deadlines missed",
        "runs with any",
        "cpu s lost",
        "drained p50/p90",
        "overdue",
    ];
    format!("\n{}", table(&header, variants.iter().map(variant_row)))
}

fn variant_row(variant: &Variant) -> Vec<String> {
    vec![
        variant.name.clone(),
        format!("{:.2}", variant.late),
        percent(variant.any_late),
        format!("{:.0}", variant.lost_cpu_s),
        range(variant.drained_s),
        percent(variant.overdue),
    ]
}

/// The median and the 90th percentile of a time, or `never` if there are none.
fn range(range: Option<Range>) -> String {
    range.map_or("never".into(), |range| {
        format!("{} / {}", duration(range.p50), duration(range.p90))
    })
}
