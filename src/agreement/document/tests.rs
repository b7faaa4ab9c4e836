//! Tests of settings documents.

use super::*;
use serde_json::{Value, json};

/// A document like a site's.
pub fn sample() -> Value {
    json!({
        "classes": [
            {"name": "status-check", "effect": "free", "on-time": 2.5, "hard-limit": 6.0, "worth": 2.0},
            {"name": "send-batch", "effect": "guarded", "group": "cell", "window": 10.0, "on-time": 2.5,
             "hard-limit": 6.0, "worth": 10.0}
        ],
        "projects": [{"name": "northgate-health", "quota-per-s": 17.0}],
        "max-attempts": 5, "max-retry-after": 1.0, "over-share-worth": 0.05,
        "floor": {
            "classes": {"status-check": {"on-time": 1.0, "hard-limit": 2.0},
                        "send-batch": {"on-time": 1.0, "hard-limit": 2.0}},
            "projects": {"northgate-health": 5.0}, "max-attempts": 2, "max-retry-after": 0.0
        }
    })
}

fn parse(change: impl Fn(&mut Value)) -> Result<Document, DocumentError> {
    let mut value = sample();
    change(&mut value);
    Document::parse(value.to_string().as_bytes())
}

type Change = fn(&mut Value);

#[test]
fn errors_name_the_key_and_the_range_or_rule() {
    let good = parse(|_| {}).expect("valid");
    let cases: [(&str, &str, Change); 15] = [
        ("max-attempts", "from 2 to 16, got 1", |v| v["max-attempts"] = json!(1)),
        ("max-attempts", "from 2 to 16, got 17", |v| v["max-attempts"] = json!(17)),
        ("max-attempts", "invalid type", |v| v["max-attempts"] = json!("many")),
        ("projects.northgate-health.quota-per-s", "got -1", |v| {
            v["projects"][0]["quota-per-s"] = json!(-1.0);
        }),
        ("projects.northgate-health.quota-per-s", "from 5", |v| {
            v["projects"][0]["quota-per-s"] = json!(4.9);
        }),
        ("floor.projects.nobody", "is not known", |v| v["floor"]["projects"]["nobody"] = json!(1)),
        ("floor.classes.nothing", "is not known", |v| {
            v["floor"]["classes"]["nothing"] = json!({"on-time": 1.0, "hard-limit": 1.0});
        }),
        ("floor.classes.send-batch", "is missing", |v| {
            v["floor"]["classes"].as_object_mut().expect("a table").remove("send-batch");
        }),
        ("classes.send-batch.hard-limit", "from 2.5", |v| v["classes"][1]["hard-limit"] = json!(2.4)),
        ("classes.send-batch.on-time", "from 1", |v| v["classes"][1]["on-time"] = json!(0.0)),
        ("classes.send-batch.effect", "a group", |v| drop(v["classes"][1]["group"].take())),
        ("classes.status-check.name", "two", |v| v["classes"][1]["name"] = json!("status-check")),
        ("classes", "a name of", |v| v["classes"][1]["name"] = json!("a\nb")),
        ("over-share-worth", "from 0 to 1, got 1.5", |v| v["over-share-worth"] = json!(1.5)),
        ("atempts", "unknown field", |v| v["atempts"] = json!(3)),
    ];
    for (key, reason, change) in cases {
        let error = parse(change).expect_err(key);
        assert!(error.key == key && error.reason.contains(reason), "{key}: got {error}");
    }
    let restart_only: [(&str, Change); 5] = [
        ("classes.send-batch.window", |v| v["classes"][1]["window"] = json!(11.0)),
        ("classes.status-check.effect", |v| v["classes"][0]["effect"] = json!("single_shot")),
        ("floor", |v| v["floor"]["max-attempts"] = json!(1)),
        ("projects.northgate-health", |v| {
            v["projects"] = json!([]);
            v["floor"]["projects"] = json!({});
        }),
        ("classes.new", |v| {
            v["classes"][0]["name"] = json!("new");
            let fallback_classes = v["floor"]["classes"].as_object_mut().expect("a table");
            let fallback = fallback_classes.remove("status-check").expect("fallback settings");
            fallback_classes.insert("new".into(), fallback);
        }),
    ];
    for (key, change) in restart_only {
        let error = parse(change).expect("valid by itself").may_follow(&good).expect_err(key);
        assert!(error.key == key && error.reason.contains("restart"), "{key}: got {error}");
    }
    assert!(Document::parse(&vec![b' '; MAX_DOCUMENT_BYTES + 1]).is_err());
}

#[test]
fn documents_differ_by_the_keys_that_changed() {
    let from = parse(|_| {}).expect("valid");
    let to = parse(|v| {
        v["classes"][1]["worth"] = json!(9.0);
        v["projects"][0]["quota-per-s"] = json!(20.0);
    });
    let all = differences(&from, &to.expect("valid"));
    let keys: Vec<&str> = all.iter().map(|d| d.key.as_str()).collect();
    assert_eq!(keys, ["classes.send-batch.worth", "projects.northgate-health.quota-per-s"]);
    assert_eq!((&all[0].from, &all[0].to), (&Some(json!(10.0)), &Some(json!(9.0))));
    assert!(differences(&from, &from).is_empty());
}
