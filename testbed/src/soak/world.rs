//! What stands around the processes of a play, on one event loop: backends, discovery, clients and the list service's
//! writer.

use super::backend::Backend;
use super::client::{Clients, Front};
use super::discovery::{Agent, Discovery, Entry};
use super::ledger::Shared;
use super::list_service::Writes;
use super::plan::Plan;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// What runs on the loop, beside the processes.
pub(super) struct World {
    pub(super) ledger: Shared,
    pub(super) backends: Vec<Rc<Backend>>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) agents: RefCell<Vec<Agent>>,
    pub(super) clients: Rc<Clients>,
    pub(super) front: Rc<Front>,
    pub(super) writes: RefCell<Option<Rc<Writes>>>,
}

thread_local! {
    /// The world of the loop that this thread runs.
    static WORLD: RefCell<Option<Rc<World>>> = const { RefCell::new(None) };
}

/// The world of the loop that this runs on; none before it is set up.
pub(super) fn world() -> Option<Rc<World>> {
    WORLD.with(|world| world.borrow().clone())
}

/// Sets the world up on its loop.
pub(super) async fn set_up(plan: Plan, ledger: Shared) -> std::io::Result<(Vec<SocketAddr>, Value)> {
    let mut backends = Vec::new();
    for number in 0..plan.backends {
        backends.push(Backend::start(number, ledger.clone()).await?);
    }
    let entry = |b: &Rc<Backend>| Entry { address: b.address, lifecycle: "SERVING", started_ms: 0.0 };
    let discovery = Discovery::new(backends.iter().map(entry).collect(), ledger.clone());
    let mut agents = Vec::new();
    for proxy in 0..plan.proxies {
        agents.push(discovery.agent(proxy).await?);
    }
    let addresses = agents.iter().map(|agent| agent.address).collect();
    let front =
        Rc::new(Front { addresses: RefCell::default(), takes: RefCell::new(vec![true; plan.proxies]) });
    let clients = Rc::new(Clients {
        front: front.clone(),
        ledger: ledger.clone(),
        manner: Cell::default(),
        over: Cell::new(false),
        deadline: plan.deadline,
        ids: Cell::new(0),
    });
    let known = discovery.list();
    let writes = RefCell::default();
    let made = World { ledger, backends, discovery, agents: RefCell::new(agents), clients, front, writes };
    WORLD.with(|world| *world.borrow_mut() = Some(Rc::new(made)));
    Ok((addresses, known))
}
