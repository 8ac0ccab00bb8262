//! The processes of a run and the files they read.

mod counter;
mod gateways;
mod introspection_server;
mod servers;

use crate::event_log::EventLog;
use crate::fleet_rules::{Link, Published};
use crate::generated_config::write_whole;
use crate::ports::Ports;
use crate::process::Process;
use crate::scenario::Scenario;
use async_executor::Executor;
use async_io::Async;
use frostgauge_net::Pool;
use frostgauge_test_servers::paths::Path;
use frostgauge_test_servers::{dice, node};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path as FilePath, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time within which a process has to be ready.
const READY: Duration = Duration::from_secs(20);
pub(crate) const CLIENT: (&str, &str) = ("gateways", "not-a-real-secret");

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
    /// Nothing.
    Absent,
}

/// A node's place.
#[derive(Debug)]
pub struct NodeSlot {
    /// Its address; fixed from its first start.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// What the list says.
    pub listed: Listed,
    /// Its start as listed, milliseconds since 1970; 0: long ago.
    pub started_ms: u64,
    /// A step has it in hand.
    pub busy: bool,
    speed: f64,
    lives: usize,
    process: Option<Process>,
}

#[derive(Debug)]
struct GatewaySlot {
    admin: SocketAddr,
    process: Option<Process>,
}

/// What changes in a run.
pub struct State {
    /// Nodes, also those gone.
    pub nodes: Vec<NodeSlot>,
    /// The script's draws.
    pub rng: ChaCha8Rng,
    /// What was done.
    pub facts: EventLog,
    gateways: Vec<GatewaySlot>,
    introspection: Option<Process>,
    counter: Option<Process>,
    /// Versions of the fleet's rules that the script asked for.
    pub published: Vec<Published>,
    /// Nodes that the script replaced, by index, with the new one's.
    pub replaced: BTreeMap<usize, usize>,
    /// Changes of them that were not to be had in time.
    pub unpublished: Vec<String>,
    /// Folders of the counter's files: one, and one more for each return with nothing.
    pub counter_folders: Vec<PathBuf>,
    ports: Ports,
}

/// A run's processes.
pub struct Fleet {
    /// The day.
    pub scenario: Scenario,
    /// Its folder.
    pub dir: PathBuf,
    /// Where gateways take clients.
    pub doors: Vec<SocketAddr>,
    /// What plays the roles.
    pub(crate) program: PathBuf,
    backplane: SocketAddr,
    pub(crate) introspection: SocketAddr,
    /// Where the counter listens, where staff ask it, and the path there on which replies may be lost.
    pub counter: [SocketAddr; 3],
    /// Of all draws.
    pub(crate) seed: u64,
    /// Where gateways take links from each other, and the relays between them; none without agreed rules.
    pub(crate) link_doors: Vec<SocketAddr>,
    /// The relays.
    pub links: Vec<Link>,
    state: Mutex<State>,
    pool: Pool,
}

/// Waits for a process that was told to end; its exit code, or none if it goes on.
pub(crate) fn end_of(process: &mut Process) -> Option<i32> {
    let end = Instant::now() + READY;
    loop {
        match process.ended() {
            Some(code) => return Some(code),
            None if Instant::now() > end => return None,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// A relay for each ordered pair of gateways.
fn relays(doors: &[SocketAddr], executor: &Arc<Executor<'static>>) -> Result<Vec<Link>, String> {
    let mut links = vec![];
    for from in 0..doors.len() {
        for to in (0..doors.len()).filter(|to| *to != from) {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|e| e.to_string())?;
            let address = listener.get_ref().local_addr().map_err(|e| e.to_string())?;
            let path = Arc::new(Path::default());
            executor.spawn(path.clone().run(listener, executor.clone(), doors[to])).detach();
            links.push(Link { from, to, address, path });
        }
    }
    Ok(links)
}

impl Fleet {
    /// Starts everything and waits until it is ready; `program` plays the roles, and `backplane` must be
    /// served by the caller.
    ///
    /// # Errors
    /// A process that does not start, a port or file that cannot be had.
    pub fn start(
        program: &FilePath,
        scenario: Scenario,
        dir: &FilePath,
        seed: u64,
        backplane: SocketAddr,
        executor: &Arc<Executor<'static>>,
    ) -> Result<Fleet, String> {
        let mut ports = Ports::default();
        let count = scenario.gateways.count;
        let mut addresses = || (0..count).map(|_| ports.take()).collect::<Result<Vec<_>, _>>();
        let (doors, admins, peers) = (addresses()?, addresses()?, addresses()?);
        let link_doors = if scenario.accord.is_some() { addresses()? } else { vec![] };
        let links = relays(&link_doors, executor)?;
        let introspection = ports.take()?;
        let counter = [ports.take()?, ports.take()?, ports.take()?];
        let state = State {
            nodes: vec![],
            rng: dice(seed, "script"),
            facts: EventLog::default(),
            gateways: admins.iter().map(|a| GatewaySlot { admin: *a, process: None }).collect(),
            introspection: None,
            counter: None,
            published: vec![],
            unpublished: vec![],
            replaced: BTreeMap::new(),
            counter_folders: vec![],
            ports,
        };
        let pool = Pool::new(4, Duration::from_secs(5));
        let fleet = Fleet {
            scenario,
            dir: dir.to_path_buf(),
            doors,
            program: program.to_path_buf(),
            backplane,
            introspection,
            counter,
            seed,
            link_doors,
            links,
            state: Mutex::new(state),
            pool,
        };
        write_whole(&dir.join("client.secret"), CLIENT.1, true)?;
        write_whole(&dir.join("link.secret"), "shared by the links of one run", true)?;
        write_whole(&dir.join("peer.secret"), "shared by the gateways of one run", true)?;
        fleet.start_introspection()?;
        if fleet.scenario.counter.is_some() {
            fleet.write_counter()?;
            fleet.start_counter(true)?;
        }
        for k in 0..fleet.scenario.nodes.count {
            fleet.add_node(k, false)?;
        }
        fleet.write_list()?;
        for k in 0..count {
            let text = format!("{:#}", fleet.settings(k, &admins, &peers));
            // JSON is Jsonnet; the list of nodes comes from a file of its own.
            let text = text.replace("\"NODES\"", "import 'nodes.jsonnet'");
            write_whole(&fleet.settings_path(k), &text, false)?;
        }
        fleet.found()?;
        for k in 0..count {
            fleet.start_gateway(k)?;
        }
        for k in 0..count {
            fleet.wait_ready(k)?;
        }
        Ok(fleet)
    }

    /// What changes.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn settings_path(&self, gateway: usize) -> PathBuf {
        self.dir.join(format!("gateway-{gateway}.jsonnet"))
    }

    /// Notes processes that ended by themselves.
    pub fn look_for_dead(&self) {
        let mut s = self.state();
        let State { nodes, gateways, introspection, counter, facts, .. } = &mut *s;
        let nodes = nodes.iter_mut().filter_map(|n| n.process.as_mut());
        let gateways = gateways.iter_mut().filter_map(|g| g.process.as_mut());
        for process in nodes.chain(gateways).chain(introspection.as_mut()).chain(counter.as_mut()) {
            // A node that fell over is told by its ledger.
            match process.ended() {
                Some(code) if code != node::FELL => {
                    facts.died.push(format!("{}: exit code {code}", process.name))
                }
                _ => {}
            }
        }
    }
}
