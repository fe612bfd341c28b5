//! Reports of experiments: a table, JSON, and a plot.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, Palette, Palette99, Rectangle,
    SVGBackend, SegmentValue, WHITE,
};
use radishstair_core::dispatch::Policy;
use serde_json::{Value, json};

use crate::metrics::Metrics;

/// Measures of one policy over the seeds.
#[derive(Debug)]
pub struct Row {
    /// Policy.
    pub policy: Policy,
    /// One a seed.
    pub runs: Vec<Metrics>,
}

/// A figure's mean and spread over the seeds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Lowest.
    pub low: f64,
    /// Highest.
    pub high: f64,
}

/// Name of a policy on the command line.
pub fn name(policy: Policy) -> String {
    serde_json::to_value(policy)
        .ok()
        .and_then(|value| value.as_str().map(str::to_string))
        .unwrap_or_default()
}

impl Row {
    /// A figure over the seeds.
    pub fn spread(&self, of: impl Fn(&Metrics) -> f64) -> Spread {
        let values: Vec<f64> = self.runs.iter().map(of).collect();
        Spread {
            mean: values.iter().sum::<f64>() / (values.len() as f64).max(1.0),
            low: values.iter().copied().fold(f64::INFINITY, f64::min),
            high: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }

    fn figures(&self) -> Vec<(String, Spread)> {
        let mut figures = vec![("attainment".to_string(), self.spread(Metrics::attainment))];
        for class in self
            .runs
            .iter()
            .flat_map(|run| run.classes.keys())
            .collect::<std::collections::BTreeSet<_>>()
        {
            let of = |run: &Metrics| run.classes.get(class).map_or(0.0, |counts| counts.attainment());
            figures.push((format!("attainment {class}"), self.spread(of)));
            let late = |run: &Metrics| run.classes.get(class).map_or(0.0, |counts| counts.late as f64);
            figures.push((format!("late {class}"), self.spread(late)));
            let poorest = |run: &Metrics| run.min_completions_per_minute(class) as f64;
            figures.push((format!("poorest minute {class}"), self.spread(poorest)));
        }
        figures.push((
            "worst customer".into(),
            self.spread(Metrics::worst_customer_ratio),
        ));
        figures.push(("good tokens".into(), self.spread(|run| run.good_tokens as f64)));
        figures.push((
            "wasted tokens".into(),
            self.spread(|run| run.wasted_tokens as f64),
        ));
        figures.push(("refusals".into(), self.spread(|run| run.refusals.0 as f64)));
        figures.push((
            "refusals after 50 ms".into(),
            self.spread(|run| run.refusals.1 as f64),
        ));
        let kept = |run: &Metrics| run.reserved_retries.1 as f64 / (run.reserved_retries.0 as f64).max(1.0);
        figures.push(("promises kept".into(), self.spread(kept)));
        let hits = |run: &Metrics| run.prefix_lookups.1 as f64 / (run.prefix_lookups.0 as f64).max(1.0);
        figures.push(("prefix hits".into(), self.spread(hits)));
        figures.push((
            "broken by reclaim".into(),
            self.spread(|run| run.broken_by_reclaim as f64),
        ));
        figures.push(("spending".into(), self.spread(|run| run.cost)));
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
            figures.push((format!("work on {pool}"), self.spread(share)));
        }
        figures
    }
}

/// Prints a table with a column a policy.
pub fn print(rows: &[Row]) {
    let columns: Vec<Vec<(String, Spread)>> = rows.iter().map(Row::figures).collect();
    print!("{:<34}", "mean (lowest to highest)");
    rows.iter().for_each(|row| print!("{:>28}", name(row.policy)));
    println!();
    for (at, (figure, _)) in columns.first().into_iter().flatten().enumerate() {
        print!("{figure:<34}");
        for column in &columns {
            let text = column.get(at).map_or(String::new(), |(_, spread)| show(*spread));
            print!("{text:>28}");
        }
        println!();
    }
}

fn show(spread: Spread) -> String {
    match spread.high {
        high if high <= 2.0 => format!("{:.3} ({:.3} to {:.3})", spread.mean, spread.low, spread.high),
        _ => format!("{:.0} ({:.0} to {:.0})", spread.mean, spread.low, spread.high),
    }
}

/// The same figures as JSON.
pub fn json(scenario: &str, seeds: (u64, u64), rows: &[Row]) -> Value {
    let columns: Vec<Value> = rows
        .iter()
        .map(|row| {
            let figures: serde_json::Map<String, Value> = row
                .figures()
                .into_iter()
                .map(|(figure, spread)| (figure, json!(spread)))
                .collect();
            json!({ "policy": name(row.policy), "figures": figures })
        })
        .collect();
    json!({ "scenario": scenario, "first_seed": seeds.0, "seeds": seeds.1, "policies": columns })
}

/// A plot of attainment by class and policy.
///
/// # Errors
///
/// When the file cannot be written.
pub fn plot(path: &Path, title: &str, rows: &[Row]) -> Result<()> {
    let classes: Vec<String> = rows
        .first()
        .and_then(|row| row.runs.first())
        .map(|run| run.classes.keys().cloned().collect())
        .unwrap_or_default();
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    let failed = |err: String| anyhow!(err).context(format!("plotting {}", path.display()));
    root.fill(&WHITE).map_err(|err| failed(err.to_string()))?;
    let bars = classes.len() * (rows.len() + 1);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d((0..bars.max(1)).into_segmented(), 0.0..1.05)
        .map_err(|err| failed(err.to_string()))?;
    let label = |at: &SegmentValue<usize>| match at {
        SegmentValue::CenterOf(at) if at % (rows.len() + 1) == rows.len() / 2 => {
            classes.get(at / (rows.len() + 1)).cloned().unwrap_or_default()
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
        .map_err(|err| failed(err.to_string()))?;
    for (at, row) in rows.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let bar = |(class, name): (usize, &String)| {
            let of = |run: &Metrics| run.classes.get(name).map_or(0.0, |counts| counts.attainment());
            let x = class * (rows.len() + 1) + at;
            let corners = [
                (SegmentValue::Exact(x), 0.0),
                (SegmentValue::Exact(x + 1), row.spread(of).mean),
            ];
            Rectangle::new(corners, color.filled())
        };
        chart
            .draw_series(classes.iter().enumerate().map(bar))
            .map_err(|err| failed(err.to_string()))?
            .label(name(row.policy))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|err| failed(err.to_string()))?;
    root.present().context("writing the plot")
}
