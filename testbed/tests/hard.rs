//! Failure cases of the testbed's program: interrupted, short of descriptors, with a proxy program that does not start,
//! and two runs at once. The proxies are the workspace's release or debug build beside it.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// The exit code if the testbed was too late for its figures to be trusted, as on a busy machine: allowed here.
const EXIT_UNTRUSTED: i32 = 3;

fn testbed_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fleet-testbed"))
}

/// Writes a small experiment that lasts `seconds`, and returns its path.
fn experiment(name: &str, seconds: f64) -> PathBuf {
    let program = testbed_program().with_file_name("linkhatch-proxy");
    assert!(program.exists(), "{} is missing: build the whole workspace first", program.display());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    let text = format!(
        "name = \"{name}\"\nseconds = {seconds}\n[proxies]\ncount = 2\n[load]\nrate = 40\n[[classes]]\n\
         name = \"status-check\"\nshare = 1\nwork_ms = [2, 4]\neffect = \"free\"\non_time = 1\nhard_limit = 2\n\
         [[backends]]\ncount = 3\n"
    );
    std::fs::write(&path, text).expect("the experiment is written");
    path
}

fn start(file: &Path, out: &Path) -> Child {
    let mut command = Command::new(testbed_program());
    command.args(["run", &file.display().to_string(), "--seed", "5", "--out", &out.display().to_string()]);
    command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("fleet-testbed starts")
}

fn report(out: &Path) -> Value {
    let text = std::fs::read_to_string(out.join("report.json")).expect("a report");
    serde_json::from_str(&text).expect("a report in JSON")
}

/// The number of processes whose command line contains `word`.
fn count_processes(word: &str) -> usize {
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let line = |entry: &std::fs::DirEntry| std::fs::read(entry.path().join("cmdline")).unwrap_or_default();
    all.filter(|entry| String::from_utf8_lossy(&line(entry)).contains(word)).count()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn an_interrupted_run_leaves_no_process_and_writes_a_report_marked_partial() {
    let (file, out) =
        (experiment("interrupted", 60.0), Path::new(env!("CARGO_TARGET_TMPDIR")).join("interrupted"));
    let child = start(&file, &out);
    let (pid, started_at) = (child.id(), Instant::now());
    let file_prefix = format!("fleet-testbed-{pid}-");
    // Only the list node has the path of its configuration in its command line; proxies have it in the environment.
    while count_processes(&file_prefix) == 0 {
        assert!(started_at.elapsed() < Duration::from_secs(10), "no process started within 10 s");
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(3));
    kill(Pid::from_raw(pid as i32), Signal::SIGINT).expect("interrupted");
    let output = child.wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(130), "{}", stderr_text(&output));
    assert_eq!(count_processes(&file_prefix), 0, "no process is left");
    let report = report(&out);
    assert_eq!(report["partial"], true);
    assert!(report["requests"]["served"].as_u64() > Some(0), "{report}");
    assert!(out.join("requests.svg").exists() && out.join("load.svg").exists());
}

#[test]
fn too_few_descriptors_and_a_program_that_does_not_start_are_reported_before_the_load() {
    let file = experiment("short", 5.0).display().to_string();
    let testbed = testbed_program().display();
    let short = Command::new("sh")
        .args(["-c", &format!("ulimit -n 200; exec {testbed} run {file}")])
        .output()
        .expect("sh runs");
    assert_eq!(short.status.code(), Some(2), "{}", stderr_text(&short));
    assert!(
        stderr_text(&short).contains("file descriptors are needed, but the limit is 200"),
        "{}",
        stderr_text(&short)
    );
    let program =
        Command::new(testbed_program()).args(["run", &file, "--proxy-binary", "/bin/false"]).output();
    let program = program.expect("fleet-testbed runs");
    assert_eq!(program.status.code(), Some(2), "{}", stderr_text(&program));
    assert!(stderr_text(&program).contains("did not start"), "{}", stderr_text(&program));
}

#[test]
fn two_runs_at_once_are_independent_and_offer_the_same_requests() {
    let (file, dir) = (experiment("twice", 4.0), Path::new(env!("CARGO_TARGET_TMPDIR")));
    let outs = [dir.join("twice-a"), dir.join("twice-b")];
    let children = outs.each_ref().map(|out| start(&file, out));
    for child in children {
        let output = child.wait_with_output().expect("it ends");
        let code = output.status.code();
        assert!(code == Some(0) || code == Some(EXIT_UNTRUSTED), "{code:?}: {}", stderr_text(&output));
    }
    let [a, b] = outs.each_ref().map(|out| report(out));
    assert_eq!(a["requests"]["offered"], b["requests"]["offered"], "the same seed offers the same");
    assert_eq!(a["requests"]["lost"], 0);
    assert_eq!(b["violations_count"], 0, "{}", b["violations"]);
}
