//! Results of simulations as a table and as a plot.

use std::path::Path;

use anyhow::{Result, anyhow};
use comfy_table::{Cell, CellAlignment, Table, presets};
use plotters::prelude::*;

use crate::caller::{Outcome, RequestResult};
use crate::scenario::Scenario;
use crate::simulation::SimulationResult;

/// Period that one point of the plot covers, in seconds.
const BUCKET_S: f64 = 1.0;
/// Width and height of the plot.
const PLOT_PIXELS: (u32, u32) = (1_000, 420);

/// Results of a kind of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindSummary {
    /// Number of requests.
    pub requests: usize,
    /// Requests with a complete response that met all targets.
    pub in_target: usize,
    /// Requests with a complete response that missed a target.
    pub late: usize,
    /// Requests that were refused on their last try.
    pub refused: usize,
    /// Requests that failed in any other way.
    pub failed: usize,
    /// Value of the responses divided by the maximum value, which is reached if all requests meet their
    /// targets.
    pub worth: f64,
    /// Median time until the first event or the complete response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
}

/// Returns the results of each kind, in the order of the scenario.
pub fn summarize(scenario: &Scenario, simulation: &SimulationResult) -> Vec<KindSummary> {
    (0..scenario.kinds.len())
        .map(|kind| summarize_kind(scenario, simulation, kind))
        .collect()
}

fn summarize_kind(scenario: &Scenario, simulation: &SimulationResult, kind: usize) -> KindSummary {
    let results: Vec<_> = simulation
        .results
        .iter()
        .filter(|r| r.kind == kind)
        .collect();
    let count = |outcome| results.iter().filter(|r| r.outcome == outcome).count();
    let (in_target, late) = (count(Outcome::InTarget), count(Outcome::Late));
    let responses = results
        .iter()
        .filter(|r| matches!(r.outcome, Outcome::InTarget | Outcome::Late));
    let mut times: Vec<f64> = responses.map(|r| r.first_ms).collect();
    times.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        let index = (times.len() as f64 * fraction) as usize;
        times
            .get(index.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    };
    let spec = &scenario.kinds[kind];
    let value = in_target as f64 * spec.worth + late as f64 * spec.late_worth;
    let max_value = results.len() as f64 * spec.worth;
    KindSummary {
        requests: results.len(),
        in_target,
        late,
        refused: count(Outcome::Refused),
        failed: count(Outcome::Failed),
        worth: if max_value > 0.0 {
            value / max_value
        } else {
            0.0
        },
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    }
}

/// Returns the value of all responses divided by the maximum value, which is reached if all requests
/// meet their targets.
pub fn worth(scenario: &Scenario, summaries: &[KindSummary]) -> f64 {
    let weight = |kind: usize| summaries[kind].requests as f64 * scenario.kinds[kind].worth;
    let max_value: f64 = (0..summaries.len()).map(weight).sum();
    let value: f64 = (0..summaries.len())
        .map(|kind| weight(kind) * summaries[kind].worth)
        .sum();
    if max_value > 0.0 {
        value / max_value
    } else {
        0.0
    }
}

/// Returns a table of the results of each kind.
pub fn table(scenario: &Scenario, summaries: &[KindSummary]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "kind",
        "rank",
        "asked",
        "in target",
        "late",
        "refused",
        "failed",
        "worth",
        "p50 ms",
        "p99 ms",
    ]);
    for (kind, s) in scenario.kinds.iter().zip(summaries) {
        let numbers = [
            kind.urgency.to_string(),
            s.requests.to_string(),
            percent(s.in_target, s.requests),
            percent(s.late, s.requests),
            percent(s.refused, s.requests),
            percent(s.failed, s.requests),
            format!("{:.3}", s.worth),
            format!("{:.0}", s.p50_ms),
            format!("{:.0}", s.p99_ms),
        ];
        let cells = numbers.map(|text| Cell::new(text).set_alignment(CellAlignment::Right));
        let mut row = vec![Cell::new(&kind.name)];
        row.extend(cells);
        table.add_row(row);
    }
    table
}

