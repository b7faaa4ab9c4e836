//! The lab's measurements of size and overhead, played small on real processes: that they end whole, and leave nothing
//! behind. What they measure is not checked here.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The lab is too late for its figures to be trusted: a loaded machine, which no case here is about.
const LATE: i32 = 3;

fn fleetlab() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fleetlab"))
}

/// Plays a measurement to its end; the JSON that it wrote.
fn play(name: &str, arguments: &[&str], report: &str) -> Value {
    let program = fleetlab().with_file_name("dewpier");
    assert!(program.exists(), "{} is missing: build the whole workspace first", program.display());
    let out: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let output =
        Command::new(fleetlab()).args(arguments).arg("--out").arg(&out).output().expect("fleetlab runs");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!([Some(0), Some(LATE)].contains(&output.status.code()), "{:?}: {said}", output.status);
    let text = std::fs::read_to_string(out.join(report)).expect("a report");
    serde_json::from_str(&text).expect("a report in JSON")
}

#[test]
fn overhead_counts_every_call_through_a_chain_of_two() {
    let arguments =
        ["overhead", "--depth", "2", "--rates", "50", "--seconds", "2", "--block", "0.5", "--seed", "3"];
    let report = play("overhead", &arguments, "overhead.json");
    assert_eq!((&report["partial"], &report["depth"]), (&Value::from(false), &Value::from(2)));
    let rate = &report["rates"][0];
    let calls = |side: &str| rate[side]["calls"].as_u64().expect("a count");
    // Both sides of a pair of blocks have the same due times: 50 a second for 2 s, drawn.
    assert_eq!(calls("direct"), calls("through"));
    assert!((60..150).contains(&calls("through")), "{rate}");
    assert_eq!(rate["direct"]["served"], rate["direct"]["calls"], "a direct call is always served");
    assert!(rate["added_p50_us"]["half_width_95"].is_number(), "four pairs have an interval");
}
