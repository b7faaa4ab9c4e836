//! Tests of `store`.

use super::*;
use proptest::prelude::*;
use std::net::SocketAddr;

fn instance(n: u8, lifecycle: Lifecycle, weight: f64) -> Instance {
    Instance {
        instance_id: format!("s-{n}"),
        host_port: SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n))),
        zone: "a".into(),
        machine_type: "m".into(),
        cell: 0,
        lifecycle,
        weight,
        started_at_ms: 0,
    }
}

fn command() -> impl Strategy<Value = Command> {
    let id = (0u8..6).prop_map(|n| format!("s-{n}"));
    prop_oneof![
        (0u8..6, any::<bool>(), 1u8..4, 0u64..400_000, 0u64..20_000).prop_map(
            |(n, is_draining, weight, ttl, at)| {
                let lifecycle = if is_draining { Lifecycle::Draining } else { Lifecycle::Serving };
                Command::Register {
                    instance: instance(n, lifecycle, f64::from(weight)),
                    ttl_ms: ttl,
                    at_ms: at,
                }
            }
        ),
        (id.clone(), 0u64..20_000).prop_map(|(instance_id, at_ms)| Command::Heartbeat { instance_id, at_ms }),
        id.clone().prop_map(|instance_id| Command::Deregister { instance_id }),
        (id.clone(), -1i8..4)
            .prop_map(|(instance_id, w)| Command::SetWeight { instance_id, weight: f64::from(w) }),
        id.prop_map(|instance_id| Command::Drain { instance_id }),
        (0u64..40_000).prop_map(|at_ms| Command::Expire { at_ms }),
    ]
}

proptest! {
    // A fixed seed, so that every run has the same result.
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5eed_11a7),
        ..ProptestConfig::default()
    })]

    /// A watcher that applies every answer, even after skipped polls, has the complete list, and the revision that it
    /// sees never goes back; a rejected command changes nothing.
    #[test]
    fn watchers_reach_the_complete_list_and_revisions_only_grow(
        commands in proptest::collection::vec(command(), 1..80),
        skipped_polls in proptest::collection::vec(0usize..80, 0..6),
    ) {
        let mut store = Store::default();
        let mut view: BTreeMap<String, Instance> = BTreeMap::new();
        let mut seen = 0;
        for (i, command) in commands.iter().enumerate() {
            let before = (store.revision(), store.full_list(), store.clock_ms);
            match store.apply(command) {
                Ok(revision) => prop_assert!(revision >= before.0),
                Err(_) => prop_assert_eq!((store.revision(), store.full_list(), store.clock_ms), before),
            }
            if skipped_polls.contains(&i) {
                continue;
            }
            prop_assert_eq!(store.has_changes_since(seen), store.changes_since(seen).is_some());
            if let Some(answer) = store.changes_since(seen) {
                prop_assert!(answer.revision > seen);
                if answer.reset {
                    view.clear();
                }
                for instance in answer.instances {
                    if instance.lifecycle == Lifecycle::Deleted {
                        view.remove(&instance.instance_id);
                    } else {
                        view.insert(instance.instance_id.clone(), instance);
                    }
                }
                seen = answer.revision;
            }
            prop_assert_eq!(view.values().cloned().collect::<Vec<_>>(), store.full_list().instances);
        }
    }
}

#[test]
fn entries_expire_after_their_ttl_unless_renewed() {
    let mut store = Store::default();
    let register =
        Command::Register { instance: instance(1, Lifecycle::Serving, 1.0), ttl_ms: 1000, at_ms: 0 };
    assert_eq!(store.apply(&register), Ok(2));
    let heartbeat = Command::Heartbeat { instance_id: "s-1".into(), at_ms: 900 };
    assert_eq!(store.apply(&heartbeat), Ok(2), "a heartbeat changes no revision");
    assert_eq!(store.apply(&Command::Expire { at_ms: 1800 }), Ok(2), "it expires only at 1900");
    assert_eq!(store.apply(&Command::Expire { at_ms: 1900 }), Ok(3));
    assert!(store.is_empty());
    let removal = store.changes_since(2).expect("a change");
    assert_eq!((removal.reset, removal.instances[0].lifecycle), (false, Lifecycle::Deleted));
}

#[test]
fn a_clock_that_jumps_back_does_not_prolong_entries() {
    let mut store = Store::default();
    let register =
        Command::Register { instance: instance(1, Lifecycle::Serving, 1.0), ttl_ms: 1000, at_ms: 5000 };
    store.apply(&register).expect("listed");
    // A new leader whose clock is behind stamps its commands with the log's time.
    assert_eq!(store.stamp(1000), 5000);
    store.apply(&Command::Heartbeat { instance_id: "s-1".into(), at_ms: 1000 }).expect("renewed");
    store.apply(&Command::Expire { at_ms: 6000 }).expect("expired");
    assert!(store.is_empty(), "expired at 6000, a TTL after its last heartbeat on the log's clock");
}

