//! Staleness of the feeds, in the log and on the metrics page.

use std::rc::Rc;

use redwingfold_core::Millis;

use crate::clock::sleep;
use crate::feeds::Feed;
use crate::gateway::Gateway;

/// Time between two checks.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time between two log lines while the operator's topic stays stale.
const LOG_INTERVAL: Millis = Millis(2_000);

/// Read periods after which the operator's topic is stale. An unloaded gateway reads after two at the latest, and the
/// third is for the read itself.
const STALE_AFTER_PERIODS: u64 = 3;

/// Watches the age of the operator's topic forever, and logs it with the reason while it is stale.
///
/// Callers get 404 both for a configuration that is not in force yet and for one that was never written. These log
/// lines show which hosts are behind, since when and why.
pub async fn watch_orders_age(gw: Rc<Gateway>) {
    let stale_after = Millis(gw.settings.feeds.orders.0 * STALE_AFTER_PERIODS);
    let mut logged_at = Millis(0);
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(age) = gw.orders_age() else { continue };
        let was_stale = logged_at > Millis(0);
        match age > stale_after {
            false if was_stale => {
                logged_at = Millis(0);
                gw.telemetry.info("orders_fresh", &[("age_ms", &age)]);
            }
            false => {}
            true => {
                gw.telemetry.count("orders.old_ms", CHECK_INTERVAL.0 as i64);
                if gw.now().since(logged_at) >= LOG_INTERVAL {
                    logged_at = gw.now();
                    gw.log_stale_orders(age);
                }
            }
        }
    }
}

impl Gateway {
    /// Returns the age of this gateway's copy of the operator's topic; `None` before the first read.
    fn orders_age(&self) -> Option<Millis> {
        let as_of = self.with_feeds(|feeds| feeds.as_of(Feed::Orders))?;
        Some(self.now().since(as_of))
    }

    /// Sets the reason why the last read of the operator's topic failed.
    pub fn set_orders_read_error(&self, why: &str) {
        *self.orders_read_error.borrow_mut() = Some(why.to_owned());
    }

    fn log_stale_orders(&self, age: Millis) {
        let version = self.catalog().map_or(0, |catalog| catalog.version);
        let error = self.orders_read_error.borrow();
        let why = error.as_deref().unwrap_or("a read is in progress");
        self.telemetry.warn(
            "orders_old",
            &[
                ("age_ms", &age),
                ("version", &version),
                ("is_behind", &self.is_behind(Feed::Orders)),
                ("why", &why),
            ],
        );
    }

    /// Exports the age of each feed to the metrics page.
    pub fn export_feed_ages(&self) {
        let feeds = [(Feed::Orders, "orders"), (Feed::Servers, "servers"), (Feed::Marks, "marks")];
        for (feed, name) in feeds {
            if let Some(as_of) = self.with_feeds(|feeds| feeds.as_of(feed)) {
                self.telemetry.gauge(&format!("{name}.age_ms"), self.now().since(as_of).0);
            }
        }
        self.telemetry.gauge("orders.is_behind", u64::from(self.is_behind(Feed::Orders)));
    }
}
