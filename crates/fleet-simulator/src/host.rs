//! A gateway's machine: its process, its clock and its disks.

use crate::event_queue::Event;
use frostgauge_consensus::{GatewayId, Micros, VersionNumber};
use frostgauge_fleet_agent::{Process, Transport};
use frostgauge_storage::sim::SimDisk;
use std::collections::{BTreeMap, BTreeSet};

/// Events that wait for a paused process; further ones are lost, as in a full socket buffer.
const MAX_QUEUED_EVENTS: usize = 4_096;
const MILLION: i128 = 1_000_000;

/// Takes what a process sends.
pub(crate) struct Outbox<'a>(pub(crate) &'a mut Vec<(GatewayId, Vec<u8>)>);

impl Transport for Outbox<'_> {
    fn send(&mut self, to: GatewayId, bytes: Vec<u8>) {
        self.0.push((to, bytes));
    }
}

/// A clock that showed something at a true time and runs fast or slow since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// A true time.
    pub(crate) true_origin: Micros,
    /// What the clock showed then.
    pub(crate) local_origin: Micros,
    /// How much faster than true time it runs, parts per million.
    pub(crate) drift_ppm: i64,
}

impl Clock {
    /// What the clock shows at a true time.
    fn local_time(&self, now: Micros) -> Micros {
        let elapsed = i128::from(now - self.true_origin);
        self.local_origin + (elapsed * (MILLION + i128::from(self.drift_ppm)) / MILLION) as Micros
    }

    /// The true time after `now` at which the clock shows `local`.
    fn true_time(&self, now: Micros, local: Micros) -> Micros {
        if local == Micros::MAX {
            return local;
        }
        let wait = i128::from(local) - i128::from(self.local_origin);
        let wait = wait * MILLION / (MILLION + i128::from(self.drift_ppm)) + 1;
        (i128::from(self.true_origin) + wait).max(i128::from(now) + 1) as Micros
    }
}

/// A machine with one gateway.
pub(crate) struct Host {
    pub(crate) process: Option<Process<SimDisk>>,
    /// Counts starts and ends of its process.
    pub(crate) incarnation: u64,
    pub(crate) clock: Clock,
    pub(crate) paused: bool,
    /// What came while it was paused.
    pub(crate) queued_events: Vec<Event>,
    pub(crate) replica_storage: Option<SimDisk>,
    pub(crate) fallback_storage: Option<SimDisk>,
    /// By tenant: what its clients have saved up, thousandths of a unit times microseconds.
    pub(crate) credit: BTreeMap<String, u64>,
    pub(crate) requests_generated_at: Micros,
    pub(crate) wake_scheduled_at: Micros,
    pub(crate) choice_counter: u64,
    /// Time from the authorization of a request to its send.
    pub(crate) send_delay: Micros,
    pub(crate) fails_under_version: Option<VersionNumber>,
    /// Only these tenants send requests to this gateway; none: all.
    pub(crate) only_tenants: Option<BTreeSet<String>>,
}

impl Host {
    /// A machine whose process is down.
    pub(crate) fn new(
        now: Micros,
        clock: Clock,
        replica_storage: Option<SimDisk>,
        fallback_storage: SimDisk,
        choice_counter: u64,
    ) -> Host {
        Host {
            process: None,
            incarnation: 0,
            clock,
            paused: false,
            queued_events: vec![],
            replica_storage,
            fallback_storage: Some(fallback_storage),
            credit: BTreeMap::new(),
            requests_generated_at: now,
            wake_scheduled_at: Micros::MAX,
            choice_counter,
            send_delay: 0,
            fails_under_version: None,
            only_tenants: None,
        }
    }

    /// What its clock shows at a true time.
    pub(crate) fn local_time(&self, now: Micros) -> Micros {
        self.clock.local_time(now)
    }

    /// The true time after `now` at which its clock shows `local`.
    pub(crate) fn true_time(&self, now: Micros, local: Micros) -> Micros {
        self.clock.true_time(now, local)
    }

    /// Its process, if that is the one an event was meant for.
    pub(crate) fn process_of(&mut self, incarnation: u64) -> Option<&mut Process<SimDisk>> {
        self.process.as_mut().filter(|_| incarnation == self.incarnation)
    }

    /// Keeps an event until the process is resumed; ends of connections and requests are never lost.
    pub(crate) fn queue(&mut self, event: Event) {
        let is_kept = matches!(event, Event::ConnectionClosed { .. } | Event::RequestEnded { .. });
        if is_kept || self.queued_events.len() < MAX_QUEUED_EVENTS {
            self.queued_events.push(event);
        }
    }
}
