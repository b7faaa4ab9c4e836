//! Tests of `liveness`.

use super::*;
use crate::agreement::state;
use crate::registry::store::{Command, Instance, Lifecycle};
use std::net::SocketAddr;

const TTL_MS: u64 = 1_000;

fn store_with_instances(ids: &[&str]) -> Store {
    let mut store = Store::default();
    store.apply(&Command::ExpireByCommand).expect("applied");
    for id in ids {
        let instance = Instance {
            instance_id: (*id).into(),
            host_port: SocketAddr::from(([127, 0, 0, 1], 7000)),
            zone: String::new(),
            machine_type: String::new(),
            cell: 0,
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at_ms: 0,
        };
        store.apply(&Command::Register { instance, ttl_ms: TTL_MS, at_ms: 0 }).expect("registered");
    }
    store
}

fn instances(ids: &[&str]) -> Renewals {
    Renewals { instances: ids.iter().map(ToString::to_string).collect(), ..Renewals::default() }
}

#[test]
fn instances_expire_unless_renewed() {
    let store = store_with_instances(&["a", "b"]);
    let mut liveness = Liveness::default();
    liveness.become_leader(1, 0);
    assert_eq!(liveness.renew(&instances(&["a", "c"]), &store, 900).instances, ["c"], "c is not listed");
    assert!(liveness.expired(&store, 999).is_empty());
    assert_eq!(liveness.expired(&store, 1_000).instances, ["b"]);
    assert_eq!(liveness.expired(&store, 1_900).instances, ["a", "b"]);
}

#[test]
fn a_new_leader_grants_a_grace_period_of_one_ttl() {
    let store = store_with_instances(&["a"]);
    let mut liveness = Liveness::default();
    assert!(liveness.expired(&store, u64::MAX - 1).is_empty(), "this node does not lead");
    liveness.become_leader(7, 5_000);
    liveness.become_leader(7, 5_400);
    assert!(liveness.expired(&store, 5_999).is_empty());
    assert_eq!(liveness.expired(&store, 6_000).instances, ["a"], "the TTL counts from the new leadership");
    liveness.renew(&instances(&["a"]), &store, 5_900);
    liveness.become_follower();
    liveness.become_leader(7, 9_000);
    assert_eq!(liveness.expired(&store, 10_000).instances, ["a"], "earlier renewals are void");
}

#[test]
fn expired_grants_are_not_renewed_before_their_end_is_written() {
    let mut store = store_with_instances(&[]);
    let acquire = Command::Acquire { name: "d".into(), holder: "h".into(), ttl_ms: TTL_MS, at_ms: 0 };
    store.apply(&acquire).expect("granted");
    let token = store.lease("d").map_or(0, |grant| grant.token);
    let grant = |token| Renewals { grants: vec![GrantId { name: "d".into(), token }], ..Renewals::default() };
    let mut liveness = Liveness::default();
    liveness.become_leader(1, 0);
    assert!(liveness.renew(&grant(token), &store, 999).grants.is_empty());
    assert_eq!(liveness.renew(&grant(token + 1), &store, 999).grants.len(), 1, "another token");
    assert_eq!(liveness.renew(&grant(token), &store, 1_999).grants.len(), 1);
    let expired = liveness.expired(&store, 1_999);
    assert_eq!(expired.grants, grant(token).grants);
    store.apply(&Command::EndExpired { expired, at_ms: 1_999 }).expect("ended");
    assert!(store.lease("d").is_none());
}

#[test]
fn leases_change_holder_only_after_the_grant_ended() {
    let mut store = store_with_instances(&[]);
    let acquire = |holder: &str, at_ms| Command::Acquire {
        name: "d".into(),
        holder: holder.into(),
        ttl_ms: TTL_MS,
        at_ms,
    };
    store.apply(&acquire("h0", 0)).expect("granted");
    assert!(store.apply(&acquire("h1", 60_000)).is_err(), "the grant may have been renewed");
    let token = store.lease("d").map_or(0, |grant| grant.token);
    let grants = vec![GrantId { name: "d".into(), token }];
    store
        .apply(&Command::EndExpired { expired: Expired { grants, ..Expired::default() }, at_ms: 60_000 })
        .expect("ended");
    store.apply(&acquire("h1", 60_000)).expect("granted");
    assert!(store.lease("d").is_some_and(|grant| grant.token > token));
}

#[test]
fn sessions_expire_unless_renewed_and_keep_the_latest_report() {
    let mut store = store_with_instances(&[]);
    let open = state::Command::Open { name: "p".into(), ttl_ms: TTL_MS, acknowledged: 0 };
    store.apply(&Command::ChangeAgreement { change: open, at_ms: 0 }).expect("opened");
    let id = store.agreement().sessions().keys().copied().next().expect("a session");
    let renewal = |list| {
        let renewal = Renewal { session: id, list, ..Renewal::default() };
        Renewals { sessions: vec![renewal], ..Renewals::default() }
    };
    let mut liveness = Liveness::default();
    liveness.become_leader(1, 0);
    assert!(liveness.renew(&renewal(7), &store, 800).sessions.is_empty());
    assert!(liveness.renew(&renewal(3), &store, 900).sessions.is_empty());
    assert_eq!(liveness.last_renewal(id).map(|renewal| renewal.list), Some(7));
    assert!(liveness.expired(&store, 1_899).is_empty());
    assert_eq!(liveness.expired(&store, 1_900).sessions, [id]);
    assert!(liveness.renew(&renewal(8), &store, 1_900).sessions.contains_key(&id), "the session has expired");
    let expired = liveness.expired(&store, 1_900);
    store.apply(&Command::EndExpired { expired, at_ms: 1_900 }).expect("ended");
    liveness.retain_live(&store);
    assert_eq!(liveness, {
        let mut fresh = Liveness::default();
        fresh.become_leader(1, 0);
        fresh
    });
}

#[test]
fn logs_of_older_builds_apply_by_their_own_rules() {
    let mut store = Store::default();
    let acquire = |holder: &str, at_ms| Command::Acquire {
        name: "d".into(),
        holder: holder.into(),
        ttl_ms: TTL_MS,
        at_ms,
    };
    store.apply(&acquire("h0", 0)).expect("granted");
    store.apply(&acquire("h1", 1_000)).expect("granted: the first grant has expired");
    let text = serde_json::to_string(&Command::Expire { at_ms: 5 }).expect("JSON");
    assert_eq!(text, r#"{"op":"expire","at_ms":5}"#);
    let snapshot = store.snapshot();
    let mut old = serde_json::to_value(&snapshot).expect("JSON");
    old.as_object_mut().expect("an object").remove("lapse_by_command");
    let restored: crate::registry::store::Snapshot = serde_json::from_value(old).expect("an old snapshot");
    assert!(!Store::restore(restored).expires_by_command());
}
