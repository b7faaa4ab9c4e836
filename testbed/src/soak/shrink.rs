//! Shrinks a plan that fails to the faults that it takes.

use super::plan::Plan;

/// How often a plan without one of its faults is played before that fault counts as needed.
pub const PLAYS: usize = 2;

/// Leaves out one fault after another for as long as `fails` says that the plan still does.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let mut least = plan.clone();
    let mut at = 0;
    while at < least.faults.len() {
        let shorter = least.without(at);
        if (0..PLAYS).any(|_| fails(&shorter)) {
            least = shorter;
        } else {
            at += 1;
        }
    }
    least
}
