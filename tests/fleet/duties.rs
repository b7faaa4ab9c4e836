//! Duties held by a lease, on real processes: a holder paused past its TTL, one cut from the list service
//! but not from the resource, two contenders started together, a fast clock with renewals lost. Each test
//! asserts from the resource's record that no two holders' valid acts overlapped, what was fenced off, and
//! that the duty was taken over within the bound.

use crate::harness::process::{Fleet, Process};
use crate::harness::relay::{Fault, Relay};
use crate::harness::resource::{self, Resource};
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const TTL_MS: u64 = 1000;
const RETRY_MS: u64 = 100;
const EVERY_MS: u64 = 20;
/// From a holder's fault to the first act of the next: the TTL (its last renewal reached the service before
/// the fault), the contender's retry, its call, one act's interval, and 100 ms for the loaded machine.
const HANDOVER_BOUND: Duration = Duration::from_millis(TTL_MS + RETRY_MS + EVERY_MS + 100);

fn holder_config(registry: SocketAddr, name: &str, holder: &str, target: SocketAddr, rate: f64) -> String {
    format!(
        "registry = [\"{registry}\"]\nname = \"{name}\"\nholder = \"{holder}\"\nttl_ms = {TTL_MS}\n\
         retry_ms = {RETRY_MS}\nclock_rate = {rate}\n[duty]\ntarget = \"{target}\"\nevery_ms = {EVERY_MS}\n"
    )
}

fn start(fleet: &mut Fleet) -> (Process, Resource) {
    let list = fleet.registry("listen = \"127.0.0.1:0\"\n").expect("the list service starts");
    (list, Resource::start().expect("the resource starts"))
}

/// Lets time pass for the processes to act in; what they did is judged from the record, not from this.
fn pass(time: Duration) {
    std::thread::sleep(time);
}

#[test]
fn a_holder_paused_past_its_ttl_is_fenced_off_and_another_takes_over_within_the_bound() {
    let mut fleet = Fleet::new(Duration::from_secs(30));
    let (list, resource) = start(&mut fleet);
    let a = fleet.holder(&holder_config(list.address(), "warm", "h-a", resource.address(), 1.0)).unwrap();
    let (first, _) = resource.first_above(0, Duration::from_secs(3)).expect("the first holder acts");
    let mut b = fleet.holder(&holder_config(list.address(), "warm", "h-b", resource.address(), 1.0)).unwrap();
    pass(Duration::from_millis(600));
    assert!(resource.acts().iter().all(|act| act.holder == "h-a"), "only the holder acts");

    a.signal(Signal::SIGSTOP);
    let stopped = Instant::now();
    let (second, took) = resource.first_above(first, Duration::from_secs(5)).expect("the duty is taken over");
    let handover = took - stopped;
    pass((stopped + Duration::from_millis(2500)).saturating_duration_since(Instant::now()));
    a.signal(Signal::SIGCONT);
    pass(Duration::from_millis(600));

    let acts = resource.acts();
    let tally = resource::tally(&acts);
    let stale = acts.iter().filter(|act| act.holder == "h-a" && act.at > took);
    let stale_admitted = stale.clone().filter(|act| act.admitted).count();
    eprintln!(
        "paused holder: handover {handover:?}, {tally:?}, acts of the resumed holder {}",
        stale.count()
    );
    assert!(handover <= HANDOVER_BOUND, "handed over in {handover:?}");
    assert_eq!(tally.overlapping, 0, "no two valid acts overlap");
    assert_eq!(stale_admitted, 0, "the resumed holder's acts, if any, are fenced off");
    assert_eq!(acts.iter().filter(|act| act.holder == "h-b" && act.token != second).count(), 0);

    // The resumed holder knows it lost the duty, and contends again: it takes over from the next holder.
    b.kill();
    let (third, _) =
        resource.first_above(second, Duration::from_secs(3)).expect("the resumed holder takes over");
    let acts = resource.acts();
    assert!(acts.iter().any(|act| act.token == third && act.holder == "h-a" && act.admitted));
    assert_eq!(resource::tally(&acts).overlapping, 0);
    fleet.check_deadline();
}

