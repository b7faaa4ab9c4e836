//! Tests of `clock`.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn clock_jumps_count_at_most_one_step() {
    let mut clock = LogClock::new(ms(5), ms(500));
    assert_eq!(clock.advance_as_leader(ms(105), 0), 100);
    assert_eq!(clock.advance_as_leader(ms(3_600_105), 0), 600, "a jump of an hour counts as one step");
    assert_eq!(clock.advance_as_leader(ms(5), 0), 600, "a jump back counts as no time");
    assert_eq!(clock.advance_as_leader(ms(105), 0), 700);
    // During an hour as a follower, mostly without a leader, only the time in the log has passed.
    clock.advance_as_follower(ms(3_600_105), 900);
    assert_eq!(clock.advance_as_leader(ms(3_600_155), 900), 950);
    assert_eq!(clock.advance_as_leader(ms(3_600_165), 2_000), 2_000, "never behind the applied timestamp");
}
