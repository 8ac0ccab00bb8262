//! Kinds and bodies of frames.

use super::{Nonce, RejectReason, HEAD_BYTES, MAC_BYTES, MAX_FRAME_BYTES, MAX_NAME_BYTES};

/// A frame's kind and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A gateway opens a session.
    Open {
        /// Its number.
        gateway: u16,
        /// The gateway's process.
        incarnation: Nonce,
        /// Drawn for this connection.
        nonce: Nonce,
    },
    /// Adds to a counter.
    Add {
        /// Its sequence, from 1, in this epoch; a retry carries the first attempt's.
        seq: u64,
        /// Sub-units to add.
        amount: i64,
        /// Time to live of a new counter, milliseconds.
        ttl_ms: u32,
        /// The reply is of use for so long, microseconds.
        timeout_us: u32,
        /// The name.
        name: Vec<u8>,
    },
    /// Reads a counter.
    Read {
        /// Repeated in the reply.
        id: u64,
        /// The name.
        name: Vec<u8>,
    },
    /// Asks for a sign of life.
    Ping {
        /// Repeated in the reply.
        id: u64,
    },
    /// The service's first frame.
    Challenge {
        /// Drawn for this connection.
        nonce: Nonce,
    },
    /// The session is open.
    Opened {
        /// Its epoch.
        epoch: u64,
        /// Sequences remembered behind the newest one.
        window: u32,
    },
    /// A total.
    Total {
        /// The sequence or id.
        id: u64,
        /// Sub-units.
        total: i64,
        /// Present delay in the service's queue, microseconds.
        queue_delay_us: u32,
    },
    /// Nothing was added by this frame.
    Rejected {
        /// The sequence or id.
        id: u64,
        /// Why.
        reason: RejectReason,
        /// Present delay in the service's queue, microseconds.
        queue_delay_us: u32,
    },
    /// The reply to a ping.
    Pong {
        /// Its id.
        id: u64,
        /// Present delay in the service's queue, microseconds.
        queue_delay_us: u32,
    },
    /// The service closes the connection.
    Bye {
        /// Why.
        reason: RejectReason,
    },
}

/// Reads the fields of a body in order.
struct BodyReader<'a>(&'a [u8]);

impl BodyReader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], RejectReason> {
        let (some, rest) = self.0.split_first_chunk::<N>().ok_or(RejectReason::Malformed)?;
        self.0 = rest;
        Ok(*some)
    }

    fn u64(&mut self) -> Result<u64, RejectReason> {
        self.take().map(u64::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, RejectReason> {
        self.take().map(u32::from_be_bytes)
    }

    fn name(&mut self) -> Result<Vec<u8>, RejectReason> {
        let [len] = self.take()?;
        let len = usize::from(len);
        if len == 0 || len > MAX_NAME_BYTES {
            return Err(RejectReason::InvalidName);
        }
        let (name, rest) = self.0.split_at_checked(len).ok_or(RejectReason::Malformed)?;
        self.0 = rest;
        Ok(name.to_vec())
    }

    fn reason(&mut self) -> Result<RejectReason, RejectReason> {
        let [byte] = self.take()?;
        RejectReason::from_byte(byte).ok_or(RejectReason::Malformed)
    }
}

impl Frame {
    pub(super) fn kind(&self) -> u8 {
        match self {
            Frame::Open { .. } => 1,
            Frame::Add { .. } => 2,
            Frame::Read { .. } => 3,
            Frame::Ping { .. } => 4,
            Frame::Challenge { .. } => 16,
            Frame::Opened { .. } => 17,
            Frame::Total { .. } => 18,
            Frame::Rejected { .. } => 19,
            Frame::Pong { .. } => 20,
            Frame::Bye { .. } => 21,
        }
    }

    pub(super) fn encode_body(&self, out: &mut Vec<u8>) {
        let put_name = |out: &mut Vec<u8>, name: &[u8]| {
            // A longer name is cut; the other side rejects it for its length.
            out.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            out.extend(
                &name[..name
                    .len()
                    .min(usize::from(u8::MAX))
                    .min(MAX_FRAME_BYTES - HEAD_BYTES - MAC_BYTES - 32)],
            );
        };
        match self {
            Frame::Open { gateway, incarnation, nonce } => {
                out.extend(gateway.to_be_bytes());
                out.extend(incarnation);
                out.extend(nonce);
            }
            Frame::Add { seq, amount, ttl_ms, timeout_us, name } => {
                out.extend(seq.to_be_bytes());
                out.extend(amount.to_be_bytes());
                out.extend(ttl_ms.to_be_bytes());
                out.extend(timeout_us.to_be_bytes());
                put_name(out, name);
            }
            Frame::Read { id, name } => {
                out.extend(id.to_be_bytes());
                put_name(out, name);
            }
            Frame::Ping { id } => out.extend(id.to_be_bytes()),
            Frame::Challenge { nonce } => out.extend(nonce),
            Frame::Opened { epoch, window } => {
                out.extend(epoch.to_be_bytes());
                out.extend(window.to_be_bytes());
            }
            Frame::Total { id, total, queue_delay_us } => {
                out.extend(id.to_be_bytes());
                out.extend(total.to_be_bytes());
                out.extend(queue_delay_us.to_be_bytes());
            }
            Frame::Rejected { id, reason, queue_delay_us } => {
                out.extend(id.to_be_bytes());
                out.push(*reason as u8);
                out.extend(queue_delay_us.to_be_bytes());
            }
            Frame::Pong { id, queue_delay_us } => {
                out.extend(id.to_be_bytes());
                out.extend(queue_delay_us.to_be_bytes());
            }
            Frame::Bye { reason } => out.push(*reason as u8),
        }
    }

    pub(super) fn decode_body(kind: u8, body: &[u8]) -> Result<Frame, RejectReason> {
        let mut body = BodyReader(body);
        let frame = match kind {
            1 => Frame::Open {
                gateway: u16::from_be_bytes(body.take()?),
                incarnation: body.take()?,
                nonce: body.take()?,
            },
            2 => Frame::Add {
                seq: body.u64()?,
                amount: i64::from_be_bytes(body.take()?),
                ttl_ms: body.u32()?,
                timeout_us: body.u32()?,
                name: body.name()?,
            },
            3 => Frame::Read { id: body.u64()?, name: body.name()? },
            4 => Frame::Ping { id: body.u64()? },
            16 => Frame::Challenge { nonce: body.take()? },
            17 => Frame::Opened { epoch: body.u64()?, window: body.u32()? },
            18 => Frame::Total {
                id: body.u64()?,
                total: i64::from_be_bytes(body.take()?),
                queue_delay_us: body.u32()?,
            },
            19 => Frame::Rejected { id: body.u64()?, reason: body.reason()?, queue_delay_us: body.u32()? },
            20 => Frame::Pong { id: body.u64()?, queue_delay_us: body.u32()? },
            21 => Frame::Bye { reason: body.reason()? },
            _ => return Err(RejectReason::UnknownKind),
        };
        if body.0.is_empty() {
            Ok(frame)
        } else {
            Err(RejectReason::Malformed)
        }
    }
}
