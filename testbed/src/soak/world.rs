//! The simulated surroundings of a run's processes, on one event loop: backends, discovery, clients and the writer of
//! registrations.

use super::backend::Backend;
use super::client::{Clients, Front};
use super::discovery::{Agent, Discovery, Entry};
use super::ledger::SharedLedger;
use super::list_service::RegistrationWriter;
use super::plan::Plan;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The simulated surroundings of a run, which share one event loop.
pub(super) struct World {
    pub(super) ledger: SharedLedger,
    pub(super) backends: Vec<Rc<Backend>>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) agents: RefCell<Vec<Agent>>,
    pub(super) clients: Rc<Clients>,
    pub(super) front: Rc<Front>,
    pub(super) writer: RefCell<Option<Rc<RegistrationWriter>>>,
}

thread_local! {
    /// The world of the event loop that runs on this thread.
    static WORLD: RefCell<Option<Rc<World>>> = const { RefCell::new(None) };
}

/// The world of the event loop of this thread; none before it is set up.
pub(super) fn world() -> Option<Rc<World>> {
    WORLD.with(|world| world.borrow().clone())
}

/// Sets up the world on the current event loop; returns the addresses of the agents and the initial list.
pub(super) async fn set_up(plan: Plan, ledger: SharedLedger) -> std::io::Result<(Vec<SocketAddr>, Value)> {
    let mut backends = Vec::new();
    for number in 0..plan.backends {
        backends.push(Backend::start(number, ledger.clone()).await?);
    }
    let entry = |b: &Rc<Backend>| Entry { address: b.address, lifecycle: "SERVING", started_ms: 0.0 };
    let discovery = Discovery::new(backends.iter().map(entry).collect(), ledger.clone(), plan.seed);
    let mut agents = Vec::new();
    for proxy in 0..plan.proxies {
        agents.push(discovery.start_agent(proxy).await?);
    }
    let addresses = agents.iter().map(|agent| agent.address).collect();
    let front =
        Rc::new(Front { addresses: RefCell::default(), in_service: RefCell::new(vec![true; plan.proxies]) });
    let clients = Rc::new(Clients {
        front: front.clone(),
        ledger: ledger.clone(),
        misbehaviour: Cell::default(),
        is_stopped: Cell::new(false),
        deadline: plan.deadline,
        used_ids: Cell::new(0),
    });
    let initial_list = discovery.list();
    let writer = RefCell::default();
    let new_world =
        World { ledger, backends, discovery, agents: RefCell::new(agents), clients, front, writer };
    WORLD.with(|world| *world.borrow_mut() = Some(Rc::new(new_world)));
    Ok((addresses, initial_list))
}
