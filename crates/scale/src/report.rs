//! Runs a role over its sizes, fits its figures and carries them on.

use crate::fit::{Fit, Power, Reach, sizes};
use crate::meter::{Meter, room};
use crate::{Reading, Role, Sort};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// A size whose run is shorter than this is run again, and the middle of its times counts.
const SHORT: Duration = Duration::from_millis(1500);
pub const RUNS: usize = 3;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub size: f64,
    /// How often it ran; times are the middle one of that many.
    pub runs: usize,
    pub readings: Vec<Reading>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub name: String,
    pub sort: Sort,
    /// None where there are too few points for a line, or they are 0.
    pub fit: Option<Fit>,
    /// Where the line misses the greatest size that ran: the power that goes through the greater ones, by which it is
    /// then carried on.
    pub power: Option<Power>,
    pub reach: Option<Reach>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub role: String,
    pub unit: String,
    pub seed: u64,
    pub assumes: Vec<String>,
    pub points: Vec<Point>,
    pub lines: Vec<Line>,
    /// Sizes that were asked for and did not run, and why.
    pub not_run: Vec<String>,
}

impl Report {
    /// Measures up to a size, each size so often if that is short. What doesn't fit in memory is not begun.
    ///
    /// # Errors
    ///
    /// What went wrong at which size.
    pub fn run(
        role: &dyn Role,
        to: f64,
        seed: u64,
        runs: usize,
        meter: &Meter,
        tell: &mut dyn FnMut(&Point),
    ) -> Result<Report, String> {
        let (least, _) = role.range();
        if !(to.is_finite() && to > least) {
            return Err(format!("--to: {to} is not over {least}, the least that {} are run at", role.unit()));
        }
        let mut points = Vec::new();
        let mut not_run = Vec::new();
        for size in sizes(least, to) {
            let (needs, room) = (role.needs(size), room());
            if needs > room {
                let (needs, room) = (needs / 1e9, room / 1e9);
                not_run.push(format!("{size}: it may need {needs:.1} GB, and {room:.1} GB may be used"));
                continue;
            }
            let point =
                point(role, size, seed, runs, meter).map_err(|e| format!("{} {size}: {e}", role.name()))?;
            tell(&point);
            points.push(point);
        }
        let names = points.first().map(|point: &Point| point.readings.clone()).unwrap_or_default();
        let lines = names.into_iter().map(|reading| {
            let value =
                |point: &Point| point.readings.iter().find(|r| r.name == reading.name).map(|r| r.value);
            let values: Vec<(f64, f64)> =
                points.iter().filter_map(|point| Some((point.size, value(point)?))).collect();
            let fit = if reading.sort == Sort::Each { Fit::level(&values) } else { Fit::of(&values) };
            let misses = fit.as_ref().is_some_and(|fit| fit.off.contains(&fit.most));
            let power = if misses { Power::of(&values) } else { None };
            let reach = match (&power, &fit) {
                (Some(power), _) => Some(power.reach(role.goal())),
                (None, fit) => fit.as_ref().map(|fit| fit.reach(role.goal())),
            };
            Line { name: reading.name, sort: reading.sort, fit, power, reach }
        });
        Ok(Report {
            role: role.name().to_owned(),
            unit: role.unit().to_owned(),
            seed,
            assumes: role.about().assumes.iter().map(|&a| a.to_owned()).collect(),
            lines: lines.collect(),
            points,
            not_run,
        })
    }

    /// What is the same whenever it is run with the same seed, by size and name.
    pub fn counts(&self) -> Vec<(f64, String, f64)> {
        let of = |point: &Point| {
            let counts = point.readings.iter().filter(|reading| reading.sort == Sort::Count);
            counts.map(|reading| (point.size, reading.name.clone(), reading.value)).collect::<Vec<_>>()
        };
        self.points.iter().flat_map(of).collect()
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for assumed in &self.assumes {
            _ = writeln!(text, "assumed: {assumed}");
        }
        for line in &self.lines {
            let Some((fit, reach)) = line.fit.as_ref().zip(line.reach) else {
                _ = writeln!(text, "{:<46} no line: too few points above 0", line.name);
                continue;
            };
            let (name, spread, beyond) = (&line.name, fit.spread * 100.0, reach.beyond);
            let how_far =
                if beyond <= 1.0 { "ran".to_owned() } else { format!("{beyond:.1} times what ran") };
            let off: Vec<String> = fit.off.iter().map(f64::to_string).collect();
            let off =
                if off.is_empty() { String::new() } else { format!("; off the line: {}", off.join(", ")) };
            let form = match line.power {
                Some(power) => {
                    let (order, spread) = (power.order, power.spread * 100.0);
                    format!("no line: grows with the power {order:.2} of the size, spread {spread:.0} %")
                }
                None => {
                    let (fixed, slope) = (figure(fit.fixed, line.sort), figure(fit.slope, line.sort));
                    format!("{fixed} + {slope} a unit, spread {spread:.0} %")
                }
            };
            _ = writeln!(
                text,
                "{name:<46} {form}, {} points to {}: at {:.0} {} +- {} ({how_far}){off}",
                fit.points,
                fit.most,
                reach.size,
                figure(reach.value, line.sort),
                figure(reach.plus_minus, line.sort),
            );
        }
        for not_run in &self.not_run {
            _ = writeln!(text, "not run: {} {not_run}", self.unit);
        }
        text
    }
}

fn point(role: &dyn Role, size: f64, seed: u64, most: usize, meter: &Meter) -> Result<Point, String> {
    let mut runs = Vec::new();
    let begun = Instant::now();
    while runs.is_empty() || (runs.len() < most && begun.elapsed() < SHORT) {
        runs.push(role.measure(size, seed, meter)?);
    }
    let first = runs[0].clone();
    let mut readings = Vec::new();
    for (at, reading) in first.into_iter().enumerate() {
        let mut values: Vec<f64> = runs.iter().map(|run| run[at].value).collect();
        if reading.sort == Sort::Count && values.iter().any(|value| *value != reading.value) {
            return Err(format!("{}: {values:?} of one seed", reading.name));
        }
        values.sort_by(f64::total_cmp);
        readings.push(Reading { value: values[values.len() / 2], ..reading });
    }
    Ok(Point { size, runs: runs.len(), readings })
}

/// A number with its unit, in some three digits.
pub fn figure(value: f64, sort: Sort) -> String {
    let scaled = |value: f64, steps: &[(f64, &str)]| {
        let (over, unit) = steps.iter().rev().find(|(over, _)| value.abs() >= *over).unwrap_or(&steps[0]);
        let value = value / over;
        let digits = if value.abs() >= 100.0 {
            0
        } else if value.abs() >= 10.0 {
            1
        } else {
            2
        };
        format!("{value:.digits$} {unit}").trim_end().to_owned()
    };
    match sort {
        Sort::Count | Sort::Blocks => {
            scaled(value, &[(1.0, ""), (1e3, "k"), (1e6, "M"), (1e9, "G"), (1e12, "T")])
        }
        Sort::Heap => scaled(value, &[(1.0, "B"), (1e3, "kB"), (1e6, "MB"), (1e9, "GB"), (1e12, "TB")]),
        Sort::Micros | Sort::Each => scaled(value, &[(1.0, "us"), (1e3, "ms"), (1e6, "s")]),
    }
}
