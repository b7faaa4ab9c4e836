//! The stored form of the list service's commands and snapshots: this build must read the logs and snapshots that an
//! earlier build wrote, and that build must read those of this one.

use linkhatch_proxy::registry::store::{Command, Snapshot, Store, StoreError};
use serde::Serialize;
use serde::de::DeserializeOwned;

const INSTANCE: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:7000","zone":"a","machineType":"m","cell":3,"lifecycle":"SERVING","weight":1.5,"startedAtMs":12}"#;

/// Asserts that a stored text is written again unchanged after it was read.
fn assert_round_trip<T: Serialize + DeserializeOwned>(text: &str) {
    let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
    assert_eq!(serde_json::to_string(&value).expect("JSON"), text);
}

#[test]
fn commands_keep_their_stored_form() {
    let commands = [
        &format!(r#"{{"op":"register","instance":{INSTANCE},"ttl_ms":1000,"at_ms":5}}"#),
        r#"{"op":"heartbeat","instance_id":"s-1","at_ms":5}"#,
        r#"{"op":"deregister","instance_id":"s-1"}"#,
        r#"{"op":"set_weight","instance_id":"s-1","weight":0.5}"#,
        r#"{"op":"drain","instance_id":"s-1"}"#,
        r#"{"op":"expire","at_ms":5}"#,
        r#"{"op":"lapse_by_command"}"#,
        r#"{"op":"lapse","lapsed":{"instances":["s-1"],"grants":[{"name":"d","token":3}],"sessions":[4]},"at_ms":5}"#,
        r#"{"op":"acquire","name":"d","holder":"h","ttl_ms":1000,"at_ms":5}"#,
        r#"{"op":"keep_alive","name":"d","token":3,"at_ms":5}"#,
        r#"{"op":"join","node":2,"incarnation":77}"#,
        r#"{"op":"agree","change":{"op":"open","name":"p","ttl_ms":1000,"holds":0},"at_ms":5}"#,
        r#"{"op":"forget","node":2}"#,
        r#"{"op":"release","name":"d","token":3}"#,
    ];
    commands.iter().for_each(|text| assert_round_trip::<Command>(text));
}

#[test]
fn rejections_keep_their_form_between_nodes() {
    let errors = [
        r#"{"Unknown":"s-1"}"#,
        r#"{"Ttl":1}"#,
        r#"{"Weight":0.5}"#,
        r#""Registration""#,
        r#"{"Name":"zone"}"#,
        r#""Full""#,
        r#"{"Held":{"name":"d","holder":"h","token":3,"expires_at_ms":9}}"#,
        r#"{"Lost":"d"}"#,
        r#"{"Joined":2}"#,
        r#"{"Agree":"full"}"#,
        r#""TooManyLeases""#,
    ];
    errors.iter().for_each(|text| assert_round_trip::<StoreError>(text));
}

#[test]
fn a_snapshot_keeps_its_stored_form() {
    let commands = [
        r#"{"op":"lapse_by_command"}"#,
        &format!(r#"{{"op":"register","instance":{INSTANCE},"ttl_ms":1000,"at_ms":5}}"#),
        r#"{"op":"acquire","name":"d","holder":"h","ttl_ms":1000,"at_ms":7}"#,
        r#"{"op":"join","node":2,"incarnation":77}"#,
    ];
    let mut store = Store::default();
    for text in commands {
        let command: Command = serde_json::from_str(text).expect("a command");
        store.apply(&command).expect("applied");
    }
    let agreement = serde_json::to_string(store.agreement()).expect("JSON");
    let expected = format!(
        r#"{{"revision":3,"listed":{{"s-1":{{"instance":{INSTANCE},"ttl_ms":1000,"expires_at_ms":1005}}}},"clock_ms":7,"leases":{{"d":{{"holder":"h","token":3,"ttl_ms":1000,"expires_at_ms":1007}}}},"nodes":{{"2":77}},"list_revision":2,"agreement":{agreement},"lapse_by_command":true}}"#
    );
    assert_eq!(serde_json::to_string(&store.snapshot()).expect("JSON"), expected);
    assert_round_trip::<Snapshot>(&expected);
    let oldest = r#"{"revision":2,"listed":{},"clock_ms":7}"#;
    let restored = Store::restore(serde_json::from_str(oldest).expect("a snapshot of an early build"));
    assert_eq!((restored.revision(), restored.list_revision(), restored.clock_ms()), (2, 0, 7));
}
