//! How old a gateway's knowledge of the operator's topic is, in the log and on the metrics page.

use std::rc::Rc;

use redwingfold_core::Millis;

use crate::clock::sleep;
use crate::feeds::Feed;
use crate::gateway::Gateway;

/// Time between looks.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time between lines while it stays old.
const LOG_INTERVAL: Millis = Millis(2_000);

/// Periods of reads after which it is old: a calm gateway reads after two, and the third is for the read.
const STALE_AFTER_PERIODS: u64 = 3;

/// Watches the age for ever, and says how old it is and why while it is old.
///
/// A configuration that is not in force cannot be told from one that was never written by what callers see:
/// 404 either way. These lines tell on which hosts, since when, and what keeps them.
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
    /// Returns for how long nothing has been known of the operator's topic; `None` before the first time.
    fn orders_age(&self) -> Option<Millis> {
        let as_of = self.with_feeds(|feeds| feeds.as_of(Feed::Orders))?;
        Some(self.now().since(as_of))
    }

    /// Notes why the operator's topic could not be read.
    pub fn set_orders_read_error(&self, why: &str) {
        *self.orders_read_error.borrow_mut() = Some(why.to_owned());
    }

    fn log_stale_orders(&self, age: Millis) {
        let version = self.catalog().map_or(0, |catalog| catalog.version);
        let error = self.orders_read_error.borrow();
        let why = error.as_deref().unwrap_or("a read is under way");
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

    /// Shows on the metrics page how old is what the gateway knows of each feed.
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
