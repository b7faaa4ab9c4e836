//! Tests of the agreement's state.

use super::*;
use crate::agreement::document::Document;
use crate::agreement::document::tests::sample;
use serde_json::json;
use std::sync::Arc;

struct Log {
    agreement: Agreement,
    revision: u64,
}

impl Log {
    fn new() -> Self {
        Self { agreement: Agreement::default(), revision: 1 }
    }

    fn apply(&mut self, at_ms: u64, command: Command) -> Result<CommandOutcome, AgreementError> {
        self.agreement.apply(&command, at_ms, 0, &mut self.revision)
    }

    fn open(&mut self, at_ms: u64, acknowledged: u64) -> Result<(u64, u32), AgreementError> {
        match self.apply(at_ms, Command::Open { name: "p".into(), ttl_ms: 1_000, acknowledged })? {
            CommandOutcome::Opened { session, slot, .. } => Ok((session, slot)),
            other => panic!("{other:?}"),
        }
    }

    fn publish(&mut self, at_ms: u64, parent: u64, worth: f64) -> Result<u64, AgreementError> {
        let mut document = sample();
        document["classes"][0]["worth"] = json!(worth);
        let document = Document::parse(document.to_string().as_bytes()).map(Arc::new)?;
        let (by, note) = ("ops".to_string(), String::new());
        match self.apply(at_ms, Command::Publish { parent, document, by, note, unix_ms: 0 })? {
            CommandOutcome::Published(version) => Ok(version),
            other => panic!("{other:?}"),
        }
    }

