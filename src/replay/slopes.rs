//! Measures how state, messages and processor time grow, for the capacity page.
//!
//! Each slope is measured at three sizes or more and fitted by least squares.

mod control;
mod traffic;

use std::hint::black_box;

use serde::Serialize;

use crate::clock::Clock;

/// Microseconds of a run that is long against the resolution of the clock.
const TIMED_RUN_US: u64 = 20_000;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size of the problem.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// How a value grows with the size of the problem.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// What was measured, with its unit.
    pub subject: &'static str,
    /// What the size counts.
    pub per: &'static str,
    /// Measured points.
    pub points: Vec<Point>,
    /// Growth for one more.
    pub slope: f64,
}

impl Slope {
    /// Fits a line through the points.
    ///
    /// ```
    /// use yuccalatch::replay::slopes::{Point, Slope};
    ///
    /// let points = [(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)];
    /// let points = points.map(|(size, value)| Point { size, value });
    /// assert_eq!(Slope::fit("bytes", "row", points.to_vec()).slope, 2.0);
    /// ```
    pub fn fit(subject: &'static str, per: &'static str, points: Vec<Point>) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let variance: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        Self {
            subject,
            per,
            slope: if variance > 0.0 {
                covariance / variance
            } else {
                0.0
            },
            points,
        }
    }
}

/// Measures all slopes, with an allocator that counts.
///
/// The figures depend on the machine; nothing is asserted about them.
pub fn measure(allocated: Allocated) -> Vec<Slope> {
    let mut slopes = control::measure(allocated);
    slopes.extend(traffic::measure(allocated));
    slopes
}

/// Formats slopes as a Markdown table.
///
/// ```
/// assert!(yuccalatch::replay::slopes::markdown(&[]).starts_with("| measured"));
/// ```
pub fn markdown(slopes: &[Slope]) -> String {
    let mut table =
        String::from("| measured | per | points | slope |\n| --- | --- | --- | --- |\n");
    for slope in slopes {
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|point| format!("{}: {:.1}", point.size, point.value))
            .collect();
        let points = points.join(", ");
        table.push_str(&format!(
            "| {} | {} | {points} | {:.3} |\n",
            slope.subject, slope.per, slope.slope
        ));
    }
    table
}

/// Returns the bytes that are allocated now.
pub type Allocated = fn() -> usize;

/// Measures the memory that a value keeps at several sizes.
fn memory<T>(
    allocated: Allocated,
    subject: &'static str,
    per: &'static str,
    sizes: &[usize],
    build: impl Fn(usize) -> T,
) -> Slope {
    let points = sizes
        .iter()
        .map(|&size| {
            let before = allocated();
            let value = black_box(build(size));
            let kept = allocated().saturating_sub(before);
            drop(value);
            Point {
                size: size as f64,
                value: kept as f64,
            }
        })
        .collect();
    Slope::fit(subject, per, points)
}

/// Measures the time of an action at several sizes, in microseconds.
fn time<T>(
    subject: &'static str,
    per: &'static str,
    sizes: &[usize],
    prepare: impl Fn(usize) -> T,
    act: impl Fn(&mut T),
) -> Slope {
    let clock = Clock::start();
    let points = sizes
        .iter()
        .map(|&size| {
            let mut state = prepare(size);
            let started_us = clock.now_us();
            let mut runs = 0;
            while clock.now_us() - started_us < TIMED_RUN_US {
                act(&mut state);
                runs += 1;
            }
            let elapsed_us = clock.now_us() - started_us;
            Point {
                size: size as f64,
                value: elapsed_us as f64 / f64::from(runs),
            }
        })
        .collect();
    Slope::fit(subject, per, points)
}

/// Records the size of messages, in bytes.
fn bytes(
    subject: &'static str,
    per: &'static str,
    sizes: &[usize],
    encode: impl Fn(usize) -> usize,
) -> Slope {
    let points = sizes
        .iter()
        .map(|&size| Point {
            size: size as f64,
            value: encode(size) as f64,
        })
        .collect();
    Slope::fit(subject, per, points)
}
