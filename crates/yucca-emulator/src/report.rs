//! Results of plays as a table and as a plot.

use std::path::Path;

use anyhow::{Result, anyhow};
use comfy_table::{Cell, CellAlignment, Table, presets};
use plotters::prelude::*;

use crate::caller::Outcome;
use crate::scenario::Scenario;
use crate::simulation::SimulationResult;

/// Width of a point of the plot, in seconds.
const BUCKET_S: f64 = 1.0;
const PLOT_PIXELS: (u32, u32) = (1_000, 420);

/// What a kind of requests got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindSummary {
    /// Requests.
    pub requests: usize,
    /// Answered with all times in the target.
    pub in_target: usize,
    /// Answered later.
    pub late: usize,
    /// Refused in the end.
    pub refused: usize,
    /// Without a whole answer.
    pub failed: usize,
    /// Worth of the answers as a part of the worth of all in their target.
    pub worth: f64,
    /// Median time until the first event, in milliseconds.
    pub p50_ms: f64,
    /// The time that 1 in 100 exceeds.
    pub p99_ms: f64,
}

/// What each kind got, in the order of the scenario.
pub fn summarize(scenario: &Scenario, played: &SimulationResult) -> Vec<KindSummary> {
    (0..scenario.kinds.len())
        .map(|kind| summarize_kind(scenario, played, kind))
        .collect()
}

fn summarize_kind(scenario: &Scenario, played: &SimulationResult, kind: usize) -> KindSummary {
    let results: Vec<_> = played.results.iter().filter(|r| r.kind == kind).collect();
    let count = |outcome| results.iter().filter(|r| r.outcome == outcome).count();
    let (in_target, late) = (count(Outcome::InTarget), count(Outcome::Late));
    let answered = results
        .iter()
        .filter(|r| matches!(r.outcome, Outcome::InTarget | Outcome::Late));
    let mut times: Vec<f64> = answered.map(|r| r.first_ms).collect();
    times.sort_by(f64::total_cmp);
    let quantile = |part: f64| {
        let at = (times.len() as f64 * part) as usize;
        times
            .get(at.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    };
    let spec = &scenario.kinds[kind];
    let got = in_target as f64 * spec.worth + late as f64 * spec.late_worth;
    let most = results.len() as f64 * spec.worth;
    KindSummary {
        requests: results.len(),
        in_target,
        late,
        refused: count(Outcome::Refused),
        failed: count(Outcome::Failed),
        worth: if most > 0.0 { got / most } else { 0.0 },
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    }
}

/// Worth of all answers as a part of the worth of all requests in their target.
pub fn worth(scenario: &Scenario, summaries: &[KindSummary]) -> f64 {
    let weight = |kind: usize| summaries[kind].requests as f64 * scenario.kinds[kind].worth;
    let most: f64 = (0..summaries.len()).map(weight).sum();
    let got: f64 = (0..summaries.len())
        .map(|kind| weight(kind) * summaries[kind].worth)
        .sum();
    if most > 0.0 { got / most } else { 0.0 }
}

/// A table of what each kind got.
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

fn percent(part: usize, whole: usize) -> String {
    format!("{:.1}%", 100.0 * part as f64 / whole.max(1) as f64)
}

/// Draws the part of each kind's requests that were answered in their target, over time.
///
/// # Errors
///
/// When the file cannot be written.
pub fn draw(
    scenario: &Scenario,
    played: &SimulationResult,
    title: &str,
    path: &Path,
) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", path.display());
    let area = SVGBackend::new(path, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..scenario.seconds, 0.0..100.0)
        .map_err(|e| failed(&e))?;
    chart
        .configure_mesh()
        .x_desc("time of the request (s)")
        .y_desc("answered in target (%)")
        .draw()
        .map_err(|e| failed(&e))?;
    for (kind, spec) in scenario.kinds.iter().enumerate() {
        let colour = Palette99::pick(kind).mix(1.0);
        let line = LineSeries::new(goodput(scenario, played, kind), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(|e| failed(&e))?
            .label(&spec.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}

/// Percent of a kind's requests that were answered in their target, by time.
fn goodput(scenario: &Scenario, played: &SimulationResult, kind: usize) -> Vec<(f64, f64)> {
    let buckets = (scenario.seconds / BUCKET_S).ceil() as usize;
    let mut counts = vec![(0_u32, 0_u32); buckets];
    for result in played.results.iter().filter(|r| r.kind == kind) {
        let at = (result.at_ms / 1e3 / BUCKET_S) as usize;
        let Some((asked, in_target)) = counts.get_mut(at) else {
            continue;
        };
        *asked += 1;
        *in_target += u32::from(result.outcome == Outcome::InTarget);
    }
    let points = counts
        .iter()
        .enumerate()
        .filter(|(_, (asked, _))| *asked > 0);
    points
        .map(|(at, (asked, in_target))| {
            let middle_s = (at as f64 + 0.5) * BUCKET_S;
            (middle_s, 100.0 * f64::from(*in_target) / f64::from(*asked))
        })
        .collect()
}