    fn renew(&mut self, at_ms: u64, session: u64, acknowledged: u64) -> Option<String> {
        let renewal = Renewal { session, acknowledged, ..Renewal::default() };
        match self.apply(at_ms, Command::Renew { renewals: vec![renewal] }) {
            Ok(CommandOutcome::Renewed { mut lost, .. }) => lost.remove(&session),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn an_offer_is_committed_once_all_sessions_acknowledge_it_or_expire() {
    let mut log = Log::new();
    let ((a, slot_a), (b, slot_b)) = (log.open(0, 0).expect("opens"), log.open(0, 0).expect("opens"));
    assert_eq!((slot_a, slot_b), (0, 1));
    let first = log.publish(10, 0, 1.0).expect("published");
    assert_eq!((log.agreement.offered(), log.agreement.committed()), (Some(first), 0));
    assert_eq!(log.renew(20, a, first), None);
    assert_eq!(log.agreement.committed(), 0, "b has not acknowledged it");
    assert_eq!(
        log.open(30, 0),
        Err(AgreementError::Behind(first)),
        "a proxy must acknowledge the offer before it joins"
    );
    // b renews without acknowledging the offer: a TTL after the offer it is no longer renewed, and it expires a TTL
    // later.
    assert_eq!(log.renew(900, b, 0), None);
    assert_eq!(log.renew(900, a, first), None);
    assert!(log.renew(1_011, b, 0).is_some_and(|reason| reason.contains("not acknowledged")));
    assert_eq!(log.renew(1_850, a, first), None);
    log.agreement.tick(1_899, &mut log.revision);
    assert_eq!((log.agreement.committed(), log.open(1_899, first).expect("opens").1), (0, 2));
    log.agreement.tick(1_900, &mut log.revision);
    assert_eq!((log.agreement.committed(), log.agreement.offered()), (first, None));
    assert_eq!(log.open(1_901, first).expect("opens").1, 1, "the slot is free only after the expiry");
    log.agreement.tick(1_950, &mut log.revision);
    assert_eq!(log.agreement.members().slots, [0, 1, 2]);
    assert!(log.agreement.latest_change() >= log.agreement.members().revision);
}

#[test]
fn concurrent_publication_conflicts_and_waiting_versions_are_superseded() {
    let mut log = Log::new();
    let (a, _) = log.open(0, 0).expect("opens");
    let first = log.publish(1, 0, 1.0).expect("published");
    assert_eq!(log.publish(1, 0, 2.0), Err(AgreementError::Conflict { parent: 0, head: first }));
    let mut head = first;
    for n in 0..100 {
        head = log.publish(2, head, f64::from(n)).expect("published");
    }
    assert_eq!((log.agreement.offered(), log.agreement.versions().len()), (Some(first), 101));
    assert_eq!(log.renew(3, a, first), None);
    assert_eq!((log.agreement.committed(), log.agreement.offered()), (first, Some(head)));
    let statuses: Vec<&VersionStatus> = log.agreement.versions().values().map(|v| &v.status).collect();
    assert_eq!(statuses.iter().filter(|s| ***s == VersionStatus::Superseded).count(), 99);
    // A late acknowledgement of the first version does not commit the second; its own does.
    assert_eq!(log.renew(4, a, first), None);
    assert_eq!(log.agreement.committed(), first);
    assert_eq!(log.renew(4, a, head), None);
    assert_eq!(log.agreement.committed(), head);
}

#[test]
fn a_version_that_a_proxy_cannot_apply_is_withdrawn() {
    let mut log = Log::new();
    let ((a, _), (b, _)) = (log.open(0, 0).expect("opens"), log.open(0, 0).expect("opens"));
    let first = log.publish(1, 0, 1.0).expect("published");
    assert_eq!(log.renew(2, a, first), None);
    let refuse = |session, version| Command::Refuse {
        session: Some(session),
        name: "p".into(),
        version,
        reason: "classes.x: is not known".into(),
    };
    assert_eq!(log.apply(3, refuse(b, first + 9)), Err(AgreementError::NotOffered(first + 9)));
    assert_eq!(log.apply(3, refuse(b, first)), Ok(CommandOutcome::Nothing));
    assert_eq!((log.agreement.committed(), log.agreement.offered(), log.agreement.head()), (0, None, 0));
    let status = &log.agreement.version(first).expect("retained").status;
    assert_eq!(*status, VersionStatus::Withdrawn("p: classes.x: is not known".into()));
    assert_eq!(log.apply(4, refuse(b, first)), Err(AgreementError::NotOffered(first)));
    assert_eq!(log.apply(2_000, refuse(b, first)), Err(AgreementError::Lost(b)), "the session has expired");
}

#[test]
fn a_rejected_command_changes_nothing_and_history_is_bounded() {
    let mut log = Log::new();
    let (a, _) = log.open(0, 0).expect("opens");
    let mut head = log.publish(1, 0, 1.0).expect("published");
    assert_eq!(log.renew(1, a, head), None);
    let before = (log.agreement.clone(), log.revision);
    let open = |ttl_ms, name: &str| Command::Open { name: name.into(), ttl_ms, acknowledged: 99 };
    for bad in [open(499, "p"), open(60_001, "p"), open(1_000, ""), open(1_000, "a\nb")] {
        assert!(log.apply(2, bad).is_err());
    }
    assert!(log.apply(2, Command::Close { session: 99 }).is_err());
    assert!(log.publish(2, head, -1.0).is_err());
    assert_eq!((log.agreement.clone(), log.revision), before);
    for n in 0..MAX_VERSIONS + 10 {
        head = log.publish(2, head, n as f64).expect("published");
        assert_eq!(log.renew(2, a, head), None);
    }
    assert_eq!(log.agreement.versions().len(), MAX_VERSIONS);
    assert_eq!(
        log.agreement.versions.history_bytes,
        log.agreement.versions().values().map(|v| v.bytes).sum::<usize>()
    );
    assert_eq!(log.agreement.committed(), head);
    let stored = serde_json::to_vec(&log.agreement).expect("JSON");
    assert_eq!(serde_json::from_slice::<Agreement>(&stored).expect("reads"), log.agreement);
}

#[test]
fn a_fleet_of_1300_gets_slots_and_its_ended_sessions_are_retained() {
    const PROXIES: usize = 1_300;
    let mut log = Log::new();
    for n in 0..PROXIES {
        assert_eq!(log.open(0, 0).expect("opens").1 as usize, n);
    }
    log.agreement.tick(1, &mut log.revision);
    assert_eq!(log.agreement.members().slots.len(), PROXIES);
    log.agreement.tick(10_000, &mut log.revision);
    assert!(log.agreement.members().slots.is_empty());
    assert_eq!(log.agreement.ended().len(), PROXIES, "each is retained for the fleet's status");
}
