//! Checks the values of records against their ranges. Errors name the field and the range; an absent value passes.

use std::ops::RangeInclusive;

use super::error::ValueError;
use super::value::{Figure, Name};
use crate::interface::Micros;

pub(super) fn check_figure(
    field: &'static str,
    figure: Option<Figure>,
    range: RangeInclusive<f64>,
) -> Result<(), ValueError> {
    match figure.map(Figure::get) {
        Some(value) if !range.contains(&value) => {
            let reason = format!("is {value}; it must be {} to {}", range.start(), range.end());
            Err(ValueError::new(field, reason))
        }
        _ => Ok(()),
    }
}

pub(super) fn check_count(
    field: &'static str,
    count: u32,
    range: RangeInclusive<u32>,
) -> Result<(), ValueError> {
    if range.contains(&count) {
        return Ok(());
    }
    Err(ValueError::new(field, format!("is {count}; it must be {} to {}", range.start(), range.end())))
}

pub(super) fn check_duration(
    field: &'static str,
    duration: Option<Micros>,
    range: RangeInclusive<Micros>,
) -> Result<(), ValueError> {
    match duration {
        Some(value) if !range.contains(&value) => {
            let ms = |duration: Micros| duration.0 as f64 / 1e3;
            let (min, max) = (ms(*range.start()), ms(*range.end()));
            Err(ValueError::new(field, format!("is {} ms; it must be {min} to {max} ms", ms(value))))
        }
        _ => Ok(()),
    }
}

pub(super) fn check_name_length(name: &Name, max_bytes: usize) -> Result<(), ValueError> {
    let bytes = name.as_str().len();
    if bytes <= max_bytes {
        return Ok(());
    }
    Err(ValueError::new("name", format!("has {bytes} bytes; the maximum is {max_bytes}")))
}
