//! Reports of experiments as a table, as JSON and as a plot.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, Palette, Palette99, Rectangle,
    SVGBackend, SegmentValue, WHITE,
};
use radishstair_core::dispatch::Policy;
use serde_json::{Value, json};

use crate::metrics::Metrics;

/// One arm of an experiment: the runs of one policy.
#[derive(Debug)]
pub struct Arm {
    /// Policy.
    pub policy: Policy,
    /// Metrics of the run with each seed.
    pub runs: Vec<Metrics>,
}

/// Mean and range of a figure over the seeds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Summary {
    /// Mean over the seeds.
    pub mean: f64,
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
}

/// Name of a policy on the command line.
pub fn policy_name(policy: Policy) -> String {
    serde_json::to_value(policy)
        .ok()
        .and_then(|value| value.as_str().map(str::to_string))
        .unwrap_or_default()
}

impl Arm {
    /// Summary of a metric over the seeds.
    pub fn summarize(&self, metric: impl Fn(&Metrics) -> f64) -> Summary {
        let values: Vec<f64> = self.runs.iter().map(metric).collect();
        Summary {
            mean: values.iter().sum::<f64>() / (values.len() as f64).max(1.0),
            low: values.iter().copied().fold(f64::INFINITY, f64::min),
            high: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }

    fn figures(&self) -> Vec<(String, Summary)> {
        let mut figures = vec![("attainment".to_string(), self.summarize(Metrics::attainment))];
        for class in self
            .runs
            .iter()
            .flat_map(|run| run.classes.keys())
            .collect::<std::collections::BTreeSet<_>>()
        {
            let attainment = |run: &Metrics| run.classes.get(class).map_or(0.0, |counts| counts.attainment());
            figures.push((format!("attainment {class}"), self.summarize(attainment)));
            let late = |run: &Metrics| run.classes.get(class).map_or(0.0, |counts| counts.late as f64);
            figures.push((format!("late {class}"), self.summarize(late)));
            let min_completions = |run: &Metrics| run.min_completions_per_minute(class) as f64;
            figures.push((format!("poorest minute {class}"), self.summarize(min_completions)));
        }
        figures.push((
            "worst customer".into(),
            self.summarize(Metrics::worst_customer_ratio),
        ));
        figures.push(("good tokens".into(), self.summarize(|run| run.good_tokens as f64)));
        figures.push((
            "wasted tokens".into(),
            self.summarize(|run| run.wasted_tokens as f64),
        ));
        figures.push(("refusals".into(), self.summarize(|run| run.refusals.0 as f64)));
        figures.push((
            "refusals after 50 ms".into(),
            self.summarize(|run| run.refusals.1 as f64),
        ));
        let in_time =
            |run: &Metrics| run.reserved_retries.1 as f64 / (run.reserved_retries.0 as f64).max(1.0);
        figures.push(("promises kept".into(), self.summarize(in_time)));
        let hits = |run: &Metrics| run.prefix_lookups.1 as f64 / (run.prefix_lookups.0 as f64).max(1.0);
        figures.push(("prefix hits".into(), self.summarize(hits)));
        figures.push((
            "broken by reclaim".into(),
            self.summarize(|run| run.broken_by_reclaim as f64),
        ));
        figures.push(("spending".into(), self.summarize(|run| run.cost)));
        for pool in self
            .runs
            .iter()
            .flat_map(|run| run.pool_tokens.keys())
            .collect::<std::collections::BTreeSet<_>>()
        {
            let share = |run: &Metrics| {
                let all: u64 = run.pool_tokens.values().sum();
                run.pool_tokens.get(pool).copied().unwrap_or(0) as f64 / (all as f64).max(1.0)
            };
            figures.push((format!("work on {pool}"), self.summarize(share)));
        }
        figures
    }
}

/// Prints a table with one row per figure and one column per policy.
pub fn print(arms: &[Arm]) {
    let columns: Vec<Vec<(String, Summary)>> = arms.iter().map(Arm::figures).collect();
    print!("{:<34}", "mean (lowest to highest)");
    arms.iter()
        .for_each(|arm| print!("{:>28}", policy_name(arm.policy)));
    println!();
    for (at, (figure, _)) in columns.first().into_iter().flatten().enumerate() {
        print!("{figure:<34}");
        for column in &columns {
            let text = column
                .get(at)
                .map_or(String::new(), |(_, summary)| format_summary(*summary));
            print!("{text:>28}");
        }
        println!();
    }
}

fn format_summary(summary: Summary) -> String {
    match summary.high {
        high if high <= 2.0 => format!("{:.3} ({:.3} to {:.3})", summary.mean, summary.low, summary.high),
        _ => format!("{:.0} ({:.0} to {:.0})", summary.mean, summary.low, summary.high),
    }
}

/// Figures of all policies as JSON; `seeds` is the first seed and the number of seeds.
pub fn json(scenario: &str, seeds: (u64, u64), arms: &[Arm]) -> Value {
    let columns: Vec<Value> = arms
        .iter()
        .map(|arm| {
            let figures: serde_json::Map<String, Value> = arm
                .figures()
                .into_iter()
                .map(|(figure, summary)| (figure, json!(summary)))
                .collect();
            json!({ "policy": policy_name(arm.policy), "figures": figures })
        })
        .collect();
    json!({ "scenario": scenario, "first_seed": seeds.0, "seeds": seeds.1, "policies": columns })
}

/// Plots the mean attainment by class and policy to an SVG file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn plot(path: &Path, title: &str, arms: &[Arm]) -> Result<()> {
    let classes: Vec<String> = arms
        .first()
        .and_then(|arm| arm.runs.first())
        .map(|run| run.classes.keys().cloned().collect())
        .unwrap_or_default();
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    let plot_error = |err: String| anyhow!(err).context(format!("plotting {}", path.display()));
    root.fill(&WHITE).map_err(|err| plot_error(err.to_string()))?;
    let bars = classes.len() * (arms.len() + 1);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d((0..bars.max(1)).into_segmented(), 0.0..1.05)
        .map_err(|err| plot_error(err.to_string()))?;
    let label = |at: &SegmentValue<usize>| match at {
        SegmentValue::CenterOf(at) if at % (arms.len() + 1) == arms.len() / 2 => {
            classes.get(at / (arms.len() + 1)).cloned().unwrap_or_default()
        }
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars)
        .x_label_formatter(&label)
        .y_desc("share in time")
        .draw()
        .map_err(|err| plot_error(err.to_string()))?;
    for (at, arm) in arms.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let bar = |(class, name): (usize, &String)| {
            let attainment = |run: &Metrics| run.classes.get(name).map_or(0.0, |counts| counts.attainment());
            let x = class * (arms.len() + 1) + at;
            let corners = [
                (SegmentValue::Exact(x), 0.0),
                (SegmentValue::Exact(x + 1), arm.summarize(attainment).mean),
            ];
            Rectangle::new(corners, color.filled())
        };
        chart
            .draw_series(classes.iter().enumerate().map(bar))
            .map_err(|err| plot_error(err.to_string()))?
            .label(policy_name(arm.policy))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|err| plot_error(err.to_string()))?;
    root.present().context("writing the plot")
}
