//! The form of a cost by size, by least squares: the simplest form that is not clearly worse than the best.

use serde::{Deserialize, Serialize};

use super::record::Point;

/// Fewer sizes give no form.
pub const SIZES_LEAST: usize = 4;
/// A form that leaves no more than this share is good enough, however well another fits: no clock here is better.
const GOOD: f64 = 0.02;
/// A simpler form is taken as long as it leaves no more than this many times what the best leaves.
const CLEARLY: f64 = 2.0;

/// What `y = a + b f(x)` grows with; from the simplest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// `a`
    Constant,
    /// `a + b x`
    Linear,
    /// `a + b x ln x`
    LogLinear,
    /// `a + b x^2`
    Quadratic,
}

impl Form {
    /// From the simplest on.
    pub const ALL: [Self; 4] = [Self::Constant, Self::Linear, Self::LogLinear, Self::Quadratic];

    fn of(self, x: f64) -> f64 {
        match self {
            Self::Constant => 0.0,
            Self::Linear => x,
            Self::LogLinear => x * x.max(1.0).ln(),
            Self::Quadratic => x * x,
        }
    }

    /// As it stands in tables.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Linear => "n",
            Self::LogLinear => "n log n",
            Self::Quadratic => "n^2",
        }
    }
}

/// A form with its two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub form: Form,
    pub a: f64,
    pub b: f64,
    /// Root of the mean square of what the form leaves, by degrees of freedom, as a share of the mean of `y`.
    pub residual: f64,
    /// The largest `x` measured.
    pub largest: f64,
}

impl Fit {
    /// What the form says there.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.a + self.b * self.form.of(x)
    }

    /// How many times beyond the largest size measured; 1 or less is no extrapolation.
    #[must_use]
    pub fn beyond(&self, x: f64) -> f64 {
        x / self.largest
    }

    /// The size at which a limit is met, where it is met at all.
    #[must_use]
    pub fn meets(&self, limit: f64) -> Option<f64> {
        if self.at(0.0) >= limit {
            return Some(0.0);
        }
        let (mut low, mut high) = (0.0, 1e9);
        if self.at(high) < limit {
            return None;
        }
        for _ in 0..200 {
            let mid = f64::midpoint(low, high);
            if self.at(mid) < limit { low = mid } else { high = mid }
        }
        Some(high)
    }
}

/// The form that some points have; none with fewer than four different sizes, or where a number is none.
#[must_use]
pub fn fit(points: &[Point]) -> Option<Fit> {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.x).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < SIZES_LEAST || points.iter().any(|p| !p.x.is_finite() || !p.y.is_finite() || p.x < 0.0) {
        return None;
    }
    let n = points.len() as f64;
    let mean = points.iter().map(|p| p.y.abs()).sum::<f64>() / n;
    // What can't be told from the spread of the measurements themselves is no reason for a richer form.
    let spread = points.iter().map(|p| p.spread).sum::<f64>() / n / mean.max(f64::MIN_POSITIVE);
    let all: Vec<Fit> =
        Form::ALL.iter().filter_map(|&form| least_squares(form, points, mean, *sizes.last()?)).collect();
    let best = all.iter().map(|f| f.residual).fold(f64::INFINITY, f64::min);
    all.into_iter().find(|f| f.residual <= (CLEARLY * best).max(GOOD).max(spread))
}

fn least_squares(form: Form, points: &[Point], mean: f64, largest: f64) -> Option<Fit> {
    let n = points.len() as f64;
    let (fx, y) = (|p: &Point| form.of(p.x), |p: &Point| p.y);
    let (mx, my) = (points.iter().map(fx).sum::<f64>() / n, points.iter().map(y).sum::<f64>() / n);
    let (a, b, taken) = if form == Form::Constant {
        (my, 0.0, 1.0)
    } else {
        let sxx: f64 = points.iter().map(|p| (fx(p) - mx).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (fx(p) - mx) * (y(p) - my)).sum();
        let b = sxy / sxx;
        (my - b * mx, b, 2.0)
    };
    // What levels off is no curve that bends downwards: beyond the last point that would fall.
    if !b.is_finite() || (b < 0.0 && !matches!(form, Form::Linear)) {
        return None;
    }
    let left: f64 = points.iter().map(|p| (y(p) - a - b * fx(p)).powi(2)).sum();
    let residual = if mean == 0.0 { 0.0 } else { (left / (n - taken)).sqrt() / mean };
    Some(Fit { form, a, b, residual, largest })
}
