//! Messages between gateways as bytes, a seeded random number and a fading rate; nothing is decided here.

use crate::api::{CustomerId, Micros};

/// The version of the messages, their first byte.
const VERSION: u8 = 1;
/// Bytes of a message before its lines, and of a line.
const HEAD: usize = 4;
const LINE: usize = 15;
/// Most lines in a message of 256 bytes.
pub(crate) const LINES: usize = (256 - HEAD) / LINE;

/// What one gateway tells of one customer.
pub(crate) struct Line {
    pub customer: CustomerId,
    pub plan: usize,
    pub spread: usize,
    /// Running total of units used, in eighths, 24 bits of it.
    pub total: u32,
    /// Demand in quotas, told in sixteenths, up to 15.9.
    pub demand: f64,
}

/// The bytes of a message; `life` (24 bits) tells which start of the sender the totals belong to.
pub(crate) fn write(life: u32, lines: &[Line]) -> Vec<u8> {
    let mut data = vec![VERSION];
    data.extend(&life.to_be_bytes()[1..]);
    for line in lines {
        data.extend(line.customer.0.to_be_bytes());
        data.push(line.plan as u8);
        data.extend((line.spread as u16).to_be_bytes());
        data.extend(&line.total.to_be_bytes()[1..]);
        data.push((line.demand * 16.0).clamp(0.0, 255.0) as u8);
    }
    data
}

/// The life and the lines of a message, or `None` if it is cut short or of another version.
pub(crate) fn read(data: &[u8]) -> Option<(u32, Vec<Line>)> {
    let (head, rows) = data.split_first_chunk::<HEAD>().filter(|(h, _)| h[0] == VERSION)?;
    let rows = rows.chunks_exact(LINE).map(|row| {
        Some(Line {
            customer: CustomerId(u64::from_be_bytes(*row.first_chunk::<8>()?)),
            plan: usize::from(row[8]),
            spread: usize::from(u16::from_be_bytes([row[9], row[10]])),
            total: u32::from_be_bytes([0, row[11], row[12], row[13]]),
            demand: f64::from(row[14]) / 16.0,
        })
    });
    Some((u32::from_be_bytes([0, head[1], head[2], head[3]]), rows.collect::<Option<_>>()?))
}

/// Random numbers from a seed (SplitMix64).
#[derive(Default)]
pub(crate) struct Dice(pub u64);

impl Dice {
    /// The next number, from 0 up to 1.
    pub fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A span in seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// What is left of a value after a span, when it falls by e in each `horizon` seconds.
pub(crate) fn fade(span: Micros, horizon: f64) -> f64 {
    (-seconds(span) / horizon).exp()
}

/// A rate in units a second that fades over a horizon of some seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    value: f64,
    at: Micros,
}

impl Rate {
    /// The rate as it is now.
    pub fn get(&self, now: Micros, horizon: f64) -> f64 {
        self.value * fade(now.saturating_sub(self.at), horizon)
    }

    /// Counts units now.
    pub fn add(&mut self, now: Micros, units: f64, horizon: f64) {
        *self = Rate { value: self.get(now, horizon) + units / horizon, at: now };
    }
}
