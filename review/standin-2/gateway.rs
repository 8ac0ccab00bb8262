//! The platform: starts the gateway by the deploy file's `run`, sends signals, waits until it is ready.

use crate::client::{self, Ended};
use crate::discovery::Discovery;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// What a gateway is told beside its addresses.
pub struct Setup {
    /// Addresses of the tier's gateways for datagrams.
    pub peers: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    /// Limit of descriptors.
    pub sockets: usize,
    /// Limit of memory, MB.
    pub memory_mb: u64,
    /// The list of servers as last held.
    pub known: String,
    pub settings: Settings,
}

/// A process of the gateway.
pub struct Gateway {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// Free loopback addresses for the datagrams of so many gateways.
pub fn peer_addresses(gateways: usize) -> Vec<SocketAddr> {
    let open = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let sockets: Vec<UdpSocket> = (0..gateways).map(|_| open()).collect();
    sockets.iter().map(|s| s.local_addr().expect("a free port")).collect()
}

/// Starts all gateways of a tier and waits until they are ready.
pub fn start_tier(
    settings: &Settings,
    discovery: &Discovery,
    sockets: usize,
    record: &Record,
) -> Vec<Gateway> {
    let peers = peer_addresses(settings.gateways);
    let start = |number| {
        let setup = Setup {
            peers: peers.clone(),
            discovery: discovery.address,
            sockets,
            memory_mb: 192,
            known: discovery.known(),
            settings: Settings { number, ..settings.clone() },
        };
        Gateway::start(&setup, record)
    };
    (0..settings.gateways).map(start).collect()
}

/// The command of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with("run")).expect("a line `run`");
    line.split('"').nth(1).expect("a command").to_owned()
}

impl Gateway {
    /// Starts a gateway and waits until it is ready. A free port may be taken by someone else before the gateway listens
    /// on it: it ends then, and is started with another.
    pub fn start(setup: &Setup, record: &Record) -> Gateway {
        let started = (0..5).find_map(|_| Gateway::start_once(setup, record));
        started.expect("the gateway cannot be started")
    }

