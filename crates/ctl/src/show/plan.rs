//! Plans of drains as tables.

use super::{percent, span, table};
use foxspur_plan::plan::{HostPlan, JobPlan, Plan, Range, Variant};

const HOSTS_HEAD: [&str; 5] = ["machine", "zone", "tasks now", "drained p50/p90", "overdue"];

const JOBS_HEAD: [&str; 8] = [
    "job",
    "class",
    "late because",
    "late anyway",
    "moved",
    "waits",
    "later",
    "cpu s lost",
];

/// A plan, with at most `max_jobs` jobs.
pub fn plan(plan: &Plan, max_jobs: usize) -> String {
    let mut text = format!(
        "plan of term {}, revision {}: {} machines, {} live jobs; {} simulated runs of {}\n\n",
        plan.term,
        plan.revision,
        plan.machines,
        plan.jobs_live,
        plan.options.samples,
        span(plan.options.horizon_s)
    );
    text.push_str(&table(&HOSTS_HEAD, plan.hosts.iter().map(host_row)));
    text.push('\n');
    let jobs = plan.jobs.iter().take(max_jobs).map(job_row);
    text.push_str(&table(&JOBS_HEAD, jobs));
    if plan.jobs.len() > max_jobs {
        text.push_str(&format!("and {} more\n", plan.jobs.len() - max_jobs));
    }
    text.push_str(&variants("start", &plan.starts));
    text.push_str(&variants("if", &plan.failures));
    text.push_str(&format!(
        "\ndeadlines missed because of it: {:.2} on average, any in {} of the runs; what is not named: below {:.1}%\n",
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
        span(job.later_s),
        format!("{:.0}", job.lost_cpu_s),
    ]
}

/// A table of variants under this title; nothing if there are none.
fn variants(title: &str, variants: &[Variant]) -> String {
    if variants.is_empty() {
        return String::new();
    }
    let head = [
        title,
        "deadlines missed",
        "runs with any",
        "cpu s lost",
        "drained p50/p90",
        "overdue",
    ];
    format!("\n{}", table(&head, variants.iter().map(variant_row)))
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

/// Quantiles of a time, or that it never comes.
fn range(range: Option<Range>) -> String {
    range.map_or("never".into(), |range| {
        format!("{} / {}", span(range.p50), span(range.p90))
    })
}
