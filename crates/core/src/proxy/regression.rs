//! Linear regression by weighted least squares.
//!
//! Newer samples weigh more. The priors hold until there are enough samples, and for features
//! that do not vary in them.

/// Number of samples over which the weight of a sample falls to about a third.
const MEMORY_SAMPLES: f64 = 250.0;
/// Maximum deviation of a sample from its prediction, relative to the prediction. A request that
/// met an unknown queue says little about its runner.
const MAX_DEVIATION: f64 = 1.0;

/// Coefficients of `N` features.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression<const N: usize> {
    prior: [f64; N],
    /// Weight of each prior, as a number of samples in which the feature is 1.
    prior_weight: [f64; N],
    squares: [[f64; N]; N],
    products: [f64; N],
    coefficients: [f64; N],
}

impl<const N: usize> Regression<N> {
    /// Starts with the given priors as coefficients.
    pub fn new(prior: [f64; N], prior_weight: [f64; N]) -> Self {
        Self {
            prior,
            prior_weight,
            squares: [[0.0; N]; N],
            products: [0.0; N],
            coefficients: prior,
        }
    }

    /// Coefficient of a feature; never negative.
    pub fn coefficient(&self, feature: usize) -> f64 {
        self.coefficients[feature]
    }

    /// Predicted value for the given features.
    pub fn predict(&self, features: &[f64; N]) -> f64 {
        let terms = self.coefficients.iter().zip(features);
        terms.map(|(coefficient, value)| coefficient * value).sum()
    }

    /// Adds a sample; an ordinary one has the weight 1.
    pub fn observe(&mut self, features: &[f64; N], value: f64, weight: f64) {
        let expected = self.predict(features);
        let deviation = expected.abs() * MAX_DEVIATION;
        let value = value.clamp(expected - deviation, expected + deviation);
        let kept = 1.0 - 1.0 / MEMORY_SAMPLES;
        for row in 0..N {
            for column in 0..N {
                let square = &mut self.squares[row][column];
                *square = *square * kept + weight * features[row] * features[column];
            }
            let product = &mut self.products[row];
            *product = *product * kept + weight * features[row] * value;
        }
        self.solve();
    }

    /// Solves the normal equations by elimination; the priors keep them regular.
    fn solve(&mut self) {
        let mut left = self.squares;
        let mut right = self.products;
        for at in 0..N {
            left[at][at] += self.prior_weight[at];
            right[at] += self.prior_weight[at] * self.prior[at];
        }
        for pivot in 0..N {
            for row in pivot + 1..N {
                let factor = left[row][pivot] / left[pivot][pivot];
                let above = left[pivot];
                for (value, above) in left[row].iter_mut().zip(above).skip(pivot) {
                    *value -= factor * above;
                }
                right[row] -= factor * right[pivot];
            }
        }
        for row in (0..N).rev() {
            let known = (row + 1..N).map(|column| left[row][column] * self.coefficients[column]);
            let rest = right[row] - known.sum::<f64>();
            self.coefficients[row] = (rest / left[row][row]).max(0.0);
        }
    }
}
