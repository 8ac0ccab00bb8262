//! Start, configuration, signals and datagrams on the platform.

mod common;

use common::*;
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::time::Duration;

fn slow(ms: u64) -> Box<Act> {
    Box::new(move |r, s| {
        std::thread::sleep(Duration::from_millis(ms));
        s.write_all(&good(r)).is_ok()
    })
}

/// Starts what cannot start; its one line.
fn refused(
    address: std::net::SocketAddr,
    config: &Path,
    change: impl Fn(&mut std::process::Command),
) -> String {
    let mut command = program(address, free(), config);
    change(&mut command);
    let output = command.output().expect("run");
    assert!(!output.status.success());
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn a_bad_start_says_where_and_why() {
    let folder = folder();
    let path = folder.join("config.json");
    let good = json!({
        "name": "n0", "listen": free().to_string(), "discovery": free().to_string(), "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "peers": [], "settings": settings(),
    });
    let says = |text: &str, place: &str| {
        std::fs::write(&path, text).expect("written");
        let line = refused(free(), &path, |_| {});
        assert!(line.contains(place) && line.lines().count() == 1, "{place}: {line}");
    };
    says("{\"name\":", "EOF");
    let with = |key: &str, value: serde_json::Value| {
        let mut file = good.clone();
        file[key] = value;
        file.to_string()
    };
    says(&with("listen", json!("nowhere")), "listen: ");
    says(&with("seed", json!("dice")), "seed: ");
    says(&with("limits", json!({"cores": 1.0, "memory_mb": "much", "sockets": 256})), "limits.memory_mb: ");
    says(&with("limits", json!({"cores": 1.0, "memory_mb": 32, "sockets": 8})), "limits.sockets: ");
    let mut odd = settings();
    odd["classes"][1]["semantics"] = json!("maybe");
    says(&with("settings", odd), "classes[1].semantics");
    let mut odd = settings();
    odd["rules"].as_object_mut().expect("an object").remove("coldFrom");
    says(&with("settings", odd), "rules.coldFrom is missing");
    std::fs::write(&path, good.to_string()).expect("written");
    let line = refused(free(), &folder.join("missing.json"), |_| {});
    assert!(line.contains("missing.json"), "{line}");
    for name in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONFIG"] {
        let line = refused(free(), &path, |c| {
            c.env_remove(name);
        });
        assert!(line.contains(&format!("{name}: is not set")), "{line}");
    }
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    let line = refused(address, &path, |_| {});
    assert!(line.contains(&address.to_string()), "{line}");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn it_is_ready_only_once_it_knows_servers() {
    let (agent, folder, address) = (TcpListener::bind("127.0.0.1:0").expect("a port"), folder(), free());
    let path = folder.join("config.json");
    let silent = agent.local_addr().expect("an address");
    let config = json!({
        "name": "n0", "listen": address.to_string(), "discovery": silent.to_string(), "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "settings": settings(),
    });
    std::fs::write(&path, config.to_string()).expect("written");
    let mut child = program(address, silent, &path).spawn().expect("started");
    let ready = || Client::to(address).say(b"GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n").status();
    wait("listening", || TcpStream::connect(address).is_ok());
    assert_eq!(ready(), 503);
    // Heeded before it is ready: it goes on, and does what it would have done.
    rustix::process::kill_process(rustix::process::Pid::from_child(&child), Signal::HUP).expect("sent");
    let list = json!({"generation": 3, "reset": true, "instances": []}).to_string();
    // Calls made before the signal are dropped with it: each is answered.
    std::thread::spawn(move || {
        for call in agent.incoming().flatten() {
            let mut call = std::io::BufReader::new(call);
            if read(&mut call).is_some() {
                let _ = call.get_mut().write_all(&answer(200, "", &list));
            }
        }
    });
    wait("ready", || ready() == 200);
    assert!(child.try_wait().expect("a child").is_none());
    child.kill().expect("ended");
    child.wait().expect("ended");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn discovery_that_moves_is_followed_under_load_and_a_bad_file_changes_nothing() {
    let (servers, old, mut gateway) = stage(vec![slow(50), slow(50)]);
    let address = gateway.address;
    let clients: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::to(address);
                (0..30).map(|_| client.say(&request(&id(), true)).status()).collect::<Vec<_>>()
            })
        })
        .collect();
    let good = gateway.config.to_string();
    for bad in [&good[..good.len() / 2], "", "[]"] {
        gateway.rewrite(bad);
        let lines = |g: &Gateway| g.log().matches("not usable").count();
        let before = lines(&gateway);
        gateway.signal(Signal::HUP);
        wait("the fault told", || lines(&gateway) > before);
    }
    let new = Discovery::start(vec![servers[1].entry("s-1", "up")]);
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new.address.to_string());
    gateway.rewrite(&config.to_string());
    gateway.signal(Signal::HUP);
    wait("the new agent watched", || new.asked().iter().any(|a| a.contains("from=")));
    for client in clients {
        assert!(client.join().expect("answers").iter().all(|s| *s == 200));
    }
    let (before, asked) = (servers[0].ids().len(), old.asked().len());
    assert_eq!(gateway.client().say(&request(&id(), true)).status(), 200);
    assert_eq!(servers[0].ids().len(), before, "the new list has one server");
    assert_eq!(old.asked().len(), asked, "the old agent is left alone");
    assert!(gateway.runs());
}

