//! A plot of an axis: what was measured, and its fit, up to the design size. Both scales are logarithmic.

use plotters::prelude::*;

use super::book::Book;
use super::figure::Figure;

const SIZE: (u32, u32) = (720, 320);
/// Points at which a fit is drawn.
const STEPS: i32 = 60;
/// Room beyond the least and the greatest value, as a factor.
const ROOM: f64 = 1.3;
const MEASURED: RGBColor = RGBColor(30, 90, 200);
const FITTED: RGBColor = RGBColor(200, 80, 30);

/// Draws a figure of an axis; nothing where there are not two points above zero.
pub fn draw(book: &Book, figure: Figure, design: u64) -> Option<String> {
    let measured: Vec<(f64, f64)> =
        book.taken(figure).into_iter().filter(|(n, value)| *n > 0.0 && *value > 0.0).collect();
    if measured.len() < 2 {
        return None;
    }
    let fitted = fitted(book, figure, measured[0].0, design as f64);
    svg(figure, &measured, &fitted).ok()
}

/// The fit from the smallest size to the design size, if it stands.
fn fitted(book: &Book, figure: Figure, from: f64, to: f64) -> Vec<(f64, f64)> {
    let Some(fit) = book.fit(figure).filter(|fit| fit.stands()) else { return Vec::new() };
    let step = (to / from).max(1.0).powf(1.0 / f64::from(STEPS));
    let sizes = (0..=STEPS).map(|at| from * step.powi(at));
    sizes.map(|size| (size, fit.at(size))).filter(|(_, value)| *value > 0.0).collect()
}

fn svg(
    figure: Figure,
    measured: &[(f64, f64)],
    fitted: &[(f64, f64)],
) -> Result<String, Box<dyn std::error::Error>> {
    let all = || measured.iter().chain(fitted);
    let bounds = |of: &dyn Fn(&(f64, f64)) -> f64| {
        let ends = all().fold((f64::MAX, 0.0_f64), |(low, high), at| (low.min(of(at)), high.max(of(at))));
        (ends.0 / ROOM..ends.1 * ROOM).log_scale()
    };
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(28)
            .y_label_area_size(72)
            .build_cartesian_2d(bounds(&|at| at.0), bounds(&|at| at.1))?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        chart
            .draw_series(LineSeries::new(fitted.iter().copied(), &FITTED))?
            .label("fit")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 14, y)], FITTED));
        chart
            .draw_series(measured.iter().map(|at| Circle::new(*at, 4, MEASURED.filled())))?
            .label(figure.name())
            .legend(|(x, y)| Circle::new((x + 7, y), 4, MEASURED.filled()));
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(text)
}
