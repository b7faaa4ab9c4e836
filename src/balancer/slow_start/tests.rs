//! Tests of slow start.

use super::*;

#[test]
fn capacity_rises_linearly_to_full_capacity() {
    let settings =
        Settings { slow_start_min_capacity: 0.2, slow_start_duration: 10.0, ..Settings::default() };
    let at = |now| {
        let entry = EndpointEntry { started_at: Some(100.0), ..EndpointEntry::default() };
        capacity_fraction(&entry, now, &settings)
    };
    assert_eq!(at(90.0), 0.2, "the clocks of proxy and backend may differ");
    assert_eq!(at(100.0), 0.2);
    assert!((at(105.0) - 0.6).abs() < 1e-9);
    assert_eq!(at(110.0), 1.0);
    assert_eq!(capacity_fraction(&EndpointEntry::default(), 0.0, &settings), 1.0, "started long ago");
}
