//! Creates a table, a JSON file and plots from the results of `scripts/bench-policy`, which
//! compares routing policies.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, anyhow};
use lexopt::prelude::*;
use plotters::prelude::*;
use serde_json::{Value, json};
use yuccacove::routing::{START_DECODE_TOKENS_PER_S, START_PREFILL_TOKENS_PER_S};

const HELP: &str = "\
yucca-policy-report: creates a table, a JSON file and plots of a comparison of policies

usage: yucca-policy-report --results DIR

  --results DIR  directory with TRACE/POLICY.json and TRACE/machine.json
  -h, --help     print this text
";

/// Weight of an on-time response by entry, as set by Hallgren: questions of foremen and order
/// confirmations weigh most.
const WEIGHTS: [(&str, f64); 4] = [
    ("quote-questions", 5.0),
    ("order-confirmations", 5.0),
    ("stock-reads", 2.0),
    ("drawing-reviews", 1.0),
];
/// Send lag at p99 from which a run is not counted, because the load generator did not keep up.
const MAX_SEND_LAG_MS: f64 = 20.0;
/// Load average per core above which a run is not counted, because processes waited for CPU time.
const MAX_LOAD_PER_CORE: f64 = 1.0;
/// Number of engines in each fleet.
const ENGINES: f64 = 4.0;
/// Name of the policy that the targets apply to.
const OURS: &str = "ours";
/// Ranks and the colours of their lines in the plots.
const RANKS: [(&str, RGBColor); 3] = [("urgent", RED), ("standard", BLUE), ("background", BLACK)];
/// Length of the moving average in plots, in seconds.
const PLOT_WINDOW: usize = 5;

/// Result of one policy on one trace.
#[derive(Debug)]
struct Outcome {
    weighted_goodput: f64,
    /// Share of on-time responses by entry and by rank.
    on_time: BTreeMap<String, f64>,
    role_changes: u64,
    refused: u64,
    orders_refused: u64,
    /// Share of the engine-seconds of the fleet that was spent on background requests with a
    /// complete response.
    background_work_share: f64,
    send_lag_ms: f64,
    is_counted: bool,
    summary: Value,
}

type Results = BTreeMap<String, BTreeMap<String, Outcome>>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-policy-report: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut directory: Option<PathBuf> = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("results") => directory = Some(parser.value()?.into()),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    let directory = directory.context("--results DIR is missing")?;
    let results = read_results(&directory)?;
    print_table(&results);
    let targets = targets(&results);
    for (name, result, detail) in &targets {
        println!("{result:<12} {name}: {detail}");
    }
    for (trace, policies) in &results {
        for (policy, outcome) in policies {
            let path = directory.join(trace).join(format!("{policy}.svg"));
            plot(&path, &format!("{trace}, {policy}"), &outcome.summary)?;
        }
    }
    write_json(&directory.join("policy.json"), &results, &targets)
}

fn read_results(directory: &Path) -> Result<Results> {
    let mut results = Results::new();
    for entry in fs::read_dir(directory).with_context(|| directory.display().to_string())? {
        let path = entry?.path();
        let Ok(machine) = fs::read_to_string(path.join("machine.json")) else {
            continue;
        };
        let machine: Value = serde_json::from_str(&machine)?;
        let number = |name: &str| machine[name].as_f64().unwrap_or(0.0);
        let load = number("load_before").max(number("load_after")) / number("cores").max(1.0);
        let is_run_valid = load <= MAX_LOAD_PER_CORE && machine["replay_failed"] == "no";
        let mut policies = BTreeMap::new();
        for entry in fs::read_dir(&path)? {
            let file = entry?.path();
            let stem = file.file_stem().and_then(|s| s.to_str()).unwrap_or("");
            let is_summary = file.extension().is_some_and(|e| e == "json");
            if is_summary && stem != "machine" {
                let summary = serde_json::from_str(&fs::read_to_string(&file)?)
                    .with_context(|| file.display().to_string())?;
                policies.insert(stem.to_owned(), outcome(summary, is_run_valid));
            }
        }
        let trace = path.file_name().and_then(|n| n.to_str()).unwrap_or("");
        results.insert(trace.to_owned(), policies);
    }
    Ok(results)
}

