//! Tests of reading `/proc`.

use super::*;

#[test]
fn processor_time_is_read_after_a_name_with_spaces_and_parentheses() {
    let stat = "42 (a) name (x) S 1 42 42 0 -1 4194304 500 0 0 0 150 25 0 0 20 0 1 0 100 0 0";
    assert_eq!(processor_time(stat), Some(Duration::from_millis(1_750)));
    assert_eq!(processor_time("42 (short) S 1 2"), None);
    assert_eq!(processor_time(""), None);
}

#[test]
fn a_field_is_found_by_its_complete_name() {
    let text = "VmPeak:\t  900 kB\nVmHWM:\t  700 kB\ncancelled_write_bytes: 7\nwrite_bytes: 5\n";
    assert_eq!(field(text, "VmHWM:"), Some(700));
    assert_eq!(field(text, "write_bytes:"), Some(5));
    assert_eq!(field(text, "VmRSS:"), None);
}

#[test]
fn the_usage_of_this_process_is_not_zero() {
    let usage = of_self().expect("this process is in /proc");
    assert!(usage.resident_kb > 0 && usage.peak_kb >= usage.resident_kb);
}

#[test]
fn the_machine_is_busy_when_it_neither_idles_nor_waits_for_a_disk() {
    // user, nice, system, idle, iowait, irq, softirq, steal; guest is part of user.
    let stat = "cpu  100 10 50 9000 800 5 15 20 70 0\ncpu0 1 1 1 1 1 1 1 1 0 0\n";
    assert_eq!(busy_time(stat), Some(Duration::from_millis(2_000)));
    assert_eq!(busy_time("cpu  1 2 3\n"), None);
    assert_eq!(busy_time("intr 5\n"), None);
}