#[test]
fn a_planned_end_answers_all_that_was_taken() {
    let (servers, _discovery, mut gateway) = stage(vec![slow(700)]);
    let (mut out, mut half, mut kept) = (gateway.client(), gateway.client(), gateway.client());
    servers[0].set(serve());
    assert_eq!(kept.say(&request(&id(), true)).status(), 200);
    servers[0].set(slow(700));
    out.write(&request(&id(), true));
    let bytes = request(&id(), true);
    half.write(&bytes[..bytes.len() - 2]);
    wait("one out", || servers[0].ids().len() == 2);
    gateway.signal(Signal::TERM);
    wait("closing", || gateway.log().contains("closing"));
    // A new connection, one kept, and the rest of half a request: all are taken, and told that it closes.
    let mut late = gateway.client();
    let answer = late.say(b"GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_eq!((answer.status(), answer.field("connection")), (503, Some("close")));
    let mut late = gateway.client();
    late.write(&request(&id(), true));
    kept.write(&request(&id(), true));
    half.write(&bytes[bytes.len() - 2..]);
    for client in [&mut out, &mut late, &mut kept, &mut half] {
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.field("connection")), (200, Some("close")));
        client.end();
    }
    assert!(gateway.ended().success());
}

#[test]
fn hup_and_term_together_end_it_well() {
    let (_servers, _discovery, mut gateway) = stage(vec![serve()]);
    let mut idle = gateway.client();
    assert_eq!(idle.say(&request(&id(), true)).status(), 200);
    gateway.signal(Signal::HUP);
    gateway.signal(Signal::TERM);
    gateway.signal(Signal::HUP);
    assert!(idle.end().is_empty());
    assert!(gateway.ended().success());
}

#[test]
fn datagrams_of_strangers_and_noise_do_no_harm() {
    let (_servers, _discovery, gateway) = stage(vec![serve()]);
    let to = gateway.config["peers"][0].as_str().expect("an address").to_owned();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bytes in [&b""[..], b"noise", &[1; 256], &[1; 257], &[255; 1400]] {
        for socket in [&stranger, &gateway.peer] {
            socket.send_to(bytes, &to).expect("sent");
        }
    }
    // The peer itself is told of use, in at most 256 bytes.
    assert_eq!(gateway.client().say(&request(&id(), true)).status(), 200);
    gateway.peer.set_read_timeout(Some(PATIENCE)).expect("set");
    let mut buf = [0; 2048];
    let (n, from) = gateway.peer.recv_from(&mut buf).expect("a datagram");
    assert!(n <= 256 && from.to_string() == to);
    assert_eq!(gateway.client().say(&request(&id(), true)).status(), 200);
}

#[test]
fn requests_held_at_a_planned_end_are_answered() {
    let (_servers, _discovery, mut gateway) = stage(vec![serve()]);
    let small = || String::from_utf8(request(&id(), true)).expect("text").replace("wide", "small");
    // Far beyond its quota for over two of the pacer's intervals, the customer's requests are held for a while.
    let mut client = gateway.client();
    let began = std::time::Instant::now();
    while began.elapsed() < Duration::from_millis(1_200) {
        assert!(matches!(client.say(small().as_bytes()).status(), 200 | 429));
    }
    let mut held: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    for client in &mut held {
        client.write(small().as_bytes());
    }
    gateway.signal(Signal::TERM);
    for client in &mut held {
        assert_eq!(client.answer().expect("an answer").status(), 429);
        client.end();
    }
    assert!(gateway.ended().success());
}

/// What is for gateways with a settings file alone starts nothing here: no thread of its own, no door, no datagram.
#[test]
fn on_the_platform_there_are_no_threads_or_doors_but_its_own() {
    let server = Server::start(slow(1));
    let discovery = Discovery::start(vec![server.entry("s-0", "up")]);
    let gateway = Gateway::start(&discovery);
    let (threads, doors) = (gateway.threads(), gateway.doors());
    println!("{threads:?} {doors:?}");
    assert_eq!(doors, (1, 1), "clients, and the peers' datagrams");
    let known = ["frostgauged", "async-io"];
    assert!(threads.iter().all(|t| known.iter().any(|k| t.starts_with(k))), "{threads:?}");
}