fn outcome(summary: Value, is_run_valid: bool) -> Outcome {
    let count = |group: &Value, name: &str| group[name].as_f64().unwrap_or(0.0);
    let entries = &summary["entries"];
    let weighted_goodput = WEIGHTS
        .iter()
        .map(|(entry, weight)| weight * count(&entries[*entry], "on_time"))
        .sum();
    let share = |group: &Value| count(group, "on_time") / count(group, "sent").max(1.0);
    let mut on_time: BTreeMap<String, f64> = WEIGHTS
        .iter()
        .map(|(entry, _)| ((*entry).to_owned(), share(&entries[*entry])))
        .collect();
    for (rank, _) in RANKS {
        on_time.insert(rank.to_owned(), share(&summary["ranks"][rank]));
    }
    let seconds = summary["timeline"]["ranks"]["background"].as_array();
    let seconds = seconds.map_or(&[][..], Vec::as_slice);
    let tokens = |name: &str| seconds.iter().map(|s| count(s, name)).sum::<f64>();
    let work_s = tokens("prompt_tokens") / START_PREFILL_TOKENS_PER_S
        + tokens("output_tokens") / START_DECODE_TOKENS_PER_S;
    let orders = &entries["order-confirmations"];
    let send_lag_ms = count(&summary["send_lag_ms"], "p99");
    Outcome {
        weighted_goodput,
        on_time,
        role_changes: count(&summary["role_changes"], "roles") as u64,
        refused: count(&summary["all"], "refused") as u64,
        orders_refused: count(orders, "refused") as u64,
        background_work_share: work_s / (ENGINES * seconds.len().max(1) as f64),
        send_lag_ms,
        is_counted: is_run_valid && send_lag_ms < MAX_SEND_LAG_MS,
        summary,
    }
}

fn print_table(results: &Results) {
    println!(
        "{:<17} {:<16} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>7} {:>8}  counted",
        "trace",
        "policy",
        "weighted",
        "foremen",
        "orders",
        "reads",
        "backgr.",
        "roles",
        "refused",
        "bg.work",
        "lag p99"
    );
    for (trace, policies) in results {
        for (policy, outcome) in policies {
            let percent = |name: &str| format!("{:.1}%", 100.0 * outcome.on_time[name]);
            println!(
                "{trace:<17} {policy:<16} {:>8.0} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>6.1}% {:>8.1}  {}",
                outcome.weighted_goodput,
                percent("quote-questions"),
                percent("order-confirmations"),
                percent("stock-reads"),
                percent("drawing-reviews"),
                outcome.role_changes,
                outcome.refused,
                100.0 * outcome.background_work_share,
                outcome.send_lag_ms,
                if outcome.is_counted { "yes" } else { "no" }
            );
        }
    }
}

