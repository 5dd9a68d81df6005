//! Figures as people read them.

use crate::fit::{Fit, Growth};

/// A whole number with its thousands apart.
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

/// A figure in its unit, with a prefix where bytes are many.
pub fn amount(value: f64, unit: &str) -> String {
    let (kind, rest) =
        unit.split_once('/').map_or((unit, String::new()), |(kind, per)| (kind, format!("/{per}")));
    match kind {
        "bytes" if value.abs() >= 1e9 => format!("{:.2} GB{rest}", value / 1e9),
        "bytes" if value.abs() >= 1e6 => format!("{:.1} MB{rest}", value / 1e6),
        "bytes" if value.abs() >= 1e4 => format!("{:.0} kB{rest}", value / 1e3),
        "bytes" => format!("{value:.0} bytes{rest}"),
        "ms" if value.abs() >= 1e4 => format!("{:.1} s{rest}", value / 1e3),
        "ms" => format!("{value:.2} ms{rest}"),
        "core" => format!("{:.3} %{rest}", value * 100.0),
        _ if value.abs() >= 100.0 => format!("{} {unit}", count(value)),
        _ => format!("{value:.2} {unit}"),
    }
}

/// A line, with its residual.
pub fn line_of(fit: &Fit, unit: &str) -> String {
    let each = match unit {
        "core" => format!("{:.3e}", fit.slope),
        _ => format!("{:.4}", fit.slope),
    };
    let base = if unit == "core" { format!("{:.5}", fit.base) } else { format!("{:.1}", fit.base) };
    format!("{base} + {each} n, residual {:.1} %", fit.residual * 100.0)
}

/// How a figure grows.
pub fn growth(fit: &Fit) -> String {
    match fit.growth {
        Growth::Constant => "constant".to_owned(),
        Growth::Linear => "linear".to_owned(),
        Growth::Superlinear => format!("**worse**, n^{:.2}", fit.exponent),
    }
}

/// How many times a budget a figure takes.
pub fn factor(factor: Option<f64>) -> String {
    match factor {
        None => "-".to_owned(),
        Some(factor) if factor > 1.0 => format!("**{factor:.2}**"),
        Some(factor) => format!("{factor:.2}"),
    }
}
