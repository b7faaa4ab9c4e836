//! Compares a test's output with the text recorded for it in `tests/golden/`.
//!
//! A changed record means a changed interface: record it again (`RECORD_GOLDEN=1`) only if the change is intended, and
//! review it with the change.

use std::path::Path;

/// Asserts that `actual` equals the content of `tests/golden/{name}`.
pub fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("RECORD_GOLDEN").is_some() {
        std::fs::write(&path, actual).expect("the record is written");
    }
    let recorded = std::fs::read_to_string(&path).expect(name);
    if let Some((line, (was, is))) =
        recorded.lines().zip(actual.lines()).enumerate().find(|(_, (was, is))| was != is)
    {
        panic!("{name}, line {}:\nrecorded: {was}\nactual:   {is}", line + 1);
    }
    assert_eq!(recorded, actual, "{name}");
}