#[test]
fn watches_ahead_of_the_store_wait_and_old_ones_get_the_complete_list() {
    let mut store = Store::default();
    assert_eq!(store.changes_since(1), None);
    assert_eq!(
        store.changes_since(9),
        None,
        "a watcher that saw a later revision on another node gets nothing older"
    );
    for n in 0..(MAX_RETAINED_CHANGES + 2) {
        let weight = 1.0 + (n % 2) as f64;
        store
            .apply(&Command::Register {
                instance: instance(1, Lifecycle::Serving, weight),
                ttl_ms: 1000,
                at_ms: 0,
            })
            .expect("listed");
    }
    let answer = store.changes_since(1).expect("the complete list");
    assert!(answer.reset && answer.instances.len() == 1);
    assert!(!store.changes_since(store.revision() - 1).expect("a change").reset);
}

#[test]
fn the_list_never_exceeds_the_size_that_a_proxy_reads() {
    let mut store = Store::default();
    let mut rejected = 0;
    for n in 0..MAX_ENTRIES {
        let mut long = instance(1, Lifecycle::Serving, 0.123_456_789);
        long.instance_id = format!("{n:0>MAX_NAME_LEN$}");
        (long.zone, long.machine_type) = ("z".repeat(MAX_NAME_LEN), "m".repeat(MAX_NAME_LEN));
        let register = Command::Register { instance: long, ttl_ms: 1000, at_ms: 0 };
        rejected += usize::from(store.apply(&register) == Err(StoreError::Full));
    }
    assert!(rejected > 0 && store.len() + rejected == MAX_ENTRIES);
    assert!(store.len() >= 1_300, "{} entries with the longest names", store.len());
    for id in store.endpoints.entries().keys().cloned().collect::<Vec<_>>() {
        store.apply(&Command::Drain { instance_id: id }).expect("drained");
    }
    let list = serde_json::to_vec(&store.full_list().instances).expect("a list").len();
    assert!(list + 256 < 1 << 20 && list > 1_000_000, "{list} bytes");
    assert_eq!(store.endpoints.json_bytes, Store::restore(store.snapshot()).endpoints.json_bytes);
}

#[test]
fn lease_grants_do_not_wake_list_watchers() {
    let mut store = Store::default();
    let register =
        Command::Register { instance: instance(1, Lifecycle::Serving, 1.0), ttl_ms: 1000, at_ms: 0 };
    store.apply(&register).expect("listed");
    let acquire = Command::Acquire { name: "warm".into(), holder: "p1".into(), ttl_ms: 1000, at_ms: 0 };
    assert_eq!(store.apply(&acquire), Ok(3));
    assert_eq!(store.changes_since(2), None, "no listed entry changed after revision 2");
    store.apply(&Command::Drain { instance_id: "s-1".into() }).expect("drained");
    let answer = store.changes_since(2).expect("a change");
    assert_eq!((answer.revision, answer.instances.len()), (4, 1));
}

#[test]
fn invalid_commands_are_rejected_without_a_change() {
    let mut store = Store::default();
    let mut rejection = |change: &dyn Fn(&mut Instance)| {
        let mut bad = instance(1, Lifecycle::Serving, 1.0);
        change(&mut bad);
        store.apply(&Command::Register { instance: bad, ttl_ms: 1000, at_ms: 0 }).unwrap_err()
    };
    for id in ["", "a b", "a\nb", &"x".repeat(MAX_NAME_LEN + 1)] {
        assert_eq!(rejection(&|i| i.instance_id = id.into()), StoreError::InvalidName("instanceId".into()));
    }
    assert_eq!(rejection(&|i| i.zone = "z\0".into()), StoreError::InvalidName("zone".into()));
    assert_eq!(rejection(&|i| i.machine_type = "é".into()), StoreError::InvalidName("machineType".into()));
    assert_eq!(rejection(&|i| i.host_port.set_port(0)), StoreError::InvalidRegistration);
    let bad_ttl = Command::Register { instance: instance(1, Lifecycle::Serving, 1.0), ttl_ms: 10, at_ms: 0 };
    assert_eq!(store.apply(&bad_ttl), Err(StoreError::InvalidTtl(10)));
    let deleted =
        Command::Register { instance: instance(1, Lifecycle::Deleted, 1.0), ttl_ms: 1000, at_ms: 0 };
    assert_eq!(store.apply(&deleted), Err(StoreError::InvalidRegistration));
    let nan = Command::SetWeight { instance_id: "s-1".into(), weight: f64::NAN };
    assert!(matches!(store.apply(&nan), Err(StoreError::InvalidWeight(_))));
    assert_eq!(
        store.apply(&Command::Drain { instance_id: "s-9".into() }),
        Err(StoreError::Unknown("s-9".into()))
    );
    assert_eq!(store.revision(), 1);
}
