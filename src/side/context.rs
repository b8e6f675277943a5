//! State shared by the tasks of a side.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use redwingfold_core::{ByteBudget, CallTable, ErrorKind, PinTable};

use super::backend::Backend;
use crate::billing::BillOutbox;
use crate::daemon::Daemon;
use crate::peer::Link;
use crate::settings::SideSettings;

/// Memory limit for the stored response bodies of calls that must not be run twice.
const MAX_CALL_BODY_BYTES: usize = 64 * 1024 * 1024;

/// State shared by the tasks of a side.
#[derive(Debug)]
pub(crate) struct Side {
    pub(crate) daemon: Daemon,
    pub(crate) settings: SideSettings,
    pub(crate) backends: BTreeMap<String, Arc<Backend>>,
    pub(crate) pins: Mutex<PinTable>,
    pub(crate) calls: Mutex<CallTable>,
    pub(crate) bills: BillOutbox,
    pub(crate) report_budget: Mutex<ByteBudget>,
    is_leaving: AtomicBool,
    running_count: AtomicUsize,
    links: Mutex<Vec<Weak<Link>>>,
}

/// Counts as a run in progress until it is dropped.
pub(crate) struct RunGuard<'a>(&'a AtomicUsize);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Side {
    pub(crate) fn new(daemon: Daemon, settings: SideSettings) -> Self {
        let backends = settings.backends.iter();
        let limits = &settings.queue;
        Self {
            backends: backends
                .map(|backend| {
                    (
                        backend.name.clone(),
                        Arc::new(Backend::new(backend.clone(), limits, daemon.clock)),
                    )
                })
                .collect(),
            pins: Mutex::new(PinTable::new(settings.max_pins)),
            calls: Mutex::new(CallTable::new(
                daemon.incarnation,
                limits.max_remembered_calls,
                MAX_CALL_BODY_BYTES,
            )),
            bills: BillOutbox::new(settings.batch.clone()),
            report_budget: Mutex::new(ByteBudget::new(
                settings.heartbeat.report_bytes_per_second,
                daemon.now(),
            )),
            is_leaving: AtomicBool::new(false),
            running_count: AtomicUsize::new(0),
            links: Mutex::default(),
            daemon,
            settings,
        }
    }

    pub(crate) fn pins(&self) -> std::sync::MutexGuard<'_, PinTable> {
        self.pins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn calls(&self) -> std::sync::MutexGuard<'_, CallTable> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Counts a run in progress.
    ///
    /// The counter is incremented before the flag is read, and the shutdown sets the flag before it
    /// reads the counter. In either order, a run is rejected or the shutdown waits for it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Stopping`] if the process is shutting down.
    pub(crate) fn begin_run(&self) -> Result<RunGuard<'_>, ErrorKind> {
        self.running_count.fetch_add(1, Ordering::SeqCst);
        let guard = RunGuard(&self.running_count);
        if self.is_leaving() { Err(ErrorKind::Stopping) } else { Ok(guard) }
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running_count.load(Ordering::SeqCst)
    }

    pub(crate) fn add_link(&self, link: &Arc<Link>) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|link| link.strong_count() > 0);
        links.push(Arc::downgrade(link));
    }

    pub(crate) fn links(&self) -> Vec<Arc<Link>> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.iter().filter_map(Weak::upgrade).collect()
    }

    /// Rejects new runs from now on.
    pub(crate) fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }
}
