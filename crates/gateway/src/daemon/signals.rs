//! Signal handling: SIGHUP reloads the settings, SIGTERM and SIGINT shut down.

use crate::oauth::{Handle, HostEvent, Message};
use async_signal::{Signal, Signals};
use frostgauge_settings::{load, Faults};
use futures_lite::StreamExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Reloads the settings at each SIGHUP; returns at SIGTERM or SIGINT.
pub(super) async fn until_shutdown(signals: &mut Signals, handle: &Handle, config: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(handle, config.to_path_buf()).await,
            Ok(_) => return,
            Err(error) => tracing::error!(%error, "cannot read a signal; waiting for the next one"),
        }
    }
}

/// Loads the settings file again. If it is faulty, or changes a setting that needs a restart, the running settings stay in
/// force and each fault is logged.
async fn reload(handle: &Handle, config: PathBuf) {
    // The file is evaluated on its own thread, so that this thread does not block.
    let (reply, answer) = async_channel::bounded(1);
    std::thread::spawn(move || drop(reply.try_send(load(&config))));
    let faults = match answer.recv().await {
        Ok(Ok(loaded)) => {
            let faults = loaded.needs_restart(&handle.loaded());
            if faults.is_empty() {
                handle.send(Message::Host(HostEvent::Reload(Arc::new(loaded)))).await;
                metrics::counter!("frostgauge_reloads", "ok" => "yes").increment(1);
                return;
            }
            Faults(faults)
        }
        Ok(Err(faults)) => faults,
        Err(_) => return,
    };
    metrics::counter!("frostgauge_reloads", "ok" => "no").increment(1);
    for fault in &faults.0 {
        tracing::error!(
            path = fault.path,
            reason = fault.reason,
            "settings not reloaded, the running settings stay in force"
        );
    }
}