    fn start_once(setup: &Setup, record: &Record) -> Option<Gateway> {
        let address = free_address();
        let number = setup.settings.number;
        let unique = format!("review-2-{}-{number}-{}", std::process::id(), address.port());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let peers: Vec<String> = setup.peers.iter().map(|a| format!("\"{a}\"")).collect();
        let peer_listen = &peers[number];
        let config = format!(
            "{{\"name\":\"n{number}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory},\"sockets\":{sockets}}},\
             \"peer_listen\":{peer_listen},\"peers\":[{all}],\"peers_all\":{peer_listen},\"known\":{known},\
             \"settings\":{settings}}}",
            discovery = setup.discovery,
            seed = 0x8c1f_30d2_7a5b_e964_u64 ^ u64::from(address.port()),
            memory = setup.memory_mb,
            sockets = setup.sockets,
            all = peers.join(","),
            known = setup.known,
            settings = setup.settings.json(),
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).expect("the configuration");
        let log = std::fs::File::create(folder.join("log")).expect("the log");
        let mut command = Command::new("/bin/sh");
        let command_line = format!("ulimit -n {}; {}", setup.sockets, run_command());
        command
            .args(["-c", &command_line])
            .env("NODE_NAME", format!("n{number}"))
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", setup.discovery.to_string())
            .env("NODE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log);
        // The gateway dies with the thread that starts it: nothing is left behind, however the case ends.
        let die_with_parent = || {
            // SAFETY: sets an attribute of the new process; PR_SET_PDEATHSIG is 1.
            unsafe { prctl(1, SIGKILL as u64, 0, 0, 0) };
            Ok(())
        };
        // SAFETY: the closure makes one system call.
        unsafe { command.pre_exec(die_with_parent) };
        let child = command.spawn().expect("the gateway cannot be started");
        record.note(&format!("gateway n{number} pid {} listens on {address}", child.id()));
        let mut gateway = Gateway { address, child, folder };
        gateway.wait_ready(record).then_some(gateway)
    }

    /// Waits until it is ready; false if it has ended.
    fn wait_ready(&mut self, record: &Record) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Some(status) = self.ended() {
                record.note(&format!("the gateway ended before it was ready: {status}"));
                return false;
            }
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = std::io::Write::write_all(&mut stream, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                let answer: Result<_, Ended> = client::read_answer(
                    &mut stream,
                    &mut Vec::new(),
                    Instant::now() + Duration::from_secs(1),
                );
                if answer.is_ok_and(|a| a.status == 200) {
                    record.note("the gateway is ready");
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the gateway is not ready within 30 s");
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to the process that this one started and has not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

/// Settings like those of the first deployment; these figures are given.
#[derive(Clone)]
pub struct Settings {
    pub gateways: usize,
    pub number: usize,
    /// Limit on a new connection to a server, µs.
    pub connect_us: u64,
    /// Rate and burst of the plan `base`.
    pub base: (f64, f64),
    /// Rate, burst, ceiling's rate, ceiling's burst and slack of the plan `alargado`.
    pub ceiling: (f64, f64, f64, f64, f64),
    /// Shares of its worth that a request of `alargado` earns and costs beyond the quota.
    pub beyond: (f64, f64),
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            gateways: 3,
            number: 0,
            connect_us: 250_000,
            base: (2.7, 12.0),
            ceiling: (15.0, 19.0, 35.0, 45.0, 5.0),
            beyond: (0.0, 0.6),
        }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let (base_rate, base_burst) = self.base;
        let (rate, burst, ceiling_rate, ceiling_burst, slack) = self.ceiling;
        format!(
            r#"{{"az":0,"callers":{{"marksRetry":true}},
"classes":[{{"aimUs":600000,"deadlineUs":2500000,"group":"all","lateWorth":0.2,"name":"claim-read","semantics":"retryable","stream":false,"value":2.0,"windowUs":5000000}},
{{"aimUs":600000,"deadlineUs":1500000,"group":"all","lateWorth":0.0,"name":"loss-report","semantics":"fragile","stream":false,"value":6.0,"windowUs":5000000}}],
"discovery":"push","family":"gate",
"familyInfo":{{"countFee":0.0,"countLimitUs":0,"mailPerS":40.0,"maxUnits":1,"meterUs":500000,"sharedCounter":false,"truedUp":false}},
"limits":{{"attemptsCap":4,"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":{connect},"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"maxOpen":20000,"maxRetryAfterUs":1000000,"maxStreams":1,"mayProbe":true,"peers":true,"retryAfter":true,"secondCopies":false}},
"me":{me},
"plans":[{{"ceilingRate":0.0,"concurrency":0,"depth":{base_burst},"excessCost":1.0,"excessWorth":0.0,"name":"base","neverOverDepth":0.0,"rate":{base_rate},"tolerance":0.0,"valueFactor":1.1}},
{{"ceilingRate":{ceiling_rate},"concurrency":0,"depth":{burst},"excessCost":{over_cost:?},"excessWorth":{over_worth:?},"name":"alargado","neverOverDepth":{ceiling_burst},"rate":{rate},"tolerance":{slack},"valueFactor":1.6}}],
"prices":{{"connection":0.0,"crossZone":0.01,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.03,"probe":0.01,"waste":0.08}},
"resultMix":{{"whole":0.5,"worstClass":0.1,"worstTenant":0.15,"worstWindow":0.25}},
"rules":{{"askEveryUs":10000000,"coldFrom":0.15,"drainGraceUs":500000,"fallMultiple":3.0,"graceToAnswerUs":8000,"tipAfterUs":1500000,"warmAfterUs":17000000}},
"siblings":{gateways},"skus":["node-3c"],"stats":{{"columns":["outstanding","recent_ms"],"how":"probe"}},
"tickUs":2000,"tier":0,"tiers":["claims-fleet"],"weights":"nominal","zones":["building-a","building-b","building-c"]}}"#,
            connect = self.connect_us,
            over_worth = self.beyond.0,
            over_cost = self.beyond.1,
            me = self.number,
            gateways = self.gateways,
        )
    }
}
