//! Least squares over a stated form, and its check by a point that was held out.

use serde::Serialize;

/// The largest relative error of the held-out point at which a form stands.
pub const HELD_OUT_WITHIN: f64 = 0.15;
/// A form with a slope is taken only where it leaves less than this share of the constant's residual.
const WORTH_A_SLOPE: f64 = 0.5;
/// A constant that leaves no more than this is taken, whatever a slope would leave: over orders of magnitude the least
/// noise would else become a slope.
const CONSTANT_WITHIN: f64 = 0.002;
/// Points that are fitted at least, beside the one that is held out.
const FEWEST: usize = 3;

/// How a figure depends on the size `n`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Form {
    /// `a`.
    Constant,
    /// `a + b * n`.
    Linear,
    /// `a + b * n * log2(n)`.
    Linearithmic,
}

impl Form {
    /// As it stands in a page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Linear => "n",
            Self::Linearithmic => "n log n",
        }
    }

    fn term(self, n: f64) -> f64 {
        match self {
            Self::Constant => 0.0,
            Self::Linear => n,
            Self::Linearithmic => n * n.max(1.0).log2(),
        }
    }
}

/// A form with its coefficients, fitted to all points but the largest.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// The form.
    pub form: Form,
    /// The value at size 0.
    pub base: f64,
    /// What is added for each unit of the form's term.
    pub slope: f64,
    /// Root of the mean squared relative residual, corrected for the number of coefficients.
    pub residual: f64,
    /// Error of the prediction for the largest point, relative to what was measured there.
    pub held_out_error: f64,
}

impl Fit {
    /// The figure at a size.
    pub fn at(&self, n: f64) -> f64 {
        self.base + self.slope * self.form.term(n)
    }

    /// The held-out point was predicted within [`HELD_OUT_WITHIN`].
    pub fn stands(&self) -> bool {
        self.held_out_error.abs() <= HELD_OUT_WITHIN
    }

    /// Fits the best form to points of size and value, in ascending order of size. The squares of relative residuals
    /// are summed, since sizes and values span orders of magnitude. Nothing with fewer than four points, or where a
    /// value is negative or not finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let ((n, measured), fitted) = points.split_last()?;
        let sound = points.iter().all(|(_, value)| value.is_finite() && *value >= 0.0);
        if fitted.len() < FEWEST || !sound {
            return None;
        }
        let constant = fit(Form::Constant, fitted);
        let sloped = [Form::Linear, Form::Linearithmic].map(|form| fit(form, fitted));
        let sloped = sloped.into_iter().min_by(|a, b| a.residual.total_cmp(&b.residual))?;
        let level = constant.residual <= CONSTANT_WITHIN;
        let steep = sloped.residual < constant.residual * WORTH_A_SLOPE;
        let best = if steep && !level { sloped } else { constant };
        let held_out_error = relative(best.at(*n) - measured, *measured);
        Some(Self { held_out_error, ..best })
    }
}

/// Relative to a value; the absolute error where that is zero.
fn relative(error: f64, value: f64) -> f64 {
    if value == 0.0 { error } else { error / value }
}

/// Weighted least squares in closed form; the weight of a point is one over its value squared.
fn fit(form: Form, points: &[(f64, f64)]) -> Fit {
    let weight = |value: f64| if value == 0.0 { 1.0 } else { value.powi(-2) };
    let sum = |of: &dyn Fn(f64, f64) -> f64| -> f64 {
        points.iter().map(|(n, value)| weight(*value) * of(form.term(*n), *value)).sum()
    };
    let (ones, terms, values) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (squares, products) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let determinant = ones * squares - terms * terms;
    let (base, slope) = match form {
        Form::Constant => (values / ones, 0.0),
        _ => {
            let slope = (ones * products - terms * values) / determinant;
            ((values - slope * terms) / ones, slope)
        }
    };
    let coefficients = if form == Form::Constant { 1 } else { 2 };
    let unfitted = Fit { form, base, slope, residual: 0.0, held_out_error: 0.0 };
    let squared = points.iter().map(|(n, value)| relative(unfitted.at(*n) - value, *value).powi(2));
    let free = (points.len() - coefficients).max(1);
    Fit { residual: (squared.sum::<f64>() / free as f64).sqrt(), ..unfitted }
}
