//! A distribution of times in few bytes, mergeable: an HDR histogram of one significant digit (Tene), packed as the
//! values that occurred with their counts.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The longest time that is told apart, microseconds: ten minutes.
const MAX_DURATION_MICROS: u64 = 600_000_000;
/// Values of a packed one at most: more than an honest one can have.
const MAX_PACKED_VALUES: usize = 512;

/// A distribution of times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DurationHistogram(Histogram<u32>);

/// A [`DurationHistogram`] as it is sent: values, and how often each occurred.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedHistogram(pub Vec<(u32, u32)>);

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        // Bounds and digits are allowed: a minimum of 1, a maximum of twice that and more, digits 0 to 5.
        DurationHistogram(
            Histogram::new_with_bounds(1, MAX_DURATION_MICROS, 1).expect("bounds and digits are allowed"),
        )
    }
}

impl DurationHistogram {
    /// Takes a time.
    pub fn take(&mut self, micros: u64) {
        self.0.saturating_record(micros.max(1));
    }

    /// How many were taken.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Their mean, microseconds; 0 for none.
    pub fn mean(&self) -> u64 {
        self.0.mean() as u64
    }

    /// The time that so many of a thousand stay within, microseconds.
    pub fn quantile(&self, of_thousand: u32) -> u64 {
        self.0.value_at_quantile(f64::from(of_thousand) / 1e3)
    }

    /// Takes all of another.
    pub fn merge(&mut self, other: &DurationHistogram) {
        // The same bounds: nothing can be out of range.
        let _ = self.0.add(&other.0);
    }

    /// As it is sent.
    pub fn pack(&self) -> PackedHistogram {
        let all = self.0.iter_recorded().map(|v| {
            let value = u32::try_from(v.value_iterated_to()).unwrap_or(u32::MAX);
            (value, v.count_at_value())
        });
        PackedHistogram(all.collect())
    }

    /// Reads what came.
    ///
    /// # Errors
    /// What is wrong: it has too many values, or counts that no window holds.
    pub fn unpack(packed: &PackedHistogram, most: u64) -> Result<DurationHistogram, String> {
        if packed.0.len() > MAX_PACKED_VALUES {
            return Err(format!("{} values, {MAX_PACKED_VALUES} at most", packed.0.len()));
        }
        let sum: u64 = packed.0.iter().map(|(_, n)| u64::from(*n)).sum();
        if sum > most {
            return Err(format!("{sum} times, {most} at most"));
        }
        let mut sketch = DurationHistogram::default();
        for (value, n) in &packed.0 {
            sketch.0.saturating_record_n(u64::from(*value).max(1), *n);
        }
        Ok(sketch)
    }
}
