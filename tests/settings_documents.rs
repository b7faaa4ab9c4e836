//! Compares the serialized forms of settings, sessions and membership with the records in `tests/golden/settings/`: the
//! data that proxies, operators and the replicated log exchange must not change from build to build.

#[path = "golden/compare.rs"]
mod compare;

use compare::assert_golden;
use linkhatch_proxy::agreement::document::{
    Document, DocumentError, FallbackSettings, MAX_DOCUMENT_BYTES, differences, initial_document,
};
use linkhatch_proxy::agreement::state::{
    Agreement, AgreementError, Command, CommandOutcome, Members, Renewal, RequiredRevisions, Version,
};
use linkhatch_proxy::agreement::{AgreementView, MembersView, SettingsView};
use linkhatch_proxy::registry::store;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// A document with every key.
fn full_document() -> Value {
    json!({
        "classes": [
            {"name": "status-check", "effect": "free", "on-time": 2.5, "hard-limit": 6.0, "worth": 2.0},
            {"name": "send-sms", "effect": "single_shot", "fifo-by-key": true, "on-time": 1.5, "hard-limit": 4.0},
            {"name": "send-batch", "effect": "guarded", "group": "cell", "window": 10.0, "fifo-by-key": false,
             "on-time": 2.5, "hard-limit": 6.0, "late-worth": 0.25, "worth": 10.0}
        ],
        "projects": [{"name": "northgate-health", "quota-per-s": 17.0}, {"name": "quayside", "quota-per-s": 3.5}],
        "max-attempts": 5, "max-retry-after": 1.0, "over-share-worth": 0.05, "shed": false,
        "floor": {
            "classes": {"status-check": {"on-time": 1.0, "hard-limit": 2.0},
                        "send-sms": {"on-time": 1.0, "hard-limit": 2.0},
                        "send-batch": {"on-time": 1.0, "hard-limit": 2.0}},
            "projects": {"northgate-health": 5.0, "quayside": 1.0}, "max-attempts": 2, "max-retry-after": 0.5
        }
    })
}

/// The smallest document: all optional keys are omitted.
fn minimal_document() -> Value {
    json!({
        "classes": [{"name": "c", "effect": "free", "on-time": 1.0, "hard-limit": 1.0}],
        "max-attempts": 1,
        "floor": {"classes": {"c": {"on-time": 1.0, "hard-limit": 1.0}}, "projects": {}, "max-attempts": 1,
                  "max-retry-after": 0.0}
    })
}

fn parse(value: &Value) -> Result<Document, DocumentError> {
    Document::parse(value.to_string().as_bytes())
}

fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("it serializes") + "\n"
}

/// The full document with `new` under a JSON pointer; `Null` removes the value.
fn with_value(pointer: &str, new: Value) -> Value {
    let mut value = full_document();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = value.pointer_mut(parent).expect(pointer);
    match (parent, new) {
        (Value::Object(map), Value::Null) => drop(map.remove(key)),
        (Value::Array(list), Value::Null) => drop(list.remove(key.parse().expect("an index"))),
        (parent, new) => {
            if let Value::Object(map) = parent {
                map.insert(key.into(), new);
            } else {
                parent[key.parse::<usize>().expect("an index")] = new;
            }
        }
    }
    value
}

#[test]
fn documents_are_written_with_their_recorded_keys() {
    assert_golden("settings/document.json", &pretty(&parse(&full_document()).expect("valid")));
    assert_golden(
        "settings/document_with_defaults.json",
        &pretty(&parse(&minimal_document()).expect("valid")),
    );
}

