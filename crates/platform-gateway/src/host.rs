//! The engine's host on the platform: callers are named by their requests, servers by discovery.

use crate::memory::SharedMemory;
use crate::open_requests::{OpenIds, OpenRequest};
use crate::peers::Peers;
use crate::permits::ConnectionPermits;
use crate::pool::ConnectionPool;
use crate::semaphore::Semaphore;
use crate::server_table::ServerTable;
use crate::upstream::{self, Times};
use async_executor::{Executor, Task};
use frostgauge::{Effect, ListKind, ServerId, Status};
use frostgauge_gateway::clock::{Clock, Micros};
use frostgauge_gateway::core::{CallMetadata, Command, Core, Input};
use frostgauge_gateway::engine::{self, Attempt, EngineContext, Host, Message};
use frostgauge_gateway::log::Throttle;
use frostgauge_gateway::upstream::AttemptOutcome;
use frostgauge_platform_protocol::config::Config;
use frostgauge_platform_protocol::request::{Rejection, Request};
use frostgauge_platform_protocol::settings::PlatformSettings;
use frostgauge_platform_protocol::targets::Target;
use frostgauge_resource_policy::processor_shares::{ClientWork, ProcessorShares};
use frostgauge_resource_policy::shares::{Shares, DEFAULT_MAX_IN_FLIGHT};
use frostgauge_resource_policy::timeouts;
use frostgauge_settings::Tenant;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Capacity of the engine's message queue: a few messages for each connection that there may be.
const MAX_QUEUED_MESSAGES: usize = 2 << 10;

/// Handle of an engine on the platform.
pub type Handle = engine::Handle<Platform>;
/// A call of an engine on the platform.
pub type Call = engine::Call<Platform>;
/// An engine on the platform.
pub type Engine = engine::Engine<Platform>;

/// Events beside requests.
#[derive(Debug)]
pub enum HostEvent {
    /// Discovery listed servers.
    Listed(ListKind, Vec<Target>),
}

/// What fronts share with the engine.
#[derive(Debug)]
pub struct Front {
    /// The settings.
    pub site: PlatformSettings,
    /// Permits of clients' connections.
    pub permits: ConnectionPermits,
    /// Memory that clients and servers share.
    pub memory: SharedMemory,
    /// Processor time of clients' connections.
    pub processor: Mutex<ProcessorShares>,
    /// Requests can be served.
    pub ready: AtomicBool,
    /// Ids of open requests.
    pub open_ids: OpenIds,
    /// Throttles log lines on rejections.
    rejection_log: Mutex<Throttle>,
}

impl Front {
    /// Logs the rejection of a request that does not reach the decisions.
    pub fn log_rejection(&self, now: Micros, rejection: Rejection) {
        let Rejection { status, reason } = rejection;
        tracing::debug!(status, reason, "rejected");
        let allowed = self.rejection_log.lock().unwrap_or_else(PoisonError::into_inner).allow(now, reason);
        if let Some(more) = allowed {
            let memory_left = self.memory.budget().left();
            let connections = self.permits.taken();
            tracing::info!(status, reason, more, connections, memory_left, "request rejected as it was read");
        }
    }

    /// When a connection goes on after the work that it has caused.
    pub fn go_on_at(&self, now: Instant, work: &mut ClientWork) -> Instant {
        self.processor().go_on_at(now, work)
    }

    /// The same for a connection that is answered after this wait at the latest.
    pub fn go_on_within(&self, now: Instant, work: &mut ClientWork, max_wait: Duration) -> Instant {
        self.processor().go_on_within(now, work, max_wait)
    }

    /// When another connection is accepted after this one.
    pub fn accept_at(&self, now: Instant) -> Instant {
        self.processor().accept_at(now)
    }

    /// When a further read of what comes in pieces is to begin, after this wait at the latest.
    pub fn read_at(&self, now: Instant, max_wait: Duration) -> Instant {
        self.processor().read_at(now, max_wait)
    }

    /// Whether a new connection is to be served, rather than refused.
    pub fn admits(&self, now: Instant) -> bool {
        self.processor().admits(now)
    }

