//! Formats figures for readers.

use crate::fit::{Fit, Growth};

/// Formats a whole number with a comma between groups of three digits.
pub fn count(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 && digits != "0" {
        text.insert(0, '-');
    }
    text
}

/// Formats a figure with its unit, large numbers of bytes with a metric prefix and long times in seconds.
pub fn amount(value: f64, unit: &str) -> String {
    let (base_unit, suffix) =
        unit.split_once('/').map_or((unit, String::new()), |(base_unit, per)| (base_unit, format!("/{per}")));
    match base_unit {
        "bytes" if value.abs() >= 1e9 => format!("{:.2} GB{suffix}", value / 1e9),
        "bytes" if value.abs() >= 1e6 => format!("{:.1} MB{suffix}", value / 1e6),
        "bytes" if value.abs() >= 1e4 => format!("{:.0} kB{suffix}", value / 1e3),
        "bytes" => format!("{value:.0} bytes{suffix}"),
        "ms" if value.abs() >= 1e4 => format!("{:.1} s{suffix}", value / 1e3),
        "ms" => format!("{value:.2} ms{suffix}"),
        "core" => format!("{:.3} %{suffix}", value * 100.0),
        _ if value.abs() >= 100.0 => format!("{} {unit}", count(value)),
        _ => format!("{value:.2} {unit}"),
    }
}

/// Formats the equation of a line with its residual.
pub fn line_equation(fit: &Fit, unit: &str) -> String {
    let slope = match unit {
        "core" => format!("{:.3e}", fit.slope),
        _ => format!("{:.4}", fit.slope),
    };
    let base = if unit == "core" { format!("{:.5}", fit.base) } else { format!("{:.1}", fit.base) };
    format!("{base} + {slope} n, residual {:.1} %", fit.residual * 100.0)
}

/// Formats the kind of growth.
pub fn growth(fit: &Fit) -> String {
    match fit.growth {
        Growth::Constant => "constant".to_owned(),
        Growth::Linear => "linear".to_owned(),
        Growth::Superlinear => format!("**worse**, n^{:.2}", fit.exponent),
    }
}

/// Formats a figure divided by its budget, in bold if it is over the budget.
pub fn factor(factor: Option<f64>) -> String {
    match factor {
        None => "-".to_owned(),
        Some(factor) if factor > 1.0 => format!("**{factor:.2}**"),
        Some(factor) => format!("{factor:.2}"),
    }
}
