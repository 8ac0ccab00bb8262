//! The daemon over TCP: wrong keys, replayed frames, incomplete frames, floods, kills, and two processes with the same
//! gateway number.

#[path = "../../../tests/common/pages.rs"]
mod pages;

use frostgauge_counter_service::write_ahead_log::tools;
use frostgauge_proto::counter::{Frame, FrameDecoder, FrameEncoder, Key, RejectReason};
use pages::{lines_of, names_of_metrics, paths_of_members};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Service {
    child: Child,
    folder: PathBuf,
    address: SocketAddr,
    admin: SocketAddr,
}

fn write_secret(path: &std::path::Path, text: &str) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(path, text).expect("the key file is written");
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).expect("the permissions are set");
}

/// Addresses whose ports the system chooses. They differ, as the service rejects settings with the same address for both
/// sockets.
const LISTEN: &str = "127.0.0.1:0";
const ADMIN: &str = "127.0.0.2:0";
/// Longer than a sync on a busy disk, which delays the queue and the opening of a session.
const SLOW_SYNC_MS: u64 = 2_000;

/// The listening and the admin address in the log line "ready"; `None` for any other line.
fn bound_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let event: serde_json::Value = serde_json::from_str(line).ok()?;
    if event["message"] != "ready" {
        return None;
    }
    let address = |field: &str| event[field].as_str()?.parse().ok();
    Some((address("listen")?, address("admin")?))
}

