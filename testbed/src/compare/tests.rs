//! Tests of `compare`.

use super::*;

#[test]
fn intervals_use_students_t_distribution() {
    let (mean, half) = paired(&[1.0, 2.0, 3.0]);
    // The standard deviation is 1 and t(2) is 4.303, so that the half width is 4.303 / sqrt(3).
    assert!((mean - 2.0).abs() < 1e-12 && (half - 4.303 / 3f64.sqrt()).abs() < 1e-9);
    assert_eq!(paired(&[5.0]), (5.0, f64::INFINITY));
}