#[test]
fn a_holder_cut_from_the_list_service_stops_before_another_acts() {
    let mut fleet = Fleet::new(Duration::from_secs(30));
    let (list, resource) = start(&mut fleet);
    let relay = Relay::start(list.address()).expect("the relay starts");
    let _a = fleet.holder(&holder_config(relay.address(), "warm", "h-a", resource.address(), 1.0)).unwrap();
    let (first, _) = resource.first_above(0, Duration::from_secs(3)).expect("the first holder acts");
    let _b = fleet.holder(&holder_config(list.address(), "warm", "h-b", resource.address(), 1.0)).unwrap();
    pass(Duration::from_millis(600));

    // Cut from the list service, not from the resource: it must stop by its own bound.
    relay.set(Fault::BlackHole);
    let cut = Instant::now();
    let (_, took) = resource.first_above(first, Duration::from_secs(5)).expect("the duty is taken over");
    let handover = took - cut;
    pass(Duration::from_millis(1000));

    let acts = resource.acts();
    let tally = resource::tally(&acts);
    let last_of_a = acts.iter().filter(|act| act.holder == "h-a").map(|act| act.at).max().expect("it acted");
    eprintln!(
        "cut holder: handover {handover:?}, quiet {:?} before the next acted, {tally:?}",
        took.saturating_duration_since(last_of_a)
    );
    assert!(handover <= HANDOVER_BOUND, "handed over in {handover:?}");
    assert!(last_of_a < took, "the cut holder stopped before the next one acted");
    assert_eq!((tally.late, tally.fenced, tally.overlapping, tally.tokens), (0, 0, 0, 2), "{tally:?}");
    fleet.check_deadline();
}

#[test]
fn of_two_contenders_started_together_one_acts_twenty_times_over() {
    const ROUNDS: usize = 20;
    let mut fleet = Fleet::new(Duration::from_secs(60));
    let list = fleet.registry("listen = \"127.0.0.1:0\"\n").expect("the list service starts");
    let mut winners = [0; 2];
    for round in 0..ROUNDS {
        let resource = Resource::start().expect("the resource starts");
        let name = format!("warm-{round}");
        let contenders: Vec<Process> = ["h-a", "h-b"]
            .iter()
            .map(|h| fleet.holder(&holder_config(list.address(), &name, h, resource.address(), 1.0)).unwrap())
            .collect();
        resource.first_above(0, Duration::from_secs(3)).expect("one contender acts");
        pass(Duration::from_millis(250));
        let acts = resource.acts();
        let tally = resource::tally(&acts);
        assert_eq!((tally.tokens, tally.late, tally.fenced, tally.overlapping), (1, 0, 0, 0), "{tally:?}");
        winners[usize::from(acts[0].holder == "h-b")] += 1;
        drop(contenders);
    }
    eprintln!(
        "two contenders, {ROUNDS} rounds: won by the first started {}, the second {}",
        winners[0], winners[1]
    );
    fleet.check_deadline();
}

#[test]
fn a_fast_clock_and_one_renewal_lost_in_three_keep_one_holder_and_hand_over_in_bound() {
    let mut fleet = Fleet::new(Duration::from_secs(30));
    let (list, resource) = start(&mut fleet);
    let relay = Relay::start(list.address()).expect("the relay starts");
    let mut a =
        fleet.holder(&holder_config(relay.address(), "warm", "h-a", resource.address(), 1.02)).unwrap();
    let (first, _) = resource.first_above(0, Duration::from_secs(3)).expect("the first holder acts");
    relay.set(Fault::Drop { one_in: 3 });
    // The other's clock runs 2% slow, within the 5% that the bound allows for.
    let _b = fleet.holder(&holder_config(list.address(), "warm", "h-b", resource.address(), 0.98)).unwrap();
    pass(Duration::from_millis(3000));
    let kept = resource::tally(&resource.acts());
    let dropped = relay.counts().dropped.load(Ordering::SeqCst);
    let accepted = relay.counts().accepted.load(Ordering::SeqCst);

    a.kill();
    let killed = Instant::now();
    let (_, took) = resource.first_above(first, Duration::from_secs(5)).expect("the duty is taken over");
    let handover = took - killed;
    let tally = resource::tally(&resource.acts());
    eprintln!(
        "fast clock, lost renewals: {dropped} of {accepted} calls lost, handover {handover:?}, {tally:?}"
    );
    assert!(dropped >= 2, "renewals were lost: {dropped} of {accepted}");
    assert_eq!(kept.tokens, 1, "the holder kept its duty through lost renewals: {kept:?}");
    assert!(handover <= HANDOVER_BOUND, "handed over in {handover:?}");
    assert_eq!((tally.late, tally.fenced, tally.overlapping, tally.tokens), (0, 0, 0, 2), "{tally:?}");
    fleet.check_deadline();
}
