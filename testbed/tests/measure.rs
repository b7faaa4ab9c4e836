//! Small runs of the testbed's overhead and scale measurements on real processes: checks that they end and that their
//! reports are complete, but not the measured figures.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The exit code if the testbed was too late for its figures to be trusted, as on a busy machine: allowed here.
const EXIT_UNTRUSTED: i32 = 3;

fn testbed_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fleet-testbed"))
}

/// Runs a measurement and returns its JSON report.
fn run(name: &str, arguments: &[&str], report: &str) -> Value {
    let program = testbed_program().with_file_name("linkhatch-proxy");
    assert!(program.exists(), "{} is missing: build the whole workspace first", program.display());
    let out: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let output = Command::new(testbed_program())
        .args(arguments)
        .arg("--out")
        .arg(&out)
        .output()
        .expect("fleet-testbed runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!([Some(0), Some(EXIT_UNTRUSTED)].contains(&output.status.code()), "{:?}: {stderr}", output.status);
    let text = std::fs::read_to_string(out.join(report)).expect("a report");
    serde_json::from_str(&text).expect("a report in JSON")
}

#[test]
fn overhead_counts_every_call_through_a_chain_of_two() {
    let arguments =
        ["overhead", "--depth", "2", "--rates", "50", "--seconds", "2", "--block", "0.5", "--seed", "3"];
    let report = run("overhead", &arguments, "overhead.json");
    assert_eq!((&report["partial"], &report["depth"]), (&Value::from(false), &Value::from(2)));
    let rate = &report["rates"][0];
    let calls = |side: &str| rate[side]["calls"].as_u64().expect("a count");
    // Both sides of a pair of blocks have the same random due times: 50 per second for 2 s.
    assert_eq!(calls("direct"), calls("through"));
    assert!((60..150).contains(&calls("through")), "{rate}");
    assert_eq!(rate["direct"]["served"], rate["direct"]["calls"], "a direct call is always served");
    assert!(
        rate["added_p50_us"]["half_width_95"].is_number(),
        "four pairs of blocks give a confidence interval"
    );
}

#[test]
fn scale_runs_every_size_and_fits_its_figures() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments/scale.toml");
    let overrides = [
        "sizes=[3, 6]",
        "predict=[4, 9]",
        "phases.rest_s=1",
        "phases.list_changes=2",
        "phases.settings_changes=1",
        "phases.change_every_ms=50",
        "proxies.metered=2",
        "proxies.real=1",
    ];
    let mut arguments = vec!["scale", file];
    overrides.iter().for_each(|value| arguments.extend(["--set", value]));
    let report = run("scale", &arguments, "scale.json");
    assert_eq!(report["whole"], true, "{report}");
    for (size, size_report) in [3, 6].iter().zip(report["sizes"].as_array().expect("sizes")) {
        let result = &size_report["result"];
        assert_eq!((&result["size"], &result["listed"]), (&Value::from(*size), &Value::from(*size)));
        assert_eq!(result["attached"], *size, "every hollow proxy has a session");
        assert_eq!(result["rest"]["nodes"].as_array().map(Vec::len), Some(3));
        assert_eq!(
            (&result["list_changes"]["missed"], &result["settings_changes"]["missed"]),
            (&Value::from(0), &Value::from(0))
        );
        assert!(
            result["rest"]["proxy_traffic"]["bytes_per_s"].as_f64() > Some(0.0),
            "the relays count traffic"
        );
    }
    let figures = report["figures"].as_array().expect("figures");
    let figure = figures.iter().find(|figure| figure["name"] == "rest.node.busiest.cores");
    let predictions = &figure.expect("the busiest node has a figure")["predictions"];
    assert_eq!(
        (&predictions[0]["extrapolated"], &predictions[1]["extrapolated"]),
        (&Value::from(false), &Value::from(true))
    );
}
