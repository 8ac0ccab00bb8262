//! The introspection server of a run.

use super::{Fleet, CLIENT};
use crate::process::Process;
use frostgauge_proto::introspection::client_basic;
use frostgauge_test_servers::introspection::Control;

impl Fleet {
    /// Starts the introspection server.
    ///
    /// # Errors
    /// It does not start.
    pub fn start_introspection(&self) -> Result<(), String> {
        let delay = self.scenario.introspection_ms.to_string();
        let authorization = client_basic(CLIENT.0, CLIENT.1);
        let listen = self.introspection.to_string();
        let args =
            ["introspection", "--listen", &listen, "--authorization", &authorization, "--delay-ms", &delay];
        let mut process =
            Process::start(&self.program, "introspection", &args, &self.dir.join("standins.log"))?;
        process.address()?;
        self.state().introspection = Some(process);
        Ok(())
    }

    /// Kills it.
    pub fn kill_introspection(&self) {
        let process = self.state().introspection.take();
        if let Some(mut process) = process {
            process.kill();
        }
    }

    /// Turns its knobs.
    pub async fn control_introspection(&self, control: &Control) {
        self.control(self.introspection, control).await;
    }
}