/// Name, result and measured values of each target.
fn targets(results: &Results) -> Vec<(String, &'static str, String)> {
    let swing_traces = ["swing", "fast_swing", "withdrawn", "late_reports"];
    let flood_traces = ["flood_background", "flood_urgent"];
    let mut list = Vec::new();
    let mut add = |name: String, traces: &[&str], check: &dyn Fn() -> Option<(bool, String)>| {
        let Some((is_met, detail)) = check() else {
            list.push((name, "not run", String::new()));
            return;
        };
        let is_counted = traces
            .iter()
            .filter_map(|trace| results.get(*trace))
            .all(|policies| policies.values().all(|outcome| outcome.is_counted));
        let result = match (is_counted, is_met) {
            (false, _) => "not counted",
            (true, true) => "met",
            (true, false) => "unmet",
        };
        let detail = match is_counted {
            true => detail,
            false => format!(
                "{detail}, which would be {}",
                if is_met { "met" } else { "unmet" }
            ),
        };
        list.push((name, result, detail));
    };
    let sum = |policy: &str, of: &dyn Fn(&Outcome) -> f64| -> Option<f64> {
        let outcomes: Vec<&Outcome> = swing_traces
            .iter()
            .filter_map(|trace| results.get(*trace)?.get(policy))
            .collect();
        (!outcomes.is_empty()).then(|| outcomes.into_iter().map(of).sum())
    };
    for (policy, factor) in [("least_in_flight", 1.25), ("threshold", 1.1)] {
        add(
            format!("weighted goodput over the swings at least {factor} times {policy}"),
            &swing_traces,
            &|| {
                let ratio = sum(OURS, &|outcome| outcome.weighted_goodput)?
                    / sum(policy, &|outcome| outcome.weighted_goodput)?.max(1.0);
                Some((ratio >= factor, format!("{ratio:.3}")))
            },
        );
    }
    // Weighted goodput of `OURS` and of the best policy with a fixed split of roles.
    let ours_and_best_split = |trace: &str| -> Option<(f64, f64)> {
        let policies = results.get(trace)?;
        let splits = policies
            .iter()
            .filter(|(name, _)| name.starts_with("split_"));
        let best = splits
            .map(|(_, outcome)| outcome.weighted_goodput)
            .fold(0.0, f64::max);
        Some((policies.get(OURS)?.weighted_goodput, best))
    };
    add(
        "at least 0.95 of the best fixed split on steady load".to_owned(),
        &["steady"],
        &|| {
            let (ours, best) = ours_and_best_split("steady")?;
            Some((ours >= 0.95 * best, format!("{:.3}", ours / best.max(1.0))))
        },
    );
    for trace in swing_traces {
        add(
            format!("above the best fixed split on {trace}"),
            &[trace],
            &|| {
                let (ours, best) = ours_and_best_split(trace)?;
                Some((ours > best, format!("{:.3}", ours / best.max(1.0))))
            },
        );
    }
    add(
        "at most half of the threshold switcher's role changes over the swings".to_owned(),
        &swing_traces,
        &|| {
            let changes = |outcome: &Outcome| outcome.role_changes as f64;
            let (ours, threshold) = (sum(OURS, &changes)?, sum("threshold", &changes)?);
            Some((ours <= threshold / 2.0, format!("{ours} of {threshold}")))
        },
    );
    let ours = |trace: &str| results.get(trace)?.get(OURS);
    add(
        "no role change on swings too fast to pay".to_owned(),
        &["fast_swing"],
        &|| {
            let changes = ours("fast_swing")?.role_changes;
            Some((changes == 0, format!("{changes}")))
        },
    );
    add(
        "most urgent rank at least 99% on time while the least urgent floods".to_owned(),
        &["flood_background"],
        &|| {
            let share = ours("flood_background")?.on_time["urgent"];
            Some((share >= 0.99, format!("{:.2}%", 100.0 * share)))
        },
    );
    add(
        "least urgent rank keeps 10% of engine-seconds while the most urgent floods".to_owned(),
        &["flood_urgent"],
        &|| {
            let work = background_work_in_flood(&ours("flood_urgent")?.summary);
            Some((work >= 0.1, format!("{:.1}%", 100.0 * work)))
        },
    );
    add(
        "no order refused for load in any flood".to_owned(),
        &flood_traces,
        &|| {
            let counts: Vec<u64> = flood_traces
                .iter()
                .filter_map(|trace| Some(ours(trace)?.orders_refused))
                .collect();
            (!counts.is_empty()).then(|| (counts.iter().sum::<u64>() == 0, format!("{counts:?}")))
        },
    );
    list
}

