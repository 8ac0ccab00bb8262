//! A day: its size, its faults, drawn from a seed.

use crate::counter::CounterDay;
use crate::Micros;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const S: Micros = 1_000_000;

/// Something that goes wrong at a time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A zone's nodes die; they come back cold after a while.
    Dark {
        /// The zone.
        zone: u32,
        /// For how long.
        len: Micros,
    },
    /// Half of a zone's nodes die.
    Half {
        /// The zone.
        zone: u32,
        /// For how long.
        len: Micros,
    },
    /// The path from the gateways of one zone to the nodes of another is cut.
    Cut {
        /// Gateways' zone.
        from: u32,
        /// Nodes' zone.
        to: u32,
        /// For how long.
        len: Micros,
    },
    /// A zone's nodes take this many times as long.
    Slow {
        /// The zone.
        zone: u32,
        /// How many times.
        times: f64,
        /// For how long.
        len: Micros,
    },
    /// The counter is not there: silent, or refusing connections.
    CounterDown {
        /// Connections stand and nothing comes.
        silent: bool,
        /// For how long.
        len: Micros,
    },
    /// Some gateways start again with nothing.
    Restart {
        /// Their share.
        part: f64,
    },
    /// Some gateways get all the traffic.
    Skew {
        /// Their share.
        part: f64,
    },
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its seed.
    pub seed: u64,
    /// Gateways, spread over the zones in turn.
    pub gateways: usize,
    /// Nodes of each zone; there are three zones.
    pub nodes: [usize; 3],
    /// Requests a second, over all gateways.
    pub per_s: f64,
    /// Requests come for so long.
    pub length: Micros,
    /// Quiet time after the last fault in which all must come home.
    pub quiet: Micros,
    /// The list tells a gateway of a change after up to this.
    pub lag: Micros,
    /// Attempts from a zone to another, a second, over all gateways.
    pub limit: f64,
    /// Each tenant's quota: units a second, and at once.
    pub quota: [f64; 2],
    /// The shared counter; none: there is none.
    pub counter: Option<CounterDay>,
    /// With the decisions about zones.
    pub zones: bool,
    /// What goes wrong, by time.
    pub faults: Vec<(Micros, Fault)>,
}

impl Day {
    /// The same day with quotas that bind, a counter to keep them by, and an outage of it, all from its seed.
    #[must_use]
    pub fn counted(mut self) -> Day {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(6);
        let rate = self.per_s / 40.0 * (0.6 + 0.8 * rng.random::<f64>());
        self.quota = [rate, 3.0 * rate];
        self.counter = Some(CounterDay {
            sync: rng.random_range(200..4_000),
            each: rng.random_range(2..400),
            target: 10_000,
            lose: [0.0, 0.05][rng.random_range(0..2)],
        });
        let at = rng.random_range(S..self.length - 3 * S);
        let fault = Fault::CounterDown { silent: rng.random(), len: rng.random_range(S / 2..6 * S) };
        self.faults.push((at, fault));
        self.faults.sort_by_key(|f| f.0);
        self
    }

    /// A day drawn from a seed.
    pub fn draw(seed: u64, gateways: usize) -> Day {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(1);
        let sizes = [[8, 8, 8], [9, 1, 4], [12, 6, 3], [4, 4, 1], [8, 2, 8]];
        let nodes = sizes[rng.random_range(0..sizes.len())];
        let all: usize = nodes.iter().sum();
        // A node does some fifty requests a second.
        let per_s = all as f64 * 50.0 * (0.3 + 0.5 * rng.random::<f64>());
        let length = 14 * S;
        let count = rng.random_range(1..6);
        let mut faults: Vec<(Micros, Fault)> = (0..count)
            .map(|_| {
                let at = S + rng.random_range(0..length - 4 * S);
                let (zone, len) = (rng.random_range(0..3), rng.random_range(S / 2..6 * S));
                let fault = match rng.random_range(0..9) {
                    0..=2 => Fault::Dark { zone, len },
                    3 => Fault::Half { zone, len },
                    4 => Fault::Cut { from: rng.random_range(0..3), to: zone, len },
                    5 => Fault::Slow { zone, times: 2.0 + 8.0 * rng.random::<f64>(), len },
                    6 | 7 => Fault::Restart { part: 0.05 + 0.4 * rng.random::<f64>() },
                    _ => Fault::Skew { part: 0.02 + 0.2 * rng.random::<f64>() },
                };
                (at, fault)
            })
            .collect();
        faults.sort_by_key(|f| f.0);
        let lag = rng.random_range(S / 10..7 * S);
        let limit = (0.3 * all as f64 / 3.0 * 50.0).max(10.0).round();
        let (quota, counter, zones, quiet) = ([100_000.0; 2], None, true, 40 * S);
        Day { seed, gateways, nodes, per_s, length, quiet, lag, limit, quota, counter, zones, faults }
    }
}
