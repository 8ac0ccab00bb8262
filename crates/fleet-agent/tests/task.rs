//! The task of the fleet agent on real sockets and disks: three voters and a follower on loopback, in one test process.

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

/// A temporary folder, removed at the end of the test.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        let name = format!("frostgauge-task-{}-{:08x}", std::process::id(), rand::random::<u32>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder can be created");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
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

struct RunningTask {
    handle: TaskHandle,
    thread: JoinHandle<()>,
    /// The peer transport closes its connections when this is dropped.
    _hold: Hold,
}

/// Gateways 0 to 3, of which 0 to 2 are voters.
struct Fleet {
    executor: Arc<Executor<'static>>,
    addresses: Vec<SocketAddr>,
    folder: TempFolder,
    /// The task of each gateway; none while it is stopped.
    tasks: Vec<Option<RunningTask>>,
}

impl Fleet {
    fn folder(&self, gateway: usize) -> PathBuf {
        self.folder.0.join(gateway.to_string())
    }

    fn bootstrap() -> Fleet {
        let listeners: Vec<_> = (0..4)
            .map(|_| frostgauge_net::listen(([127, 0, 0, 1], 0).into()).expect("a port is free"))
            .collect();
        let addresses =
            listeners.iter().map(|l| l.get_ref().local_addr().expect("the listener is bound")).collect();
        let folder = TempFolder::new();
        let mut fleet = Fleet { executor: Arc::new(Executor::new()), addresses, folder, tasks: vec![] };
        for voter in 0..3 {
            task::bootstrap(&fleet.folder(voter), &voters(), rules(8_000), 0).expect("the folder is empty");
        }
        for (gateway, listener) in listeners.into_iter().enumerate() {
            let task = fleet.start(gateway, listener);
            fleet.tasks.push(Some(task));
        }
        fleet
    }

    fn start(&self, gateway: usize, listener: async_io::Async<std::net::TcpListener>) -> RunningTask {
        let settings = TimingSettings {
            within_ms: 1_200,
            confirm_ms: 400,
            canary_ms: 2_000,
            canary_percent: 0,
            drift_ppm: 1_000,
        };
        let timing = settings.timing().expect("the settings are valid");
        let (messages, inbox) = async_channel::bounded(256);
        let (hold, closing) = Closing::new();
        let transport = frostgauge_peer_transport::Config {
            self_id: gateway as u16,
            addresses: self.addresses.clone(),
            key: Key::derive(b"a secret"),
            source: None,
            stall_timeout: Duration::from_millis(600),
            max_reconnect_delay: Duration::from_millis(150),
        };
        let config = TaskConfig {
            process: ProcessConfig {
                self_id: gateway as GatewayId,
                replicas: voters(),
                timing,
                random_seed: 0,
                exclusive: true,
            },
            folder: self.folder(gateway),
            clock: TaskClock { origin: Instant::now(), origin_micros: 1_000_000 },
            inbox,
            transport: PeerTransport::start(transport, listener, messages, closing, self.executor.clone()),
            on_change: Box::new(|| {}),
        };
        let (handle, thread) = task::start(config).expect("the task starts");
        RunningTask { handle, thread, _hold: hold }
    }

    fn stop(&mut self, gateway: usize) {
        if let Some(task) = self.tasks[gateway].take() {
            assert!(task.handle.send(Command::Stop));
            task.thread.join().expect("the thread ends without a panic");
        }
    }