/// Returns a table of the results of each organisation, and of three size classes of each kind: the
/// largest tenth of its prompts, the fifth below it, and the others.
pub fn fairness_table(scenario: &Scenario, simulation: &SimulationResult) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["group", "asked", "in target", "late", "refused", "failed"]);
    let mut add = |name: String, results: &[&RequestResult]| {
        let count = |outcome| results.iter().filter(|r| r.outcome == outcome).count();
        let mut row = vec![Cell::new(name), Cell::new(results.len())];
        let outcomes = [
            Outcome::InTarget,
            Outcome::Late,
            Outcome::Refused,
            Outcome::Failed,
        ];
        row.extend(outcomes.map(|o| Cell::new(percent(count(o), results.len()))));
        table.add_row(row);
    };
    for (index, organisation) in scenario.organisations.iter().enumerate() {
        let own = |r: &&RequestResult| r.organisation == Some(index);
        let results: Vec<_> = simulation.results.iter().filter(own).collect();
        add(organisation.name.clone(), &results);
    }
    for (kind, spec) in scenario.kinds.iter().enumerate() {
        let mut results: Vec<_> = simulation
            .results
            .iter()
            .filter(|r| r.kind == kind)
            .collect();
        results.sort_by_key(|r| std::cmp::Reverse(r.prompt_tokens));
        let (tenth, third) = (results.len() / 10, results.len() * 3 / 10);
        if spec.large_share > 0.0 {
            add(format!("{} largest tenth", spec.name), &results[..tenth]);
            add(format!("{} fifth below", spec.name), &results[tenth..third]);
            add(format!("{} others", spec.name), &results[third..]);
        }
    }
    table
}

/// Returns the share of requests with a complete response, in time or late; 1 for no requests.
pub fn served_share<'a>(results: impl Iterator<Item = &'a RequestResult>) -> f64 {
    let (mut asked, mut served) = (0_u32, 0_u32);
    for result in results {
        asked += 1;
        served += u32::from(matches!(result.outcome, Outcome::InTarget | Outcome::Late));
    }
    f64::from(served) / f64::from(asked.max(1))
}

fn percent(part: usize, whole: usize) -> String {
    format!("{:.1}%", 100.0 * part as f64 / whole.max(1) as f64)
}

/// Writes an SVG plot of the percentage of each kind's requests that met their targets, over time.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw(
    scenario: &Scenario,
    simulation: &SimulationResult,
    title: &str,
    path: &Path,
) -> Result<()> {
    let with_path = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", path.display());
    let area = SVGBackend::new(path, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|e| with_path(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..scenario.seconds, 0.0..100.0)
        .map_err(|e| with_path(&e))?;
    chart
        .configure_mesh()
        .x_desc("time of the request (s)")
        .y_desc("answered in target (%)")
        .draw()
        .map_err(|e| with_path(&e))?;
    for (kind, spec) in scenario.kinds.iter().enumerate() {
        let colour = Palette99::pick(kind).mix(1.0);
        let line = LineSeries::new(goodput(scenario, simulation, kind), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(|e| with_path(&e))?
            .label(&spec.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| with_path(&e))?;
    area.present().map_err(|e| with_path(&e))
}

/// Returns the percentage of a kind's requests that met their targets, for each period in which there
/// were requests, with the middle of the period in seconds.
fn goodput(scenario: &Scenario, simulation: &SimulationResult, kind: usize) -> Vec<(f64, f64)> {
    let buckets = (scenario.seconds / BUCKET_S).ceil() as usize;
    let mut counts = vec![(0_u32, 0_u32); buckets];
    for result in simulation.results.iter().filter(|r| r.kind == kind) {
        let index = (result.at_ms / 1e3 / BUCKET_S) as usize;
        let Some((requests, in_target)) = counts.get_mut(index) else {
            continue;
        };
        *requests += 1;
        *in_target += u32::from(result.outcome == Outcome::InTarget);
    }
    let points = counts
        .iter()
        .enumerate()
        .filter(|(_, (requests, _))| *requests > 0);
    points
        .map(|(index, (requests, in_target))| {
            let middle_s = (index as f64 + 0.5) * BUCKET_S;
            (
                middle_s,
                100.0 * f64::from(*in_target) / f64::from(*requests),
            )
        })
        .collect()
}
