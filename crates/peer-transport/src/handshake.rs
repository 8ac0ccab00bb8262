//! The handshake that opens a connection.
//!
//! The accepting side sends a challenge without a MAC; the connecting side answers with a [`Hello`] under a key that
//! only the fleet's gateways can derive from it; the accepting side's first acknowledgement shows that it knows the
//! secret too.

use crate::error::{ConnectionError, RejectReason};
use crate::frame::{FrameReader, FrameWriter, MAX_BODY_BYTES, MAX_UNAUTHENTICATED_BODY_BYTES};
use crate::key::Nonce;
use crate::stream::{read_frame, write_all};
use crate::transport::Config;
use async_io::Async;
use frostgauge_net::{until, Pool, Timed};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const HELLO_BYTES: usize = 2 + 2 + size_of::<Nonce>();

/// The connecting side's first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Id of the connecting gateway.
    pub from: u16,
    /// Id of the gateway that it wants to reach.
    pub to: u16,
    /// Drawn for this connection.
    pub nonce: Nonce,
}

impl Hello {
    /// Its bytes on the wire; integers are big-endian.
    pub fn to_bytes(&self) -> Vec<u8> {
        [&self.from.to_be_bytes()[..], &self.to.to_be_bytes(), &self.nonce].concat()
    }

    /// Reads what [`Hello::to_bytes`] wrote.
    ///
    /// # Errors
    /// [`RejectReason::Malformed`] for any other length.
    pub fn from_bytes(bytes: &[u8]) -> Result<Hello, RejectReason> {
        let bytes: [u8; HELLO_BYTES] = bytes.try_into().map_err(|_| RejectReason::Malformed)?;
        let mut nonce = [0; 16];
        nonce.copy_from_slice(&bytes[4..]);
        let id_at = |at| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        Ok(Hello { from: id_at(0), to: id_at(2), nonce })
    }
}

/// The accepting side of an authenticated connection.
pub(crate) struct AcceptedSession {
    /// The gateway that connected.
    pub(crate) peer_id: u16,
    pub(crate) acknowledgements: FrameWriter,
    pub(crate) messages: FrameReader,
    /// Bytes read and not yet taken as frames.
    pub(crate) buf: Vec<u8>,
}

/// Lets a gateway of the fleet in, within the stall timeout: one that sends nothing must not keep a place.
pub(crate) async fn accept(
    config: &Config,
    stream: &Async<TcpStream>,
) -> Result<AcceptedSession, ConnectionError> {
    let challenge: Nonce = rand::random();
    let mut buf = vec![];
    let authenticate = async {
        let mut out = vec![];
        FrameWriter::new(None).write(&challenge, &mut out);
        write_all(stream, &out, config.stall_timeout).await?;
        let key = config.key.for_hello(&challenge);
        let mut reader = FrameReader::new(Some(key), MAX_UNAUTHENTICATED_BODY_BYTES);
        let frame = read_frame(stream, &mut reader, &mut buf).await?;
        let hello = Hello::from_bytes(&frame.body)?;
        let is_member = usize::from(hello.from) < config.addresses.len();
        if hello.to != config.self_id || hello.from == config.self_id || !is_member {
            return Err(ConnectionError::Rejected(RejectReason::Stranger));
        }
        Ok(hello)
    };
    let Timed::Done(hello) = until(Instant::now() + config.stall_timeout, authenticate).await else {
        return Err(ConnectionError::Lost);
    };
    let hello = hello?;
    Ok(AcceptedSession {
        peer_id: hello.from,
        acknowledgements: FrameWriter::new(Some(config.key.for_acknowledgements(&challenge, &hello))),
        messages: FrameReader::new(Some(config.key.for_messages(&challenge, &hello)), MAX_BODY_BYTES),
        buf,
    })
}

/// The connecting side of an authenticated connection.
pub(crate) struct OpenedSession {
    pub(crate) stream: Async<TcpStream>,
    pub(crate) messages: FrameWriter,
    pub(crate) acknowledgements: FrameReader,
    /// Bytes read and not yet taken as frames.
    pub(crate) buf: Vec<u8>,
}

/// Connects to a gateway and authenticates both sides. Sets no deadline of its own.
pub(crate) async fn connect(config: &Config, peer_id: u16) -> Result<OpenedSession, ConnectionError> {
    let address = config.addresses.get(usize::from(peer_id)).ok_or(ConnectionError::Lost)?;
    let pool = Pool::new(0, Duration::ZERO).from(config.source);
    let stream = pool.connect(*address).await.map_err(|_| ConnectionError::Lost)?;
    let _ = stream.get_ref().set_nodelay(true);
    let (mut buf, mut out) = (vec![], vec![]);

    let mut challenge_reader = FrameReader::new(None, MAX_UNAUTHENTICATED_BODY_BYTES);
    let frame = read_frame(&stream, &mut challenge_reader, &mut buf).await?;
    let challenge = Nonce::try_from(frame.body).map_err(|_| RejectReason::Malformed)?;
    let hello = Hello { from: config.self_id, to: peer_id, nonce: rand::random() };
    FrameWriter::new(Some(config.key.for_hello(&challenge))).write(&hello.to_bytes(), &mut out);
    write_all(&stream, &out, config.stall_timeout).await?;

    let messages = FrameWriter::new(Some(config.key.for_messages(&challenge, &hello)));
    let key = config.key.for_acknowledgements(&challenge, &hello);
    let mut acknowledgements = FrameReader::new(Some(key), MAX_UNAUTHENTICATED_BODY_BYTES);
    // The first acknowledgement, of no message yet, shows that the accepting side knows the secret.
    read_frame(&stream, &mut acknowledgements, &mut buf).await?;
    Ok(OpenedSession { stream, messages, acknowledgements, buf })
}