    /// Starts a stopped gateway again, once its address is free.
    async fn restart(&mut self, gateway: usize) {
        let deadline = Instant::now() + TIMEOUT;
        let listener = loop {
            match frostgauge_net::listen(self.addresses[gateway]) {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            Timer::after(Duration::from_millis(10)).await;
        };
        self.tasks[gateway] = Some(self.start(gateway, listener));
    }

    fn task(&self, gateway: usize) -> &TaskHandle {
        &self.tasks[gateway].as_ref().expect("the gateway is running").handle
    }

    /// The source of the rules in effect at a gateway; the expiry of a lease is replaced by 0.
    async fn rule_source(&self, gateway: usize) -> RuleSource {
        // The task's status is used because only its own clock can tell whether the lease has expired.
        let status = self.task(gateway).request(Command::Status, TIMEOUT).await.expect("the task replies");
        match status["lease"]["versions"].as_array() {
            Some(versions) => RuleSource::Lease(versions.iter().filter_map(|n| n.as_u64()).collect(), 0),
            None => RuleSource::Fallback(status["ground"]["version"].as_u64()),
        }
    }

    /// Waits until each of the gateways has had the expected rule source.
    async fn wait(&self, description: &str, gateways: &[usize], expected: &RuleSource) {
        let deadline = Instant::now() + TIMEOUT;
        for gateway in gateways {
            loop {
                let source = self.rule_source(*gateway).await;
                if source == *expected {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{description}: the rules of gateway {gateway} come from {source:?}"
                );
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }

    async fn publish(&self, gateway: usize, id: u64, base_version: u64, rules: Rules) -> Option<Outcome> {
        let (author, reason) = ("a test".to_owned(), "to see".to_owned());
        let proposal = Box::new(Proposal { id, base_version, author, reason, time_ms: 0, rules });
        self.task(gateway).request(|reply| Command::Propose(proposal, reply), TIMEOUT).await.flatten()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..4).for_each(|gateway| self.stop(gateway));
    }
}

fn voters() -> BTreeSet<GatewayId> {
    (0..3).collect()
}

fn lease(version: u64) -> RuleSource {
    RuleSource::Lease([version].into(), 0)
}

#[test]
fn a_version_published_at_a_follower_survives_voter_loss() {
    let mut fleet = Fleet::bootstrap();
    let executor = fleet.executor.clone();
    future::block_on(executor.run(async {
        fleet.wait("version 1", &[0, 1, 2, 3], &lease(1)).await;
        assert_eq!(fleet.publish(3, 7, 1, rules(6_000)).await, Some(Outcome::Numbered(2)));
        fleet.wait("version 2", &[0, 1, 2, 3], &lease(2)).await;
        // A proposal sent again with the same id has the same outcome. A different proposal based on an outdated version
        // is rejected.
        assert_eq!(fleet.publish(0, 7, 1, rules(6_000)).await, Some(Outcome::Numbered(2)));
        let outdated = fleet.publish(1, 8, 1, rules(5_000)).await;
        assert!(matches!(outdated, Some(Outcome::Overtaken { latest: 2, .. })), "{outdated:?}");

        // With one of three voters stopped, the others still number versions and grant leases. With two stopped, there are
        // no leases, and the fallback rules come from version 3.
        fleet.stop(0);
        assert_eq!(fleet.publish(3, 9, 2, rules(5_000)).await, Some(Outcome::Numbered(3)));
        fleet.wait("version 3 with one voter stopped", &[1, 2, 3], &lease(3)).await;
        fleet.stop(1);
        fleet.wait("fallback with two voters stopped", &[2, 3], &RuleSource::Fallback(Some(3))).await;
        fleet.restart(0).await;
        fleet.restart(1).await;
        fleet.wait("version 3 with all voters restarted", &[0, 1, 2, 3], &lease(3)).await;

        // A voter that lost its disk is readmitted and gets the state of the others: it and one other are a quorum.
        fleet.stop(2);
        std::fs::remove_dir_all(fleet.folder(2)).expect("the folder can be removed");
        fleet.restart(2).await;
        fleet.wait("the follower at the voter that lost its disk", &[2], &lease(3)).await;
        fleet.stop(0);
        fleet.wait("a quorum with the voter that lost its disk", &[1, 2, 3], &lease(3)).await;
        assert_eq!(fleet.publish(2, 10, 3, rules(8_000)).await, Some(Outcome::Numbered(4)));
        fleet.wait("version 4", &[1, 2, 3], &lease(4)).await;

        assert!(fleet
            .task(1)
            .send(Command::Broadcast(Message::Withdraw { version: 4, reason: "a test".to_owned() })));
        fleet.wait("version 5 after the withdrawal of version 4", &[1, 2, 3], &lease(5)).await;
        let NumberedRules { number, rules: restored } = fleet
            .task(1)
            .request(|reply| Command::Version(None, reply), TIMEOUT)
            .await
            .flatten()
            .expect("the version is known");
        assert_eq!((number, restored), (5, rules(5_000)));
    }));
}

#[test]
fn bootstrap_rejects_a_folder_in_use_or_damaged() {
    let fleet = Fleet::bootstrap();
    let error = task::bootstrap(&fleet.folder(0), &voters(), rules(1_000), 0)
        .expect_err("the folder is in use")
        .to_string();
    assert!(error.contains("keeper") && error.contains("in use"), "{error}");
    drop(fleet);
    let folder = TempFolder::new();
    task::bootstrap(&folder.0, &voters(), rules(8_000), 0).expect("the folder is empty");
    let error = task::bootstrap(&folder.0, &voters(), rules(8_000), 0)
        .expect_err("the folder holds a version already")
        .to_string();
    assert!(error.contains("once"), "{error}");
    let error = task::bootstrap(&folder.0, &[1, 2].into(), rules(8_000), 0)
        .expect_err("two voters are not allowed")
        .to_string();
    assert!(error.contains("3, 5 or 7"), "{error}");
    corrupt_journals(&folder.0.join("keeper"));
    let error = task::bootstrap(&folder.0, &voters(), rules(8_000), 0)
        .expect_err("the journal is damaged")
        .to_string();
    assert!(error.contains("byte 0"), "{error}");
}

/// Changes the first byte of each journal file in a folder.
fn corrupt_journals(folder: &Path) {
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the folder can be listed").path();
        if path.extension().is_some_and(|e| e == "fgj") {
            let mut bytes = std::fs::read(&path).expect("the file can be read");
            bytes[0] ^= 1;
            std::fs::write(&path, bytes).expect("the file can be written");
        }
    }
}
