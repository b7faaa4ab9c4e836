//! Tests of `spec`.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};

const SMALL: &str = r#"
name = "small"
seconds = 2
[proxies]
count = 2
[load]
rate = 10
[[classes]]
name = "status-check"
share = 1.0
work_ms = [10, 20]
effect = "free"
on_time = 0.5
hard_limit = 2
[[backends]]
count = 3
"#;

fn read(text: &str, set: &[&str]) -> Result<Experiment, SpecError> {
    // Tests run in parallel: each file has a unique name.
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("fleet-testbed-spec-{}-{number}.toml", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let set: Vec<_> = set.iter().map(|s| setting(s).expect("a setting")).collect();
    let read = Experiment::read(&path.display().to_string(), &set);
    let _ = std::fs::remove_file(&path);
    read
}

#[test]
fn an_unknown_key_is_reported_with_its_line_and_bad_values_by_name() {
    assert_eq!(read(SMALL, &[]).expect("good").backends[0].count, 3);
    let error_of = |text: &str, set: &[&str]| read(text, set).expect_err("bad").to_string();
    let typo = error_of(&SMALL.replace("rate =", "rat ="), &[]);
    assert!(typo.contains("rat") && typo.contains("line 7"), "{typo}");
    assert!(error_of(SMALL, &["load.rate=-1"]).contains("load.rate"));
    assert!(error_of(SMALL, &["list.nodes=2"]).contains("list.nodes"));
    let fault = format!("{SMALL}\n[[faults]]\nat = 1\nwhat = \"kill\"\nwho = \"proxys 70%\"\n");
    assert!(error_of(&fault, &[]).contains("proxys"));
    let overridden = read(SMALL, &["proxies.count=7", "backends.0.speed=[1.0, 2.0]"]).expect("set");
    assert_eq!((overridden.proxies.count, overridden.backends[0].speed), (7, [1.0, 2.0]));
}

#[test]
fn a_fleet_of_production_size_can_be_configured() {
    let overridden = read(SMALL, &["proxies.count=1300", "backends.0.count=1300"]).expect("set");
    assert_eq!((overridden.proxies.count, overridden.backends[0].count), (1300, 1300));
    assert!(read(SMALL, &["proxies.count=3000"]).expect_err("too many").to_string().contains("2,048"));
}