#[test]
fn an_invalid_document_is_rejected_with_the_recorded_key_and_text() {
    let mut out = String::new();
    let value_at = |pointer: &str| full_document().pointer(pointer).expect("a value").clone();
    let tenants =
        |count: usize| (0..count).map(|n| json!({"name": format!("p{n}"), "quota-per-s": 1})).collect();
    let cases: Vec<(&str, Value)> = vec![
        ("/max-attempts", json!(1)),
        ("/max-attempts", json!(17)),
        ("/max-attempts", json!("many")),
        ("/max-attempts", json!(-1)),
        ("/max-attempts", Value::Null),
        ("/max-retry-after", json!(0.4)),
        ("/max-retry-after", json!(601)),
        ("/over-share-worth", json!(1.5)),
        ("/over-share-worth", json!(-0.5)),
        ("/shed", json!(1)),
        ("/atempts", json!(3)),
        ("/classes", json!([])),
        ("/classes", Value::Array(vec![value_at("/classes/0"); 65])),
        ("/classes", Value::Null),
        ("/classes/1", value_at("/classes/0")),
        ("/classes/0/name", json!("")),
        ("/classes/0/name", json!("a\nb")),
        ("/classes/0/name", json!("x".repeat(129))),
        ("/classes/0/name", json!("other")),
        ("/classes/0/effect", json!("safe")),
        ("/classes/0/effect", Value::Null),
        ("/classes/0/extra", json!(1)),
        ("/classes/2/group", Value::Null),
        ("/classes/2/group", json!("rack")),
        ("/classes/2/window", Value::Null),
        ("/classes/2/window", json!(-1)),
        ("/classes/2/window", json!(86_401)),
        ("/classes/2/on-time", json!(0.5)),
        ("/classes/2/on-time", json!(600.5)),
        ("/classes/2/hard-limit", json!(2.4)),
        ("/classes/2/hard-limit", json!(601)),
        ("/classes/2/late-worth", json!(1.1)),
        ("/classes/2/worth", json!(-1)),
        ("/classes/2/worth", json!(2e9)),
        ("/projects", tenants(513)),
        ("/projects/0/name", json!("")),
        ("/projects/0/name", json!("nobody")),
        ("/projects/1", value_at("/projects/0")),
        ("/projects/0/quota-per-s", json!(4.9)),
        ("/projects/0/quota-per-s", json!(2e9)),
        ("/projects/0/extra", json!(1)),
        ("/floor", Value::Null),
        ("/floor/max-attempts", json!(0)),
        ("/floor/max-attempts", json!(17)),
        ("/floor/max-retry-after", json!(-1)),
        ("/floor/extra", json!(1)),
        ("/floor/classes/send-sms", Value::Null),
        ("/floor/classes/nothing", json!({"on-time": 1, "hard-limit": 1})),
        ("/floor/classes/send-sms/on-time", json!(0)),
        ("/floor/classes/send-sms/hard-limit", json!(0.5)),
        ("/floor/classes/send-sms/extra", json!(0.5)),
        ("/floor/projects/quayside", Value::Null),
        ("/floor/projects/quayside", json!(-1)),
        ("/floor/projects/nobody", json!(1)),
    ];
    for (pointer, new) in cases {
        let short: String = new.to_string().chars().take(40).collect();
        let error = parse(&with_value(pointer, new)).expect_err(pointer);
        writeln!(out, "{pointer} = {short}\n    [{}] {}", error.key, error.reason).expect("a string");
        assert_eq!(error.to_string(), format!("{}: {}", error.key, error.reason));
    }
    for text in [b"".as_slice(), b"{", b"[]", b"null"] {
        let error = Document::parse(text).expect_err("no document");
        writeln!(out, "{}\n    {error}", String::from_utf8_lossy(text)).expect("a string");
    }
    let error = Document::parse(&vec![b' '; MAX_DOCUMENT_BYTES + 1]).expect_err("too large");
    writeln!(out, "too large\n    {error}").expect("a string");
    assert_golden("settings/validation_errors.txt", &out);
}

#[test]
fn changes_that_need_a_restart_are_rejected_with_the_recorded_key_and_text() {
    let base = parse(&full_document()).expect("valid");
    let mut out = String::new();
    let mut without_tenant = with_value("/projects/1", Value::Null);
    without_tenant["floor"]["projects"].as_object_mut().expect("a table").remove("quayside");
    let mut without_class = with_value("/classes/1", Value::Null);
    without_class["floor"]["classes"].as_object_mut().expect("a table").remove("send-sms");
    let cases = [
        with_value("/classes/0/effect", json!("single_shot")),
        with_value("/classes/2/group", json!("zone")),
        with_value("/classes/2/window", json!(11.0)),
        with_value("/classes/1/fifo-by-key", json!(false)),
        with_value("/floor/max-attempts", json!(1)),
        without_tenant.clone(),
        without_class.clone(),
    ];
    for case in &cases {
        let error = parse(case).expect("valid by itself").may_follow(&base).expect_err("restart");
        writeln!(out, "{error}").expect("a string");
    }
    for case in [without_tenant, without_class] {
        let error = base.may_follow(&parse(&case).expect("valid")).expect_err("restart");
        writeln!(out, "{error}").expect("a string");
    }
    assert_golden("settings/restart_errors.txt", &out);
    let allowed = [("/max-attempts", json!(3)), ("/classes/0/worth", json!(1)), ("/shed", json!(true))];
    for (pointer, new) in allowed {
        assert_eq!(parse(&with_value(pointer, new)).expect("valid").may_follow(&base), Ok(()));
    }
}

