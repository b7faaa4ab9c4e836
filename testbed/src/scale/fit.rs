//! Fits a figure over the fleet's size by a line: least squares, with the residual as a measure of the fit. No I/O.

use serde::Serialize;

/// A figure at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The figure.
    pub value: f64,
}

/// `value = fixed + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The intercept: the part that does not grow with the size.
    pub fixed: f64,
    /// The increase per additional proxy with its backend.
    pub slope: f64,
    /// Residual standard deviation, with two degrees of freedom subtracted; none for two points, which the line always
    /// fits exactly.
    pub residual: Option<f64>,
    /// Fraction of the variance that the line explains; none if there is no variance, and for two points.
    pub r_squared: Option<f64>,
    /// Minimum and maximum of the fitted sizes.
    #[serde(rename = "played")]
    pub size_range: [f64; 2],
}

/// The value that a line predicts for a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// The size.
    pub size: f64,
    /// The figure.
    pub value: f64,
    /// Whether the size is outside the range of the fitted sizes, so that the figure is only an estimate.
    pub extrapolated: bool,
}

/// Fits a line; `None` for fewer than two different sizes.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |field: fn(&Point) -> f64| points.iter().map(field).sum::<f64>() / count;
    let (mean_size, mean_value) = (mean(|p| p.size), mean(|p| p.value));
    let size_square_sum: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    if points.len() < 2 || size_square_sum == 0.0 {
        return None;
    }
    let product_sum: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let slope = product_sum / size_square_sum;
    let fixed = mean_value - slope * mean_size;
    let residual_square_sum: f64 = points.iter().map(|p| (p.value - fixed - slope * p.size).powi(2)).sum();
    let total_square_sum: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
    let has_residual = points.len() > 2;
    let sizes = points.iter().map(|p| p.size);
    Some(Fit {
        fixed,
        slope,
        residual: has_residual.then(|| (residual_square_sum / (count - 2.0)).sqrt()),
        r_squared: (has_residual && total_square_sum > 0.0)
            .then(|| 1.0 - residual_square_sum / total_square_sum),
        size_range: [sizes.clone().fold(f64::INFINITY, f64::min), sizes.fold(f64::NEG_INFINITY, f64::max)],
    })
}

impl Fit {
    /// Predicts the value at `size`.
    pub fn predict(&self, size: f64) -> Prediction {
        let [min, max] = self.size_range;
        Prediction { size, value: self.fixed + self.slope * size, extrapolated: !(min..=max).contains(&size) }
    }
}