    /// Whether a connection that is refused may linger, which is accounted for then.
    pub fn lets_linger(&self, now: Instant) -> bool {
        self.processor().lets_linger(now)
    }

    /// Accounts for the work of a connection that ends.
    pub fn settle(&self, now: Instant, work: &mut ClientWork) {
        self.processor().settle(now, work);
    }

    fn processor(&self) -> MutexGuard<'_, ProcessorShares> {
        self.processor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The work of a new connection.
    pub fn client_work(&self) -> ClientWork {
        self.processor().client()
    }
}

/// Host of an engine on the platform.
pub struct Platform {
    handle: Handle,
    executor: Arc<Executor<'static>>,
    pool: Arc<ConnectionPool>,
    times: timeouts::ConnectionTimeouts,
    servers: ServerTable,
    peers: Option<Peers>,
    scope: Arc<str>,
    last_sweep: Micros,
    /// Probes that may be in flight: each takes a connection.
    probes: Semaphore,
}

/// Creates an engine that starts now, and its handle.
///
/// # Errors
/// The first setting that the decision library does not accept.
pub fn engine(
    config: &Config,
    clock: Clock,
    executor: Arc<Executor<'static>>,
    peers: Option<Peers>,
) -> Result<(Engine, Handle), frostgauge::SettingsError> {
    let (now, site) = (clock.now(), &config.platform_settings);
    let shares = Shares::divide(config.limits.sockets, config.limits.memory_mb);
    let max_in_flight = if site.max_in_flight > 0 { site.max_in_flight } else { DEFAULT_MAX_IN_FLIGHT };
    let mut core = Core::without_tokens(site.settings.clone(), max_in_flight, config.seed, now)?;
    core.limit_customers(shares.customers);
    let times = timeouts::ConnectionTimeouts::from_settings(
        site.connect_timeout,
        site.idle_timeout,
        site.drain_grace,
    );
    let memory = SharedMemory::new(shares.shared_bytes, shares.low_water_bytes);
    let front = Front {
        site: site.clone(),
        permits: ConnectionPermits::new(shares.client_connections, shares.idle_client_connections),
        memory: memory.clone(),
        processor: Mutex::new(ProcessorShares::divide(config.limits.cores)),
        ready: AtomicBool::new(false),
        open_ids: OpenIds::default(),
        rejection_log: Mutex::default(),
    };
    let (handle, inbox) = Handle::with_capacity(clock, Arc::new(front), MAX_QUEUED_MESSAGES);
    let host = Platform {
        handle: handle.clone(),
        executor,
        pool: Arc::new(
            ConnectionPool::new(shares.server_connections, times.idle).with_memory(memory.budget().clone()),
        ),
        times,
        servers: ServerTable::default(),
        peers,
        scope: Arc::from(""),
        last_sweep: now,
        probes: Semaphore::new(shares.server_connections),
    };
    Ok((Engine::new(core, host, clock, inbox), handle))
}

impl Platform {
    fn times(&self, timeout: Duration) -> Times {
        let (
            now,
            timeouts::ConnectionTimeouts { connect, first_byte, last_byte_pause, response_progress, .. },
        ) = (Instant::now(), self.times);
        Times {
            connect,
            first_byte: now + first_byte,
            repeat_by: None,
            deadline: now + timeout,
            pause: last_byte_pause,
            progress: response_progress,
        }
    }

    /// Until when a request of this class may be sent again if an attempt at it may have run.
    fn repeat_by(&self, class: usize, ran: Option<Micros>) -> Option<Instant> {
        let site = &self.handle.shared.site;
        let Effect::Deduplicated { window, .. } = site.settings.classes.get(class)?.effect else {
            return None;
        };
        Some(self.handle.clock.instant(ran?.saturating_add(window)))
    }
}

impl Host for Platform {
    type Caller = Request;
    type Forward = Arc<OpenRequest>;
    type Event = HostEvent;
    type Shared = Arc<Front>;

