//! Tests of `report`.

use super::*;
use crate::record::Sent;

fn machine(counts: &[u32], weight: f64) -> Machine {
    let sent = Sent { requests: counts.to_vec(), listed: vec![[0.0, f64::INFINITY]], ..Sent::default() };
    Machine { id: "b".into(), tier: 0, weight, speed: 1.0, sent }
}

#[test]
fn spread_is_relative_to_weight_and_finds_idle_and_overloaded_machines() {
    // 10 s of 10 bins each; loads in proportion to weights 1 and 2 are even.
    let even = [machine(&[10; 100], 1.0), machine(&[20; 100], 2.0)];
    let s = spread(&even, 0.0, 10.0);
    assert!(s.cv < 1e-9 && (s.peak_over_mean - 1.0).abs() < 1e-9 && s.idle_5s == 0.0, "{s:?}");
    // Random draws of 100 and 200 per second vary by the root of the mean of 1/100 and 1/200.
    assert!((s.cv_random - 0.0075f64.sqrt()).abs() < 1e-9, "{s:?}");
    let mut burst = vec![0u32; 100];
    burst[50..52].fill(200);
    let s = spread(&[machine(&[20; 100], 1.0), machine(&burst, 1.0)], 0.0, 10.0);
    assert_eq!((s.backends, s.idle_share), (2, 0.0));
    assert!(s.idle_5s == 0.5 && s.worst_200ms_over_share > 1.5, "{s:?}");
}

#[test]
fn exceeded_bounds_and_unknown_figures_are_violations() {
    let mut report = Report::default();
    report.windows.insert("after".into(), Figures::default());
    report.total.spread.cv = 0.5;
    assert_eq!((report.figure("spread.cv"), report.figure("after.spread.cv")), (Some(0.5), Some(0.0)));
    let text = "name = \"x\"\nseconds = 1\n[proxies]\ncount = 1\n[load]\nrate = 1\n[[classes]]\nname = \"c\"\n\
                share = 1\nwork_ms = [1, 1]\neffect = \"free\"\non_time = 1\nhard_limit = 1\n[[backends]]\n\
                [oracle]\nat_most = {\"spread.cv\" = 0.4, \"nothing\" = 1}\nat_least = {\"after.spread.cv\" = 0}";
    let experiment: Experiment = toml::from_str(text).expect("an experiment");
    report.check_bounds(&experiment);
    assert_eq!(report.violations_count, 2, "{:?}", report.violations);
}