impl Service {
    fn new(limits: &str) -> Service {
        let name = format!("frostgauge-counter-{}-{:016x}", std::process::id(), rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(folder.join("keys")).expect("the folder is created");
        for gateway in 0..4 {
            write_secret(
                &folder.join(format!("keys/{gateway}.key")),
                &format!("new-{gateway}\nold-{gateway}\n"),
            );
        }
        let settings = format!(
            "{{ listen: '{LISTEN}', admin: '{ADMIN}', data: 'data', keys: 'keys', limits: {limits} }}"
        );
        std::fs::write(folder.join("counter.jsonnet"), settings).expect("the settings are written");
        let (child, address, admin) = Service::spawn(&folder);
        Service { child, folder, address, admin }
    }

    /// Starts the daemon, and returns once it is ready, with its listening and its admin address.
    fn spawn(folder: &std::path::Path) -> (Child, SocketAddr, SocketAddr) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_frostgauge-counter"))
            .arg("--log-json")
            .arg("--config")
            .arg(folder.join("counter.jsonnet"))
            .env("FROSTGAUGE_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon is spawned");
        let log = BufReader::new(child.stderr.take().expect("standard error is a pipe"));
        let (sender, receiver) = std::sync::mpsc::channel();
        // Reads to the end, so that a full pipe never blocks the service.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some(addresses) = bound_addresses(&line) {
                    let _ = sender.send(addresses);
                }
            }
        });
        let (address, admin) =
            receiver.recv_timeout(Duration::from_secs(20)).expect("the daemon logs 'ready' within 20 s");
        (child, address, admin)
    }

    /// Kills the daemon, and starts it again with the same folder.
    fn restart(&mut self) {
        self.child.kill().expect("the daemon is killed");
        self.child.wait().expect("the daemon has ended");
        (self.child, self.address, self.admin) = Service::spawn(&self.folder);
    }

    /// Body of an admin page.
    fn page(&self, path: &str) -> String {
        let mut stream = TcpStream::connect(self.admin).expect("the admin address accepts");
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("the request is written");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("the response is read");
        text.split_once("\r\n\r\n").expect("the response has a body").1.to_owned()
    }

    fn status(&self) -> serde_json::Value {
        serde_json::from_str(&self.page("/status")).expect("the status page is JSON")
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A gateway's connection to the service.
struct Client {
    stream: TcpStream,
    encoder: FrameEncoder,
    decoder: FrameDecoder,
    buf: Vec<u8>,
    epoch: u64,
}

impl Client {
    /// Connects and sends an Open frame. Returns the client and the first frame received after that.
    fn connect(address: SocketAddr, gateway: u16, secret: &str, incarnation: u8) -> (Client, Frame) {
        // In rare runs a connection was reset while connecting, before any byte was sent. That is tried again up to 3
        // times; any other failure fails the test.
        let mut resets = 0;
        let stream = loop {
            match TcpStream::connect(address) {
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset && resets < 3 => resets += 1,
                result => break result.expect("the service accepts the connection"),
            }
        };
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the read timeout is set");
        let mut client = Client {
            stream,
            encoder: FrameEncoder::new(None),
            decoder: FrameDecoder::new(None),
            buf: vec![],
            epoch: 0,
        };
        let Ok(Frame::Challenge { nonce: challenge }) = client.next_frame() else {
            panic!("the first frame is not a challenge")
        };
        let (key, nonce) = (Key::derive(secret.as_bytes()), [gateway as u8 + 1; 16]);
        client.encoder = FrameEncoder::new(Some(key.open_key(&challenge)));
        client.send(&Frame::Open { gateway, incarnation: [incarnation; 16], nonce });
        client.encoder = FrameEncoder::new(Some(key.gateway_key(&challenge, &nonce, gateway)));
        let plain_decoder = std::mem::replace(
            &mut client.decoder,
            FrameDecoder::new(Some(key.service_key(&challenge, &nonce, gateway))),
        );
        let first = client.next_frame().unwrap_or_else(|_| {
            // A gateway that cannot be authenticated gets a frame without a MAC.
            client.decoder = plain_decoder;
            client.next_frame().expect("a frame without a MAC")
        });
        if let Frame::Opened { epoch, .. } = first {
            client.epoch = epoch;
        }
        (client, first)
    }

    /// Opens a session with the gateway's own key.
    fn open_session(service: &Service, gateway: u16, incarnation: u8) -> Client {
        let (client, first) =
            Client::connect(service.address, gateway, &format!("new-{gateway}"), incarnation);
        assert!(matches!(first, Frame::Opened { .. }), "{first:?}");
        client
    }

    /// Opens a session, trying again until the service has noticed that the previous connection is closed.
    fn open_session_eventually(service: &Service, gateway: u16, incarnation: u8) -> Client {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let (client, first) =
                Client::connect(service.address, gateway, &format!("new-{gateway}"), incarnation);
            if matches!(first, Frame::Opened { .. }) {
                return client;
            }
            assert!(Instant::now() < deadline, "no session within 10 s, last frame: {first:?}");
        }
    }

    fn send(&mut self, frame: &Frame) {
        let mut bytes = vec![];
        self.encoder.encode(frame, &mut bytes);
        self.stream.write_all(&bytes).expect("the frame is written");
    }

    fn send_add(&mut self, seq: u64, amount: i64) {
        let name = b"claims".to_vec();
        self.send(&Frame::Add { seq, amount, ttl_ms: 60_000, timeout_us: 5_000_000, name });
    }

    fn next_frame(&mut self) -> Result<Frame, RejectReason> {
        loop {
            if let Some((frame, n)) = self.decoder.decode(&self.buf)? {
                self.buf.drain(..n);
                return Ok(frame);
            }
            let mut chunk = [0; 4096];
            let n = self.stream.read(&mut chunk).expect("bytes are received within the read timeout");
            assert!(n > 0, "the service closed the connection");
            self.buf.extend_from_slice(&chunk[..n]);
        }
    }

    /// The total in the next frame.
    fn next_total(&mut self) -> i64 {
        match self.next_frame() {
            Ok(Frame::Total { total, .. }) => total,
            other => panic!("expected a total, received {other:?}"),
        }
    }

    /// Reads until the connection ends. False if it is still open when the read timeout is over.
    fn is_closed(&mut self) -> bool {
        let mut chunk = [0; 4096];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

#[test]
fn a_retry_after_a_kill_gets_the_first_total() {
    let mut service = Service::new("{}");
    let mut client = Client::open_session(&service, 1, 1);
    for seq in 1..=20 {
        client.send_add(seq, 10);
        assert_eq!(client.next_total(), 10 * seq as i64);
    }
    service.restart();
    let epoch = client.epoch;
    let mut client = Client::open_session(&service, 1, 1);
    assert_eq!(client.epoch, epoch, "a reconnected process keeps its epoch");
    client.send_add(7, 10);
    assert_eq!(client.next_total(), 70);
    // A new process of the same gateway gets a new epoch, and starts its sequences at 1.
    drop(client);
    let mut client = Client::open_session_eventually(&service, 1, 2);
    assert!(client.epoch > epoch);
    client.send_add(1, 5);
    assert_eq!(client.next_total(), 205);
    assert_eq!(tools::verify(&service.folder.join("data")).expect("the files are read").faults, [""; 0]);
}

#[test]
fn a_retry_sent_with_the_original_gets_the_same_total() {
    let service = Service::new(&format!("{{ target_ms: {SLOW_SYNC_MS} }}"));
    let mut client = Client::open_session(&service, 0, 1);
    for seq in 1..=50 {
        client.send_add(seq, 1);
        client.send_add(seq, 1);
    }
    for seq in 1..=50 {
        assert_eq!((client.next_total(), client.next_total()), (seq, seq));
    }
}

#[test]
fn only_current_and_previous_keys_of_a_gateway_are_valid() {
    let service = Service::new("{}");
    let first_frame = |gateway, key: &str| Client::connect(service.address, gateway, key, 1).1;
    let invalid_mac = Frame::Bye { reason: RejectReason::InvalidMac };
    assert_eq!(first_frame(1, "wrong"), invalid_mac);
    assert_eq!(first_frame(77, "new-1"), invalid_mac, "gateway 77 is unknown");
    assert_eq!(first_frame(2, "new-1"), invalid_mac, "the key is that of another gateway");
    assert!(
        matches!(first_frame(1, "old-1"), Frame::Opened { .. }),
        "the previous key stays valid during a key rotation"
    );
}

#[test]
fn a_gateway_number_is_held_by_one_process() {
    let service = Service::new("{ lease_ms: 60000 }");
    let mut first = Client::open_session(&service, 1, 1);
    let (_, first_frame) = Client::connect(service.address, 1, "new-1", 2);
    assert_eq!(first_frame, Frame::Bye { reason: RejectReason::IdentityInUse });
    first.send_add(1, 1);
    assert_eq!(first.next_total(), 1, "the process that holds the number is not disturbed");
    // When its connection is closed, the number is free at once.
    drop(first);
    let mut second = Client::open_session_eventually(&service, 1, 2);
    second.send_add(1, 1);
    assert_eq!(second.next_total(), 2);
    // The same process reconnects, as after a network failure: its old connection is closed, not the new one.
    let mut reconnected = Client::open_session(&service, 1, 2);
    assert!(second.is_closed());
    reconnected.send_add(1, 1);
    assert_eq!(reconnected.next_total(), 2, "a retry over the new connection gets the first total");
}

#[test]
fn a_silent_process_loses_its_number_after_the_lease() {
    let service = Service::new("{ lease_ms: 50 }");
    let mut first = Client::open_session(&service, 1, 1);
    first.send_add(1, 1);
    assert_eq!(first.next_total(), 1);
    let deadline = Instant::now() + Duration::from_secs(10);
    while !matches!(Client::connect(service.address, 1, "new-1", 2).1, Frame::Opened { .. }) {
        assert!(Instant::now() < deadline, "the second process gets no session within 10 s");
    }
    assert!(first.is_closed(), "the connection of the silent process is still open");
}

#[test]
fn an_invalid_frame_closes_the_connection() {
    let service = Service::new("{}");
    let mut client = Client::open_session(&service, 1, 1);
    let mut bytes = vec![];
    let add =
        Frame::Add { seq: 1, amount: 1, ttl_ms: 60_000, timeout_us: 5_000_000, name: b"claims".to_vec() };
    client.encoder.encode(&add, &mut bytes);
    // A frame that is replayed on its own connection.
    client.stream.write_all(&[bytes.clone(), bytes.clone()].concat()).expect("the frames are written");
    let first = client.next_frame();
    // The reply to the first frame may be sent before the second one is read.
    let last_frame = if matches!(first, Ok(Frame::Total { .. })) { client.next_frame() } else { first };
    assert_eq!(last_frame, Ok(Frame::Bye { reason: RejectReason::InvalidMac }));
    // The frame replayed on another connection.
    let mut client = Client::open_session(&service, 1, 1);
    client.stream.write_all(&bytes).expect("the frame is written");
    assert_eq!(client.next_frame(), Ok(Frame::Bye { reason: RejectReason::InvalidMac }));
    // A frame of another version.
    let mut client = Client::open_session(&service, 1, 1);
    bytes[2] = 9;
    client.stream.write_all(&bytes).expect("the frame is written");
    assert_eq!(client.next_frame(), Ok(Frame::Bye { reason: RejectReason::UnsupportedVersion }));
    // A frame of a kind that only the service sends.
    let mut client = Client::open_session(&service, 1, 1);
    client.send(&Frame::Opened { epoch: 1, window: 1 });
    assert_eq!(client.next_frame(), Ok(Frame::Bye { reason: RejectReason::UnknownKind }));
    assert!(service.status()["adds"].as_u64() <= Some(1));
}

#[test]
fn an_invalid_field_rejects_one_request_with_its_reason() {
    let service = Service::new("{}");
    let mut client = Client::open_session(&service, 1, 1);
    for (seq, ttl_ms) in [(1, 0), (2, 86_400_001)] {
        let name = b"claims".to_vec();
        client.send(&Frame::Add { seq, amount: 1, ttl_ms, timeout_us: 5_000_000, name });
        let reply = client.next_frame();
        assert!(
            matches!(reply, Ok(Frame::Rejected { id, reason: RejectReason::InvalidTtl, .. }) if id == seq),
            "{reply:?}"
        );
    }
    client.send_add(3, i64::MAX);
    assert!(matches!(client.next_frame(), Ok(Frame::Rejected { reason: RejectReason::Overflow, .. })));
    client.send_add(4, 2);
    assert_eq!(client.next_total(), 2);
    client.send(&Frame::Read { id: 9, name: b"claims".to_vec() });
    assert!(matches!(client.next_frame(), Ok(Frame::Total { id: 9, total: 2, .. })));
    client.send(&Frame::Read { id: 10, name: b"other".to_vec() });
    assert!(matches!(client.next_frame(), Ok(Frame::Total { id: 10, total: 0, .. })));
}

#[test]
fn connections_with_an_incomplete_frame_are_closed() {
    let service = Service::new(&format!("{{ frame_ms: {SLOW_SYNC_MS}, connections: 3 }}"));
    let mut incomplete: Vec<Client> = (0..3).map(|g| Client::open_session(&service, g, 1)).collect();
    for client in &mut incomplete {
        client.stream.write_all(&[0, 60, 1]).expect("a part of a frame is written");
    }
    // All three connections allowed are in use. A fourth is served once one of them is closed.
    let mut fourth = Client::open_session(&service, 3, 1);
    fourth.send_add(1, 1);
    assert_eq!(fourth.next_total(), 1);
    // A connection that sends nothing at all is closed too.
    drop((incomplete, fourth));
    let mut silent = TcpStream::connect(service.address).expect("the service accepts the connection");
    silent.set_read_timeout(Some(Duration::from_secs(10))).expect("the read timeout is set");
    let mut received = vec![];
    silent.read_to_end(&mut received).expect("the service closes the connection");
}

#[test]
fn a_flood_of_one_gateway_does_not_starve_another() {
    let service = Service::new("{ each: 32 }");
    let mut flood = Client::open_session(&service, 0, 1);
    let mut stream = flood.stream.try_clone().expect("the socket is cloned");
    let (mut encoder, n) = (std::mem::take(&mut flood.encoder), 20_000u64);
    let writer = std::thread::spawn(move || {
        let mut bytes = vec![];
        for seq in 1..=n {
            let name = b"flood".to_vec();
            encoder.encode(
                &Frame::Add { seq, amount: 1, ttl_ms: 60_000, timeout_us: u32::MAX, name },
                &mut bytes,
            );
        }
        stream.write_all(&bytes).expect("the connection is slowed down, but not closed");
    });
    let mut other = Client::open_session(&service, 1, 1);
    for seq in 1..=50 {
        other.send_add(seq, 1);
        assert_eq!(other.next_total(), seq as i64, "an add of the other gateway was not counted");
    }
    let (mut totals, mut rejections) = (0, 0);
    for _ in 0..n {
        match flood.next_frame() {
            Ok(Frame::Total { .. }) => totals += 1,
            Ok(Frame::Rejected { reason: RejectReason::ResourceExhausted, .. }) => rejections += 1,
            other => panic!("unexpected reply: {other:?}"),
        }
    }
    assert!(totals > 0 && rejections > 0, "{totals} totals, {rejections} rejections");
    drop(flood);
    writer.join().expect("the writing thread ends");
}

#[test]
fn shutdown_answers_the_queue_and_takes_a_snapshot() {
    let mut service = Service::new(&format!("{{ target_ms: {SLOW_SYNC_MS} }}"));
    let mut client = Client::open_session(&service, 1, 1);
    for seq in 1..=100 {
        client.send_add(seq, 1);
    }
    assert_eq!(client.next_total(), 1);
    let pid = i32::try_from(service.child.id()).expect("the process id fits");
    let pid = rustix::process::Pid::from_raw(pid).expect("the process id is not 0");
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("SIGTERM is sent");
    let mut last_total = 1;
    loop {
        match client.next_frame() {
            Ok(Frame::Total { total, .. }) => last_total = total,
            Ok(Frame::Rejected { reason: RejectReason::ShuttingDown, .. }) => {}
            Ok(Frame::Bye { reason: RejectReason::ShuttingDown }) => break,
            other => panic!("unexpected frame: {other:?}"),
        }
    }
    assert!(service.child.wait().expect("the daemon has ended").success());
    let data = service.folder.join("data");
    let state = tools::replay(&data).expect("the files are intact");
    assert_eq!(
        state.counters().next().expect("there is a counter").1.total,
        last_total,
        "the stored total differs from the last one acknowledged"
    );
    let files = tools::verify(&data).expect("the files are read").files;
    assert!(files.iter().any(|(name, _, _)| name.starts_with("snapshot-")), "{files:?}");
}

#[test]
fn a_folder_in_use_and_invalid_settings_are_reported() {
    let service = Service::new("{}");
    let run = |settings: &str| {
        let path = service.folder.join("other.jsonnet");
        std::fs::write(&path, settings).expect("the settings are written");
        let output =
            Command::new(env!("CARGO_BIN_EXE_frostgauge-counter")).arg("--config").arg(&path).output();
        let output = output.expect("the daemon is run");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, stderr) =
        run(&format!("{{ listen: '{LISTEN}', admin: '{ADMIN}', data: 'data', keys: 'keys' }}"));
    assert_eq!(code, Some(2));
    assert!(
        stderr.contains("in use by process") && stderr.contains(&service.child.id().to_string()),
        "{stderr}"
    );
    let (code, stderr) =
        run("{ listen: '127.0.0.1:1', admin: '127.0.0.1:1', data: 'd', keys: 'none', limits: { batch: 0 } }");
    assert_eq!(code, Some(2));
    for fault in ["admin: is the gateways' address", "limits.batch: is zero", "none: No such file"] {
        assert!(stderr.contains(fault), "{stderr}");
    }
}

#[test]
fn admin_pages_have_the_recorded_keys() {
    let expected_keys = lines_of(include_str!("fixtures/status_keys.txt"));
    let expected_names = lines_of(include_str!("fixtures/metrics.txt"));
    let service = Service::new("{}");
    let mut client = Client::open_session(&service, 1, 1);
    client.send_add(1, i64::MAX);
    client.next_frame().expect("a reply");
    client.send_add(2, 1);
    client.next_frame().expect("a reply");
    Client::connect(service.address, 2, "wrong", 1);
    // Counts are updated around the time that a reply is sent, so the last ones may appear after the reply.
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let keys = paths_of_members(&service.status());
        let names = names_of_metrics(&service.page("/metrics"));
        if keys == expected_keys && names == expected_names {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "not the recorded keys after 10 s: status page {keys:#?}, metrics {names:#?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
