//! Shrinks a plan that fails to the faults that it needs to fail.

use super::plan::Plan;

/// How often a plan without one of its faults must pass before the fault counts as needed.
pub const RUNS_PER_CANDIDATE: usize = 2;

/// Removes each fault without which the plan still fails, according to `fails`.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool) -> Plan {
    let mut smallest = plan.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let candidate = smallest.without(index);
        if (0..RUNS_PER_CANDIDATE).any(|_| fails(&candidate)) {
            smallest = candidate;
        } else {
            index += 1;
        }
    }
    smallest
}
