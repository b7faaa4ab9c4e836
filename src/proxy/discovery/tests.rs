//! Tests of the translation of endpoint lists.

use super::translation::Translation;
use crate::name_hash;
use crate::proxy::clock::Clock;
use std::collections::HashMap;
use std::time::Duration;

/// Returns two names with the same hash.
fn colliding_names() -> [String; 2] {
    let mut by_hash = HashMap::new();
    for n in 0u32.. {
        let name = format!("s-{n}");
        if let Some(other) = by_hash.insert(name_hash(&name), name.clone()) {
            return [other, name];
        }
    }
    unreachable!("there are more names than hash values");
}

fn translation() -> Translation {
    Translation::new(Vec::new())
}

/// Translates a complete list of these names; returns the ids.
fn ids(translation: &mut Translation, names: &[&str]) -> Vec<u32> {
    let entry = |name: &&str| serde_json::json!({"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "SERVING"});
    let list = serde_json::json!({"generation": 1, "reset": true, "instances": names.iter().map(entry).collect::<Vec<_>>()});
    let list = serde_json::from_value(list).expect("a list");
    translation.translate(list, &Clock::start()).iter().map(|listed| listed.entry.id.0).collect()
}

/// An attempt on one backend must not be attributed to the other, even if one of them is removed temporarily.
#[test]
fn backends_with_colliding_names_keep_their_ids_after_removal() {
    let [a, b] = colliding_names();
    for [first, second] in [[&a, &b], [&b, &a]] {
        let mut translation = translation();
        let both = ids(&mut translation, &[first, second]);
        assert_eq!(both[0], name_hash(first));
        assert_ne!(both[0], both[1]);
        for removed in 0..2 {
            let remaining = [first, second][1 - removed];
            assert_eq!(ids(&mut translation, &[remaining]), [both[1 - removed]], "{remaining} keeps its id");
            assert_eq!(ids(&mut translation, &[second, first]), [both[1], both[0]], "both keep their ids");
        }
    }
}

/// Once a removed name is forgotten, the next name with its hash gets that id.
#[test]
fn a_colliding_name_gets_the_hash_once_the_other_was_forgotten() {
    let [a, b] = colliding_names();
    let mut translation = translation();
    assert_eq!(ids(&mut translation, &[&a]), [name_hash(&a)]);
    assert!(ids(&mut translation, &[]).is_empty());
    assert_eq!(ids(&mut translation, &[&b]), [name_hash(&b)]);
}

/// Translates an entry whose start is announced as this Unix time; returns the start by the proxy's clock.
fn translated_start(translation: &mut Translation, clock: &Clock, unix: f64) -> Option<f64> {
    let list = serde_json::json!({"generation": 1, "reset": false, "instances": [
        {"instanceId": "s", "hostPort": "127.0.0.1:9", "lifecycle": "SERVING", "startedAtMs": unix * 1000.0}]});
    let listed = translation.translate(serde_json::from_value(list).expect("a list"), clock);
    translation.last_answer_at = Some(clock.now());
    listed[0].entry.started_at
}

const HOUR_S: f64 = 3600.0;

/// The wall clock of the proxy or of the backend may be an hour fast or slow.
#[tokio::test(start_paused = true)]
async fn start_times_are_bounded_by_observations_even_if_wall_clocks_are_wrong() {
    let clock = Clock::start();
    let now_unix = |clock: &Clock| clock.now() - clock.from_unix(0.0);
    for clock_error in [-HOUR_S, -5.0, 0.0, 5.0, HOUR_S] {
        let mut translation = translation();
        assert_eq!(translated_start(&mut translation, &clock, 0.0), None);
        tokio::time::advance(Duration::from_secs(2)).await;
        let (before, announced) =
            (translation.last_answer_at.expect("an answer"), now_unix(&clock) - 0.5 + clock_error);
        let start = translated_start(&mut translation, &clock, announced).expect("a start");
        assert!((before..=clock.now()).contains(&start), "{clock_error}: {start} of {before}");
        // The same announcement keeps the start; a different one means that the backend has restarted.
        tokio::time::advance(Duration::from_secs(7)).await;
        assert_eq!(translated_start(&mut translation, &clock, announced), Some(start), "{clock_error}");
        let again = translated_start(&mut translation, &clock, announced + 1.0).expect("a start");
        assert!(again > start, "{clock_error}: {again} after {start}");
    }
}

/// Nothing was observed before the first answer, so only a start in the future is known to be wrong.
#[tokio::test(start_paused = true)]
async fn start_times_of_the_first_answer_are_accepted_unless_in_the_future() {
    let clock = Clock::start();
    let unix = -clock.from_unix(0.0);
    let started = |announced: f64| translated_start(&mut translation(), &clock, announced).expect("a start");
    assert!((started(unix - 3.0) + 3.0).abs() < 0.01);
    assert!(started(unix + HOUR_S).abs() < 0.01, "not an hour ahead");
}
