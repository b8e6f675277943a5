//! Whether decisions under load follow the estimated capacity of the servers.

use crate::gateway::Gateway;
use crate::metadata::ReportedLoad;

impl Gateway {
    /// Returns whether this deployment has contention: its settings say so, or its servers share their hosts.
    pub(crate) fn has_admission_control(&self) -> bool {
        self.settings.admission_control || self.has_shared_hosts.get()
    }

    /// Records whether the server that reported `load` shares its host.
    pub(crate) fn record_shared_host(&self, load: &ReportedLoad) {
        if load.work_time_percent.is_some() && !self.has_shared_hosts.replace(true) {
            self.telemetry.info("shared_hosts", &[("slots", &load.slots)]);
        }
    }
}
