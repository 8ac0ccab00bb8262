//! The task on real sockets and disks: three keepers and a follower on loopback, in one process.

use async_executor::Executor;
use async_io::Timer;
use frostgauge_consensus::{
    Class, GatewayId, Message, Outcome, Plan, Proposal, RuleSource, Rules, Server, ServerState, Tenant,
    TimingSettings, RULES_FORMAT,
};
use frostgauge_fleet_agent::task::{self, Command, NumberedRules, TaskClock, TaskConfig, TaskHandle};
use frostgauge_fleet_agent::ProcessConfig;
use frostgauge_net::{Closing, Hold};
use frostgauge_peer_transport::{Key, PeerTransport};
use futures_lite::future;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let name = format!("frostgauge-task-{}-{:08x}", std::process::id(), rand::random::<u32>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn rules(rate_milli: u64) -> Rules {
    let class = Class { cost_milli: 1_000, repeatable: true, on_fallback: true };
    let tenant = Tenant { plan: "p".into(), classes: ["read".to_owned()].into(), floor_milli: 100 };
    let server = Server { address: "127.0.0.1:9".into(), state: ServerState::Ready, zone: String::new() };
    Rules {
        format: RULES_FORMAT,
        classes: [("read".into(), class)].into(),
        plans: [("p".into(), Plan { rate_milli, ceiling_milli: None })].into(),
        tenants: [("vale".into(), tenant)].into(),
        servers: [("s".into(), server)].into(),
        gateways: (0..4).collect(),
        budgets: Default::default(),
    }
}

struct Up {
    task: TaskHandle,
    thread: JoinHandle<()>,
    _hold: Hold,
}

struct Fleet {
    executor: Arc<Executor<'static>>,
    addresses: Vec<SocketAddr>,
    folder: Folder,
    up: Vec<Option<Up>>,
}

impl Fleet {
    fn folder(&self, k: usize) -> PathBuf {
        self.folder.0.join(k.to_string())
    }

    fn bootstrap() -> Fleet {
        let listeners: Vec<_> =
            (0..4).map(|_| frostgauge_net::listen(([127, 0, 0, 1], 0).into()).expect("a port")).collect();
        let addresses = listeners.iter().map(|l| l.get_ref().local_addr().expect("bound")).collect();
        let mut fleet =
            Fleet { executor: Arc::new(Executor::new()), addresses, folder: Folder::new(), up: vec![] };
        for k in 0..3 {
            task::bootstrap(&fleet.folder(k), &keepers(), rules(8_000), 0).expect("founded");
        }
        for (k, listener) in listeners.into_iter().enumerate() {
            let up = fleet.start(k, listener);
            fleet.up.push(Some(up));
        }
        fleet
    }

    fn start(&self, k: usize, listener: async_io::Async<std::net::TcpListener>) -> Up {
        let settings = TimingSettings {
            within_ms: 1_200,
            confirm_ms: 400,
            canary_ms: 2_000,
            canary_percent: 0,
            drift_ppm: 1_000,
        };
        let tuning = settings.timing().expect("sound");
        let (bytes, inbox) = async_channel::bounded(256);
        let (hold, closing) = Closing::new();
        let transport = frostgauge_peer_transport::Config {
            self_id: k as u16,
            addresses: self.addresses.clone(),
            key: Key::derive(b"a secret"),
            source: None,
            stall_timeout: Duration::from_millis(600),
            max_reconnect_delay: Duration::from_millis(150),
        };
        let config = TaskConfig {
            process: ProcessConfig {
                self_id: k as GatewayId,
                replicas: keepers(),
                timing: tuning,
                random_seed: 0,
                exclusive: true,
            },
            folder: self.folder(k),
            clock: TaskClock { origin: Instant::now(), origin_micros: 1_000_000 },
            inbox,
            transport: PeerTransport::start(transport, listener, bytes, closing, self.executor.clone()),
            on_change: Box::new(|| {}),
        };
        let (task, thread) = task::start(config).expect("started");
        Up { task, thread, _hold: hold }
    }

    fn stop(&mut self, k: usize) {
        if let Some(up) = self.up[k].take() {
            assert!(up.task.send(Command::Stop));
            up.thread.join().expect("it ends");
        }
    }

    async fn revive(&mut self, k: usize) {
        let end = Instant::now() + TIMEOUT;
        let listener = loop {
            match frostgauge_net::listen(self.addresses[k]) {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            Timer::after(Duration::from_millis(10)).await;
        };
        self.up[k] = Some(self.start(k, listener));
    }

    fn task(&self, k: usize) -> &TaskHandle {
        &self.up[k].as_ref().expect("it runs").task
    }

    async fn under(&self, k: usize) -> RuleSource {
        // By the task's own word, whose clock it is.
        let status = self.task(k).request(Command::Status, TIMEOUT).await.expect("it answers");
        match status["lease"]["versions"].as_array() {
            Some(all) => RuleSource::Lease(all.iter().filter_map(|n| n.as_u64()).collect(), 0),
            None => RuleSource::Fallback(status["ground"]["version"].as_u64()),
        }
    }

    async fn wait(&self, what: &str, all: &[usize], want: &RuleSource) {
        let end = Instant::now() + TIMEOUT;
        for k in all {
            loop {
                let under = self.under(*k).await;
                if under == *want {
                    break;
                }
                assert!(Instant::now() < end, "{what}: gateway {k} is under {under:?}");
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }

    async fn publish(&self, by: usize, id: u64, base: u64, rules: Rules) -> Option<Outcome> {
        let (author, reason) = ("a test".to_owned(), "to see".to_owned());
        let proposal = Box::new(Proposal { id, base_version: base, author, reason, time_ms: 0, rules });
        self.task(by).request(|reply| Command::Propose(proposal, reply), TIMEOUT).await.flatten()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..4).for_each(|k| self.stop(k));
    }
}

fn keepers() -> BTreeSet<GatewayId> {
    (0..3).collect()
}

fn lease(n: u64) -> RuleSource {
    RuleSource::Lease([n].into(), 0)
}

#[test]
fn a_version_published_at_a_follower_comes_into_force_everywhere_and_outlives_its_keepers() {
    let mut fleet = Fleet::bootstrap();
    let executor = fleet.executor.clone();
    future::block_on(executor.run(async {
        fleet.wait("the first version", &[0, 1, 2, 3], &lease(1)).await;
        assert_eq!(fleet.publish(3, 7, 1, rules(6_000)).await, Some(Outcome::Numbered(2)));
        fleet.wait("the second", &[0, 1, 2, 3], &lease(2)).await;
        // Said again it is the same one; another editor is told what came first.
        assert_eq!(fleet.publish(0, 7, 1, rules(6_000)).await, Some(Outcome::Numbered(2)));
        let late = fleet.publish(1, 8, 1, rules(5_000)).await;
        assert!(matches!(late, Some(Outcome::Overtaken { latest: 2, .. })), "{late:?}");

        // One of three keepers ends: the others go on. A second: all are on ground, and it is that of version 2.
        fleet.stop(0);
        assert_eq!(fleet.publish(3, 9, 2, rules(5_000)).await, Some(Outcome::Numbered(3)));
        fleet.wait("the third", &[1, 2, 3], &lease(3)).await;
        fleet.stop(1);
        fleet.wait("ground", &[2, 3], &RuleSource::Fallback(Some(3))).await;
        fleet.revive(0).await;
        fleet.revive(1).await;
        fleet.wait("all back", &[0, 1, 2, 3], &lease(3)).await;

        // A keeper whose disk is lost is let in again, and holds what the others hold.
        fleet.stop(2);
        std::fs::remove_dir_all(fleet.folder(2)).expect("lost");
        fleet.revive(2).await;
        fleet.wait("its follower", &[2], &lease(3)).await;
        fleet.stop(0);
        fleet.wait("with the one that lost its disk, two are enough", &[1, 2, 3], &lease(3)).await;
        assert_eq!(fleet.publish(2, 10, 3, rules(8_000)).await, Some(Outcome::Numbered(4)));
        fleet.wait("the fourth", &[1, 2, 3], &lease(4)).await;

        assert!(fleet
            .task(1)
            .send(Command::Broadcast(Message::Withdraw { version: 4, reason: "a test".to_owned() })));
        fleet.wait("what the fourth replaced", &[1, 2, 3], &lease(5)).await;
        let NumberedRules { number, rules: back } =
            fleet.task(1).request(|r| Command::Version(None, r), TIMEOUT).await.flatten().expect("known");
        assert_eq!((number, back), (5, rules(5_000)));
    }));
}

#[test]
fn a_folder_in_use_or_damaged_is_refused_with_its_place() {
    let fleet = Fleet::bootstrap();
    let fault =
        task::bootstrap(&fleet.folder(0), &keepers(), rules(1_000), 0).expect_err("it is in use").to_string();
    assert!(fault.contains("keeper") && fault.contains("in use"), "{fault}");
    drop(fleet);
    let folder = Folder::new();
    task::bootstrap(&folder.0, &keepers(), rules(8_000), 0).expect("founded");
    let fault =
        task::bootstrap(&folder.0, &keepers(), rules(8_000), 0).expect_err("founded already").to_string();
    assert!(fault.contains("once"), "{fault}");
    let fault =
        task::bootstrap(&folder.0, &[1, 2].into(), rules(8_000), 0).expect_err("two keepers").to_string();
    assert!(fault.contains("3, 5 or 7"), "{fault}");
    corrupt(&folder.0.join("keeper"));
    let fault = task::bootstrap(&folder.0, &keepers(), rules(8_000), 0).expect_err("damaged").to_string();
    assert!(fault.contains("byte 0"), "{fault}");
}

/// Writes over the beginning of a folder's journal.
fn corrupt(folder: &Path) {
    for entry in std::fs::read_dir(folder).expect("there") {
        let path = entry.expect("an entry").path();
        if path.extension().is_some_and(|e| e == "fgj") {
            let mut bytes = std::fs::read(&path).expect("read");
            bytes[0] ^= 1;
            std::fs::write(&path, bytes).expect("written");
        }
    }
}
