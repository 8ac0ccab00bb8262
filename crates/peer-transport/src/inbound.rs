//! Accepted connections: messages go to the inbox, and are acknowledged by sequence number.

use crate::error::ConnectionError;
use crate::handshake::{self, AcceptedSession};
use crate::stream::{read_frame, take_frame, write_all, OwnedFrame};
use crate::transport::{Config, PeerMessage};
use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use frostgauge_net::{Closing, Places};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Connections accepted from each gateway at once: one that was cut off comes back before its old connection is seen
/// to be gone.
const CONNECTIONS_PER_PEER: usize = 2;
/// Connections accepted beyond that, for those that are still to authenticate.
const SPARE_CONNECTIONS: usize = 16;

/// Accepts connections until closing. While the inbox is full, connections wait.
pub(crate) async fn accept_connections(
    config: Arc<Config>,
    listener: Async<TcpListener>,
    inbox: Sender<PeerMessage>,
    closing: Closing,
    executor: Arc<Executor<'static>>,
) {
    let places = Places::new(CONNECTIONS_PER_PEER * config.addresses.len() + SPARE_CONNECTIONS);
    frostgauge_net::accept(&listener, &places, &closing, |stream, remote_address, place| {
        let (config, inbox, closing) = (config.clone(), inbox.clone(), closing.clone());
        let serve = async move {
            let _place = place;
            let receive = async { Some(receive_messages(&config, &stream, &inbox).await) };
            let ended = frostgauge_net::or_closing(&closing, receive).await;
            report_end(remote_address, ended);
        };
        executor.spawn(serve).detach();
    })
    .await;
}

fn report_end(remote_address: SocketAddr, ended: Option<Result<(), ConnectionError>>) {
    if let Some(Err(ConnectionError::Rejected(reason))) = ended {
        metrics::counter!("frostgauge_link_refused", "why" => reason.label()).increment(1);
        tracing::warn!(%remote_address, error = %reason, "peer connection rejected");
    } else {
        tracing::debug!(%remote_address, "peer connection ended");
    }
}

/// Authenticates the connecting gateway, then hands its messages to the inbox. Ends well once nobody reads the inbox.
async fn receive_messages(
    config: &Config,
    stream: &Async<TcpStream>,
    inbox: &Sender<PeerMessage>,
) -> Result<(), ConnectionError> {
    let AcceptedSession { peer_id, mut acknowledgements, mut messages, mut buf } =
        handshake::accept(config, stream).await?;
    let mut out = vec![];
    let mut acknowledged = 0;
    loop {
        out.clear();
        acknowledgements.write(&u64::to_be_bytes(acknowledged), &mut out);
        write_all(stream, &out, config.stall_timeout).await?;
        let mut received = Some(read_frame(stream, &mut messages, &mut buf).await?);
        // What came together is delivered before it is acknowledged.
        while let Some(OwnedFrame { sequence, body }) = received {
            acknowledged = sequence;
            let message = PeerMessage { sender: peer_id, payload: body };
            if inbox.send(message).await.is_err() {
                return Ok(());
            }
            received = take_frame(&mut messages, &mut buf)?;
        }
    }
}
