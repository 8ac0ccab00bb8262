//! The client of the shared counter service.

use super::{HostEvent, Message, OAuthHost};
use frostgauge_counter_service::client::{self, Client};
use std::future::Future;

impl OAuthHost {
    /// Starts the client of the shared counter; `None` if the settings have no counter or no secret for it.
    pub(super) fn start_counter_client(&self) -> Option<Client> {
        let loaded = self.handle.loaded();
        let (settings, secret) = loaded.file.counter.as_ref().zip(loaded.counter_secret.as_ref())?;
        let micros = |ms: u64| ms * 1_000;
        let config = client::Config {
            address: settings.address,
            key: frostgauge_proto::counter::Key::derive(secret.expose()),
            gateway: u16::try_from(loaded.file.gateway.number).unwrap_or(u16::MAX),
            source: loaded.file.gateway.source,
            calls: frostgauge_counter_core::ClientCallsConfig {
                timeout: micros(settings.limit_ms),
                retry_after: micros(settings.repeat_ms),
            },
        };
        let inbox = self.handle.inbox();
        let deliver = move |result| -> std::pin::Pin<Box<dyn Future<Output = bool> + Send>> {
            let inbox = inbox.clone();
            Box::pin(
                async move { inbox.send(Message::Host(HostEvent::CounterCallEnded(result))).await.is_ok() },
            )
        };
        Some(Client::start(&self.executor, config, Box::new(deliver)))
    }
}
