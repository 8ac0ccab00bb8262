//! Wire format of the messages between gateways.
//!
//! A message has a head (version, incarnation of the sender) and up to [`MAX_UPDATES`] usage updates of fixed
//! length. All numbers are big-endian.

use crate::api::CustomerId;

/// Version of the format: the first byte of a message.
const VERSION: u8 = 1;
/// Length of the head of a message, bytes.
const HEAD_BYTES: usize = 4;
/// Length of one usage update, bytes.
const UPDATE_BYTES: usize = 15;
/// Maximum length of a message, bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of usage updates in a message.
pub(crate) const MAX_UPDATES: usize = (MAX_MESSAGE_BYTES - HEAD_BYTES) / UPDATE_BYTES;
/// Steps in which the running total is sent, per unit.
pub(crate) const TOTAL_PER_UNIT: f64 = 8.0;
/// The bits of a running total, and of an incarnation, that are sent.
pub(crate) const TOTAL_MASK: u32 = 0xff_ffff;
/// Steps in which the demand is sent, per multiple of the quota.
const DEMAND_PER_QUOTA: f64 = 16.0;

/// One customer's usage at the sending gateway.
pub(crate) struct UsageUpdate {
    pub customer: CustomerId,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Number of gateways in the customer's subset.
    pub subset_size: usize,
    /// Running total of the units used there, in steps of 1/[`TOTAL_PER_UNIT`]; its low 24 bits are sent.
    pub total: u32,
    /// Demand at all gateways as a multiple of the quota; sent in steps of 1/[`DEMAND_PER_QUOTA`], up to
    /// 15.9.
    pub demand: f64,
}

/// Encodes a message. `incarnation` (24 bits) identifies the run of the sender in which the totals were
/// counted.
pub(crate) fn encode(incarnation: u32, updates: &[UsageUpdate]) -> Vec<u8> {
    let mut data = vec![VERSION];
    data.extend(&incarnation.to_be_bytes()[1..]);
    for update in updates {
        data.extend(update.customer.0.to_be_bytes());
        data.push(update.plan as u8);
        data.extend((update.subset_size as u16).to_be_bytes());
        data.extend(&update.total.to_be_bytes()[1..]);
        data.push((update.demand * DEMAND_PER_QUOTA).clamp(0.0, 255.0) as u8);
    }
    data
}

/// Decodes a message into the sender's incarnation and its updates; `None` if the head is cut short or of
/// another version. An update that is cut short is ignored.
pub(crate) fn decode(data: &[u8]) -> Option<(u32, Vec<UsageUpdate>)> {
    let (head, rows) = data.split_first_chunk::<HEAD_BYTES>().filter(|(head, _)| head[0] == VERSION)?;
    let updates = rows.chunks_exact(UPDATE_BYTES).map(decode_update).collect::<Option<_>>()?;
    Some((u32::from_be_bytes([0, head[1], head[2], head[3]]), updates))
}

fn decode_update(row: &[u8]) -> Option<UsageUpdate> {
    Some(UsageUpdate {
        customer: CustomerId(u64::from_be_bytes(*row.first_chunk::<8>()?)),
        plan: usize::from(row[8]),
        subset_size: usize::from(u16::from_be_bytes([row[9], row[10]])),
        total: u32::from_be_bytes([0, row[11], row[12], row[13]]),
        demand: f64::from(row[14]) / DEMAND_PER_QUOTA,
    })
}
