//! Tests of the decisions of one balancer, through its public interface.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod endpoints;
mod final_answer;
mod health;
mod idempotency;
mod ordering;
mod retry;
mod selection;
mod settings;
mod slow_start;
mod subset;

use common::endpoint;
use linkhatch_proxy::EndpointEntry;

fn backends(n: u32) -> Vec<EndpointEntry> {
    (1..=n).map(endpoint).collect()
}