#[test]
fn a_first_document_is_made_from_a_proxys_configuration_as_recorded() {
    let sample: Value = serde_json::from_str(include_str!("../deploy/sample.json")).expect("JSON");
    let first = initial_document(&sample["settings"], None).expect("a document");
    assert_golden("settings/first_document.json", &pretty(&first));
    let fallback: FallbackSettings =
        serde_json::from_value(full_document()["floor"].clone()).expect("fallback settings");
    let mut settings = json!({"classes": full_document()["classes"], "projects": full_document()["projects"],
                              "caps": {"retry-after": true, "max-retry-after": 2.0, "max-attempts": 4}});
    let with_fallback = initial_document(&settings, Some(fallback.clone())).expect("a document");
    assert_golden("settings/first_document_with_floor.json", &pretty(&with_fallback));
    let mut errors = String::new();
    for (pointer, new) in [
        ("/caps/retry-after", json!(false)),
        ("/caps/max-attempts", json!(40)),
        ("/caps/max-attempts", Value::Null),
        ("/classes", Value::Null),
    ] {
        *settings.pointer_mut(pointer).expect(pointer) = new;
        for fallback in [None, Some(fallback.clone())] {
            let result = initial_document(&settings, fallback).map(|d| d.max_retry_after);
            let text =
                result.map_or_else(|e| e.to_string(), |seconds| format!("made, max-retry-after {seconds}"));
            writeln!(errors, "{pointer}\n    {text}").expect("a string");
        }
    }
    let error = initial_document(&Value::Null, None).expect_err("no settings");
    writeln!(errors, "nothing\n    {error}").expect("a string");
    assert_golden("settings/first_document_errors.txt", &errors);
}

#[test]
fn differences_are_listed_by_the_recorded_keys() {
    let from = parse(&full_document()).expect("valid");
    let mut to = with_value("/classes/1", Value::Null);
    to["floor"]["classes"].as_object_mut().expect("a table").remove("send-sms");
    to["max-attempts"] = json!(4);
    to["classes"][1]["worth"] = json!(9);
    let to = parse(&to).expect("valid");
    assert_golden("settings/differences.json", &pretty(&differences(&from, &to)));
    assert!(differences(&from, &from).is_empty());
}

#[test]
fn agreements_are_written_and_read_as_recorded() {
    let document = Arc::new(parse(&minimal_document()).expect("valid"));
    let members = Members { revision: 7, slots: vec![0, 1, 2, 5, 7, 8] };
    let empty =
        AgreementView { revision: 1, members: MembersView::default(), committed: None, offered: None };
    let full = AgreementView {
        revision: 9,
        members: MembersView::from(&members),
        committed: Some(SettingsView { version: 4, document: None }),
        offered: Some(SettingsView { version: 8, document: Some(document) }),
    };
    for (name, view) in [("settings/agreed_at_first.json", empty), ("settings/agreed.json", full)] {
        let text = pretty(&view);
        assert_golden(name, &text);
        let read: AgreementView = serde_json::from_str(&text).expect("it parses");
        assert_eq!(pretty(&read), text);
    }
}

fn commands() -> Vec<Command> {
    let renewal = Renewal { session: 5, acknowledged: 4, active_version: 3, members: 2, list: 1 };
    vec![
        Command::Open { name: "p".into(), ttl_ms: 1_000, acknowledged: 4 },
        Command::Renew { renewals: vec![renewal, Renewal::default()] },
        Command::Close { session: 5 },
        Command::Refuse { session: Some(5), name: "p".into(), version: 8, reason: "a: b".into() },
        Command::Refuse { session: None, name: "p".into(), version: 8, reason: "a: b".into() },
        Command::Publish {
            parent: 4,
            document: Arc::new(parse(&minimal_document()).expect("valid")),
            by: "ops".into(),
            note: "a note".into(),
            unix_ms: 1_700_000_000_000,
        },
    ]
}