/// Share of the engine-seconds of the fleet during the flood, which is the middle half of the trace,
/// that was spent on background requests due in that time and completed.
fn background_work_in_flood(summary: &Value) -> f64 {
    let seconds = summary["timeline"]["ranks"]["background"].as_array();
    let seconds = seconds.map_or(&[][..], Vec::as_slice);
    let middle = &seconds[seconds.len() / 4..seconds.len() * 3 / 4];
    let tokens = |name: &str| -> f64 { middle.iter().filter_map(|s| s[name].as_f64()).sum() };
    let work_s = tokens("prompt_tokens") / START_PREFILL_TOKENS_PER_S
        + tokens("output_tokens") / START_DECODE_TOKENS_PER_S;
    work_s / (ENGINES * middle.len().max(1) as f64)
}

fn plot(path: &Path, title: &str, summary: &Value) -> Result<()> {
    let plot_error = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", path.display());
    let timeline = &summary["timeline"];
    let lines: Vec<_> = RANKS
        .iter()
        .map(|(rank, color)| (*rank, *color, on_time_rate(&timeline["ranks"][*rank])))
        .collect();
    let points = || lines.iter().flat_map(|(.., line)| line);
    let max_rate = points().map(|p| p.1).fold(1.0, f64::max);
    let end_s = points().map(|p| p.0).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (900, 360)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| plot_error(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..end_s, 0.0..max_rate * 1.1)
        .map_err(|e| plot_error(&e))?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("on-time responses per second")
        .draw()
        .map_err(|e| plot_error(&e))?;
    for (rank, color, line) in lines {
        chart
            .draw_series(LineSeries::new(line, &color))
            .map_err(|e| plot_error(&e))?
            .label(rank)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    let changes = timeline["role_changes_at_ms"].as_array();
    for at_ms in changes.into_iter().flatten().filter_map(Value::as_f64) {
        let at_s = at_ms / 1_000.0;
        let line = PathElement::new([(at_s, 0.0), (at_s, max_rate * 1.1)], GREEN.stroke_width(2));
        chart.draw_series([line]).map_err(|e| plot_error(&e))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|e| plot_error(&e))?;
    root.present().map_err(|e| plot_error(&e))
}

/// Moving average of the on-time responses per second, as points (time in seconds, rate).
fn on_time_rate(seconds: &Value) -> Vec<(f64, f64)> {
    let seconds = seconds.as_array().map_or(&[][..], Vec::as_slice);
    let on_time: Vec<f64> = seconds
        .iter()
        .map(|second| second["on_time"].as_f64().unwrap_or(0.0))
        .collect();
    (0..)
        .zip(on_time.windows(PLOT_WINDOW))
        .map(|(start, window)| {
            let middle = f64::from(start) + PLOT_WINDOW as f64 / 2.0;
            (middle, window.iter().sum::<f64>() / PLOT_WINDOW as f64)
        })
        .collect()
}

fn write_json(path: &Path, results: &Results, targets: &[(String, &str, String)]) -> Result<()> {
    let traces: BTreeMap<_, _> = results
        .iter()
        .map(|(trace, policies)| {
            let policies: BTreeMap<_, _> = policies
                .iter()
                .map(|(policy, outcome)| {
                    let value = json!({
                        "weighted_goodput": outcome.weighted_goodput,
                        "on_time_share": outcome.on_time,
                        "role_changes": outcome.role_changes,
                        "refused": outcome.refused,
                        "orders_refused": outcome.orders_refused,
                        "background_work_share": outcome.background_work_share,
                        "send_lag_p99_ms": outcome.send_lag_ms,
                        "counted": outcome.is_counted,
                    });
                    (policy, value)
                })
                .collect();
            (trace, policies)
        })
        .collect();
    let targets: Vec<Value> = targets
        .iter()
        .map(
            |(name, result, detail)| json!({"target": name, "verdict": result, "measured": detail}),
        )
        .collect();
    let weights: BTreeMap<_, _> = WEIGHTS.into_iter().collect();
    let document = json!({"weights": weights, "traces": traces, "targets": targets});
    fs::write(path, format!("{document:#}\n")).with_context(|| path.display().to_string())
}
