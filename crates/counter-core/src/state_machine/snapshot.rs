//! Binary encoding of the complete state.
//!
//! Field sizes are in bytes, and integers are big-endian:
//!
//! - header: magic (8, the last byte is the format version), index (8), time (8), number of counters (8), number of
//!   sessions (8)
//! - each counter: length of the name (1), name, total (8), expiry (8)
//! - each session: gateway (2), epoch (8), incarnation (16), highest sequence (8), number of completed adds (8), and for
//!   each of those its sequence (8) and total (8)
//! - CRC-32C of everything before it (4)

use super::{Counter, GatewaySession, StateMachine};
use crc::{Crc, Table, CRC_32_ISCSI};
use std::collections::BTreeMap;

const CRC: Crc<u32, Table<16>> = Crc::<u32, Table<16>>::new(&CRC_32_ISCSI);
const CRC_BYTES: usize = 4;
const MAGIC: &[u8; 8] = b"FGSNAP\0\x01";
const TRUNCATED: &str = "the content ends before all counters and sessions that it announces are read";

/// Why a snapshot cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {reason}")]
pub struct SnapshotError {
    /// Position of the fault, bytes from the start of the snapshot.
    pub offset: usize,
    /// Description of the fault.
    pub reason: &'static str,
}

impl StateMachine {
    /// Encodes the complete state. Equal states have equal encodings.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        for field in [self.index, self.time_ms, self.counters.len() as u64, self.sessions.len() as u64] {
            out.extend(field.to_be_bytes());
        }
        for (name, counter) in &self.counters {
            out.push(name.len() as u8);
            out.extend(name);
            out.extend(counter.total.to_be_bytes());
            out.extend(counter.expires_ms.to_be_bytes());
        }
        for (gateway, session) in &self.sessions {
            out.extend(gateway.to_be_bytes());
            encode_session(session, &mut out);
        }
        let crc = CRC.checksum(&out);
        out.extend(crc.to_be_bytes());
        out
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// The snapshot is damaged, or its format is unknown.
    pub fn restore(bytes: &[u8]) -> Result<StateMachine, SnapshotError> {
        let body = checked_body(bytes)?;
        let mut reader = SnapshotReader { body, offset: MAGIC.len() };
        let mut machine =
            StateMachine { index: reader.u64()?, time_ms: reader.u64()?, ..StateMachine::default() };
        let (counter_count, session_count) = (reader.u64()?, reader.u64()?);
        for _ in 0..counter_count {
            let (name, counter) = reader.counter()?;
            machine.insert_counter(name, counter);
        }
        for _ in 0..session_count {
            let (gateway, session) = reader.session()?;
            machine.sessions.insert(gateway, session);
        }
        if reader.offset != body.len() {
            return Err(SnapshotError {
                offset: reader.offset,
                reason: "unexpected bytes between the last session and the checksum",
            });
        }
        Ok(machine)
    }
}

fn encode_session(session: &GatewaySession, out: &mut Vec<u8>) {
    out.extend(session.epoch.to_be_bytes());
    out.extend(session.incarnation);
    out.extend(session.newest_seq.to_be_bytes());
    out.extend((session.completed.len() as u64).to_be_bytes());
    for (seq, total) in &session.completed {
        out.extend(seq.to_be_bytes());
        out.extend(total.to_be_bytes());
    }
}

/// Verifies magic and checksum, and returns the bytes before the checksum.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    if !bytes.starts_with(MAGIC) {
        return Err(SnapshotError {
            offset: 0,
            reason: "the magic number of this format version is missing",
        });
    }
    let end = bytes.len().saturating_sub(CRC_BYTES);
    let (body, crc) = bytes.split_at(end);
    if crc != CRC.checksum(body).to_be_bytes() {
        return Err(SnapshotError { offset: end, reason: "the checksum does not match the content" });
    }
    Ok(body)
}

/// Reads fields in order from the bytes before the checksum.
struct SnapshotReader<'a> {
    body: &'a [u8],
    offset: usize,
}

impl<'a> SnapshotReader<'a> {
    fn bytes(&mut self, len: usize) -> Result<&'a [u8], SnapshotError> {
        let end = self.offset.saturating_add(len);
        let bytes = self.body.get(self.offset..end);
        let bytes = bytes.ok_or(SnapshotError { offset: self.offset, reason: TRUNCATED })?;
        self.offset = end;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], SnapshotError> {
        let offset = self.offset;
        self.bytes(N)?.try_into().map_err(|_| SnapshotError { offset, reason: TRUNCATED })
    }

    fn u64(&mut self) -> Result<u64, SnapshotError> {
        self.array().map(u64::from_be_bytes)
    }

    fn counter(&mut self) -> Result<(Vec<u8>, Counter), SnapshotError> {
        let [len] = self.array()?;
        let name = self.bytes(usize::from(len))?.to_vec();
        Ok((name, Counter { total: self.u64()? as i64, expires_ms: self.u64()? }))
    }

    fn session(&mut self) -> Result<(u16, GatewaySession), SnapshotError> {
        let gateway = u16::from_be_bytes(self.array()?);
        let (epoch, incarnation, newest_seq) = (self.u64()?, self.array()?, self.u64()?);
        let mut completed = BTreeMap::new();
        for _ in 0..self.u64()? {
            completed.insert(self.u64()?, self.u64()? as i64);
        }
        Ok((gateway, GatewaySession { epoch, incarnation, newest_seq, completed }))
    }
}