#[test]
fn commands_are_stored_and_read_as_recorded() {
    let text = pretty(&commands());
    assert_golden("settings/commands.json", &text);
    assert_eq!(serde_json::from_str::<Vec<Command>>(&text).expect("they parse"), commands());
    let logged: Vec<store::Command> =
        commands().into_iter().map(|change| store::Command::ChangeAgreement { change, at_ms: 12 }).collect();
    assert_golden("settings/logged_commands.json", &pretty(&logged));
    // A renewal may omit most fields, but must not have unknown ones.
    let short: Renewal = serde_json::from_str(r#"{"session": 3}"#).expect("it parses");
    assert_eq!(short, Renewal { session: 3, ..Renewal::default() });
    let error = serde_json::from_str::<Renewal>(r#"{"session": 3, "in_force": 4}"#).expect_err("unknown");
    assert_golden("settings/renewal_error.txt", &format!("{error}\n"));
}

#[test]
fn outcomes_and_errors_are_stored_and_displayed_as_recorded() {
    let required = RequiredRevisions { agreed: 9, list: 6 };
    let outcomes = vec![
        CommandOutcome::Opened { session: 5, slot: 2, required },
        CommandOutcome::Renewed { lost: BTreeMap::from([(7, "why".to_string())]), required },
        CommandOutcome::Published(8),
        CommandOutcome::Nothing,
    ];
    let text = pretty(&outcomes);
    assert_golden("settings/outcomes.json", &text);
    assert_eq!(serde_json::from_str::<Vec<CommandOutcome>>(&text).expect("they parse"), outcomes);
    let errors = vec![
        AgreementError::Ttl(4),
        AgreementError::Text("name".into()),
        AgreementError::Full,
        AgreementError::Behind(8),
        AgreementError::Lost(5),
        AgreementError::NotOffered(8),
        AgreementError::Conflict { parent: 4, head: 8 },
        AgreementError::Document(DocumentError { key: "a.b".into(), reason: "from 1 to 2".into() }),
    ];
    let text = pretty(&errors);
    assert_golden("settings/errors.json", &text);
    assert_eq!(serde_json::from_str::<Vec<AgreementError>>(&text).expect("they parse"), errors);
    let messages: String = errors.iter().map(|e| format!("{e}\n")).collect();
    assert_golden("settings/errors.txt", &messages);
}

/// Makes a state with a version of each status, and with live and ended sessions; returns it with the outcome of each
/// command.
fn scenario() -> (Agreement, String) {
    let (mut agreement, mut revision, mut out) = (Agreement::default(), 1, String::new());
    let mut apply = |agreement: &mut Agreement, at_ms: u64, command: Command| {
        let outcome = agreement.apply(&command, at_ms, 3, &mut revision);
        let outcome =
            outcome.map_or_else(|e| format!("error: {e}"), |o| serde_json::to_string(&o).expect("JSON"));
        writeln!(out, "{at_ms} ms, revision {revision}: {outcome}").expect("a string");
    };
    let open = |name: &str, acknowledged| Command::Open { name: name.into(), ttl_ms: 1_000, acknowledged };
    let publish = |parent, worth: f64| {
        let mut document = full_document();
        document["classes"][0]["worth"] = json!(worth);
        let document = Arc::new(parse(&document).expect("valid"));
        Command::Publish { parent, document, by: "ops".into(), note: format!("worth {worth}"), unix_ms: 77 }
    };
    let renew = |session, acknowledged| {
        let renewal = Renewal { session, acknowledged, active_version: acknowledged, members: 2, list: 3 };
        Command::Renew { renewals: vec![renewal] }
    };
    let refuse = |session, version| Command::Refuse {
        session,
        name: "b".into(),
        version,
        reason: "classes.x: is not known".into(),
    };
    for (at_ms, command) in [
        (0, open("a", 0)),
        (0, open("b", 0)),
        (5, open("c", 0)),
        (6, open("", 0)),
        (10, publish(0, 1.0)),
        (11, publish(0, 1.5)),
        (20, renew(2, 5)),
        (21, renew(3, 5)),
        (22, open("d", 0)),
        (23, Command::Close { session: 4 }),
        (24, Command::Close { session: 4 }),
        (30, publish(5, 2.0)),
        (31, publish(8, 3.0)),
        (32, publish(10, 4.0)),
        (33, refuse(Some(3), 8)),
        (34, refuse(Some(3), 99)),
        (35, refuse(None, 11)),
        (36, renew(99, 0)),
        (40, renew(2, 11)),
    ] {
        apply(&mut agreement, at_ms, command);
    }
    agreement.tick(50, &mut revision);
    agreement.expire_by_command();
    agreement.expire_sessions(&[3, 99], 60, &mut revision);
    writeln!(out, "at last revision {revision}").expect("a string");
    (agreement, out)
}

#[test]
fn the_state_in_snapshots_is_written_and_read_as_recorded() {
    let (agreement, outcomes) = scenario();
    assert_golden("settings/scenario.txt", &outcomes);
    let text = pretty(&agreement);
    assert_golden("settings/state.json", &text);
    let read: Agreement = serde_json::from_str(&text).expect("it parses");
    assert_eq!(read, agreement);
    assert_golden("settings/empty_state.json", &pretty(&Agreement::default()));
    // A snapshot from before sessions expired only by command.
    let mut old = serde_json::to_value(Agreement::default()).expect("JSON");
    old.as_object_mut().expect("a table").remove("lapse_by_command");
    assert_eq!(serde_json::from_value::<Agreement>(old).expect("it parses"), Agreement::default());
    let versions: Vec<&Version> = agreement.versions().values().collect();
    assert_golden("settings/versions.json", &pretty(&versions));
}
