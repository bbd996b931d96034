//! A straight line through points whose sizes lie orders apart.

use serde::{Deserialize, Serialize};

/// A point counts as off the line from this part of the line's value on.
pub const OFF: f64 = 0.25;

/// `fixed + slope * size`, by least squares of the differences as parts of the values: without that the largest size alone
/// would say what the line is, and nothing would be known of what is fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub fixed: f64,
    pub slope: f64,
    /// Root of the mean square of the differences, as parts of the line's values.
    pub spread: f64,
    /// Sizes at which the value is off the line by more than [`OFF`] of it.
    pub off: Vec<f64>,
    pub points: usize,
    /// Of the sizes that ran.
    pub least: f64,
    pub most: f64,
}

/// `value` grows with this power of the size, over the greater half of the sizes: what is no line, as where each of many is
/// compared with all others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Power {
    pub order: f64,
    /// At size 1, were it so from there on.
    pub factor: f64,
    /// As of a line.
    pub spread: f64,
    pub most: f64,
}

impl Power {
    /// None of fewer than three points that are above zero.
    pub fn of(points: &[(f64, f64)]) -> Option<Power> {
        let mut used: Vec<(f64, f64)> = points.iter().copied().filter(|point| point.1 > 0.0).collect();
        used.drain(..(used.len() / 2).min(used.len().saturating_sub(3)));
        if used.len() < 3 {
            return None;
        }
        let count = used.len() as f64;
        let logs = || used.iter().map(|(x, y)| (x.ln(), y.ln()));
        let (x, y) = (logs().map(|at| at.0).sum::<f64>() / count, logs().map(|at| at.1).sum::<f64>() / count);
        let across: f64 = logs().map(|at| (at.0 - x).powi(2)).sum();
        if across <= 0.0 {
            return None;
        }
        let order = logs().map(|at| (at.0 - x) * (at.1 - y)).sum::<f64>() / across;
        let factor = (y - order * x).exp();
        let part = |(x, y): &(f64, f64)| y / (factor * x.powf(order)) - 1.0;
        let squares: f64 = used.iter().map(|point| part(point).powi(2)).sum();
        let most = used.iter().map(|(x, _)| *x).fold(0.0, f64::max);
        Some(Power { order, factor, spread: (squares / count).sqrt(), most })
    }

    pub fn reach(&self, size: f64) -> Reach {
        let value = self.factor * size.powf(self.order);
        Reach { size, value, plus_minus: value * self.spread, beyond: size / self.most }
    }
}

/// A value beyond what ran.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reach {
    pub size: f64,
    pub value: f64,
    /// By the spread of the points; what another mechanism would add out there is not in it.
    pub plus_minus: f64,
    /// How many times the greatest size that ran.
    pub beyond: f64,
}

impl Fit {
    /// None of fewer than three points that are above zero, or of one size.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let used: Vec<(f64, f64)> = points.iter().copied().filter(|(_, value)| *value > 0.0).collect();
        if used.len() < 3 {
            return None;
        }
        // Each point weighs by one over the square of its value.
        let (mut w, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (x, y) in &used {
            let weight = 1.0 / (y * y);
            w += weight;
            wx += weight * x;
            wy += weight * y;
            wxx += weight * x * x;
            wxy += weight * x * y;
        }
        let across = w * wxx - wx * wx;
        if across <= f64::EPSILON * w * wxx {
            return None;
        }
        let slope = (w * wxy - wx * wy) / across;
        let fixed = (wy - slope * wx) / w;
        Some(Fit::through(&used, fixed, slope))
    }

    /// The mean of what should not grow with the size; where it does, the sizes say so that are off.
    pub fn level(points: &[(f64, f64)]) -> Option<Fit> {
        let used: Vec<(f64, f64)> = points.iter().copied().filter(|(_, value)| *value > 0.0).collect();
        let mean = used.iter().map(|(_, value)| value).sum::<f64>() / used.len().max(1) as f64;
        (used.len() >= 3).then(|| Fit::through(&used, mean, 0.0))
    }

    fn through(used: &[(f64, f64)], fixed: f64, slope: f64) -> Fit {
        let part = |(x, y): &(f64, f64)| {
            let line = fixed + slope * x;
            if line > 0.0 { (y - line) / line } else { f64::INFINITY }
        };
        let squares: f64 = used.iter().map(|point| part(point).powi(2)).sum();
        Fit {
            fixed,
            slope,
            spread: (squares / used.len() as f64).sqrt(),
            off: used.iter().filter(|point| part(point).abs() > OFF).map(|(x, _)| *x).collect(),
            points: used.len(),
            least: used.iter().map(|(x, _)| *x).fold(f64::INFINITY, f64::min),
            most: used.iter().map(|(x, _)| *x).fold(0.0, f64::max),
        }
    }

    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * size
    }

    pub fn reach(&self, size: f64) -> Reach {
        let value = self.at(size);
        Reach { size, value, plus_minus: value.abs() * self.spread, beyond: size / self.most }
    }
}

/// Sizes from the least to the greatest, two to an order.
pub fn sizes(least: f64, most: f64) -> Vec<f64> {
    let mut sizes = Vec::new();
    let mut decade = least;
    while decade < most {
        sizes.push(decade);
        if decade * 3.0 < most {
            sizes.push(decade * 3.0);
        }
        decade *= 10.0;
    }
    sizes.push(most);
    sizes
}