    fn register_call(&mut self, call: &Call) -> Input {
        let caller = &call.caller;
        let metadata = CallMetadata {
            call_id: call.call_id,
            token: [0; 16],
            class: caller.class,
            units: caller.units,
            scope: self.scope.clone(),
            arrived: call.arrived,
            timeout: call.timeout,
            is_retry: call.is_retry,
        };
        let tenant = Tenant {
            id: caller.customer,
            plan: caller.plan,
            subset_start: caller.subset_start,
            subset_size: caller.subset_size,
        };
        Input::AuthenticatedCall { metadata, tenant }
    }

    fn handle_event(
        &mut self,
        now: Micros,
        event: HostEvent,
        context: EngineContext<'_>,
        out: &mut Vec<Command>,
    ) {
        match event {
            HostEvent::Listed(kind, targets) => {
                let site = &self.handle.shared.site;
                for server in self.servers.listed(site, kind, &targets) {
                    self.pool.forget(server);
                }
                let entries = targets.iter().map(|t| t.entry(site)).collect();
                context.core.apply_watch_event(now, kind, entries, out);
                self.handle.shared.ready.store(true, Ordering::Relaxed);
            }
        }
    }

    fn start_attempt(&mut self, attempt: Attempt, call: Option<&Call>) -> Task<()> {
        let Attempt { call_id, attempt, server, timeout, first_run_sent_at: ran, .. } = attempt;
        let inbox = self.handle.inbox();
        self.servers.sent(server);
        let Some((destination, call)) = self.servers.destination(server).cloned().zip(call) else {
            // Neither can be missing while the core sends; if one were, the request has not run.
            let ended =
                AttemptOutcome { status: Status::NotSent, response: None, quota_use: None, load: None };
            return self.executor.spawn(async move {
                let _ = inbox.send(Message::Ended { call_id, attempt, ended }).await;
            });
        };
        let timeout = Duration::from_micros(timeout);
        let times = Times { repeat_by: self.repeat_by(call.caller.class, ran), ..self.times(timeout) };
        let (open_request, client) = (call.forward.clone(), call.client());
        let (pool, front) = (self.pool.clone(), self.handle.shared.clone());
        self.executor.spawn(async move {
            let to = destination.address;
            let request = |left| open_request.forward.bytes(to, left);
            let gone = client.disconnected();
            let ended = upstream::attempt(&pool, &front.site, destination, request, times, gone).await;
            // From here on this attempt is not out any more; before, a cancelled one closes its connection first.
            drop(open_request);
            let _ = inbox.send(Message::Ended { call_id, attempt, ended }).await;
        })
    }

    fn attempt_ended(&mut self, server: ServerId) {
        self.servers.over(server);
    }

    fn execute(&mut self, _: Micros, command: Command) -> Option<Input> {
        match command {
            Command::Probe { server } => {
                let destination = self.servers.destination(server)?.clone();
                let permit = self.probes.take(1)?;
                let (inbox, pool, front) =
                    (self.handle.inbox(), self.pool.clone(), self.handle.shared.clone());
                let times = self.times(self.times.connect);
                let probe = async move {
                    let ended = upstream::probe(&pool, &front.site, destination, times).await;
                    drop(permit);
                    let _ = inbox.send(Message::Probed { server, ended }).await;
                };
                self.executor.spawn(probe).detach();
                None
            }
            Command::SendToPeer { to, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &data);
                }
                None
            }
            // A platform's gateway has no shared counter: the call is rejected, the amount not added.
            Command::AddToCounter { counter, .. } => {
                Some(Input::CounterReplied { counter, total: None, may_have_added: false, elapsed: 0 })
            }
            // Tokens and zones are not used here; the rest is executed by the engine itself.
            Command::Introspect { .. }
            | Command::CheckHealth { .. }
            | Command::LogZoneChange(_)
            | Command::Send { .. }
            | Command::Cancel { .. }
            | Command::Deliver { .. }
            | Command::Answer { .. }
            | Command::Log(_) => None,
        }
    }

    fn after_batch(&mut self, now: Micros, _: EngineContext<'_>) {
        if now >= self.last_sweep + timeouts::IDLE_SWEEP_INTERVAL.as_micros() as Micros {
            self.last_sweep = now;
            self.pool.sweep();
        }
    }
}
