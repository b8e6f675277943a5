//! Canary rollout of a new service version, with automatic rollback if its answers regress.

use super::answers::{AnswerCounts, FleetEvidence, LatencySums, RouteEvidence};
use super::canary_policy::CanaryPolicy;
use super::exposure::{ExposureBudget, SendCounts};
use crate::ids::{Millis, PerMille, VersionName};
use crate::rollout::{SequentialTest, Tally, TestVerdict};

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The version to move to.
    pub target: VersionName,
    /// Time from the order until its deadline.
    pub window: Millis,
}

/// The version that serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arm {
    /// The version in service.
    Current,
    /// The version that is being rolled out.
    Target,
}

/// What ties a request to a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Affinity {
    /// Nothing: the request belongs to no session.
    None,
    /// A session of which this gateway has no entry.
    UnknownSession,
    /// The version to which this request, or an earlier request of its session, was sent.
    Bound(Arm),
}

/// A gateway's routing decision for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArmChoice {
    /// Send the request to this version.
    Arm(Arm),
    /// Ask the gateways that keep the session's entry: the request goes to the target if the
    /// session has moved there, and to the version in service otherwise.
    AskKeepers,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// A small share of the requests goes to the target.
    Trial,
    /// A larger share goes to the target.
    Ramp,
    /// All new requests go to the target; requests in flight on the old version finish there.
    Full,
    /// The target is the version in service, and servers of the old version may stop.
    Done,
    /// The target gets no requests.
    RolledBack,
}

/// Bounds on the age of an order, which is read from a feed without timestamps.
///
/// Both bounds are needed. If the order were taken to be older than it is, all traffic would go to
/// the target too early, and a version whose fault never shows would exceed its exposure; so would
/// it with the mean of both bounds. If it were taken to be younger, a good version would be done
/// after its deadline.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderAge {
    /// Time since the read that returned the order. The share of the target is raised by this age.
    pub min: Millis,
    /// Time since the last read that did not return the order. The rollout ends by this age.
    pub max: Millis,
    /// Whether the order was already in the feed when this gateway started, so that it may be of
    /// any age.
    pub is_unknown: bool,
}

/// State of one rollout at one gateway.
#[derive(Clone, Debug)]
pub struct Canary {
    policy: CanaryPolicy,
    order: RolloutOrder,
    /// Whether an operator ordered the rollout.
    is_announced: bool,
    /// The latest time at which the order may have been given.
    latest_order: Millis,
    /// The earliest time at which the order may have been given.
    earliest_order: Millis,
    /// Whether this gateway, or one that sent it the age, was running when the order appeared.
    is_age_known: bool,
    phase: Phase,
    budget: ExposureBudget,
    /// When full traffic began, and the target's answer counts at that time.
    full_since: Option<(Millis, AnswerCounts)>,
}

/// Duration of the trial of a version that no order names; after it, the version gets its regular
/// share of the requests.
const UNANNOUNCED_TRIAL: Millis = Millis(20_000);

/// Least duration of full traffic before the old version is retired: requests in flight on it
/// finish, and gateways exchange their counts, which they do twice a second.
const MIN_FULL_TRAFFIC: Millis = Millis(900);

/// Time between the latest retirement of the old version and the deadline, by the greatest possible
/// age of the order. Gateways step a rollout every 0.2 s, wait up to 0.15 s for each other, and
/// take 0.1 s to write the status.
const RETIRE_MARGIN: Millis = Millis(500);

/// Significance level of the failure test at which the old version is not yet retired. One good
/// version in four waits a few seconds longer for it; a bad version just short of the rollback
/// level is not put into service.
const ELEVATED_ALPHA: f64 = 0.25;

/// Largest difference of mean log latencies at which a few answers count as not slow (a factor of
/// 1.4). If half of the answers take eight times as long, the difference is about 1.
const MAX_CLEAN_LOG_SLOWDOWN: f64 = 0.35;

/// Part of the window before which no session moves to the target.
const SESSION_MOVES_FROM: PerMille = PerMille(500);

/// How much older another gateway may take the order to be. Gateways receive each other's ages at
/// least once a second, and the largest one counts, which is the one with the shortest transit
/// time.
const MAX_AGE_SKEW: Millis = Millis(200);

/// Fewest servers of a load trial: with a single one, its own failure would look like a fault of
/// the version.
const MIN_LOAD_TRIAL_SERVERS: usize = 2;

/// Answers below which one half of the target's servers counts as empty, if the target has
/// [`MIN_ANSWERS_BESIDE_EMPTY_HALF`].
const MIN_HALF_ANSWERS: u64 = 4;

/// Answers of the target from which a half with next to none is taken to have no servers.
const MIN_ANSWERS_BESIDE_EMPTY_HALF: u64 = 20;

/// Smallest divisor for the failure rate of the version in service: a rate of fewer answers means
/// little.
const MIN_CURRENT_ANSWERS: u64 = 20;

impl Canary {
    /// Starts a rollout; `draw` is a random number.
    pub fn new(
        policy: CanaryPolicy,
        order: RolloutOrder,
        age: OrderAge,
        now: Millis,
        draw: u64,
    ) -> Self {
        let ago = |age: Millis| Millis(now.0.saturating_sub(age.0));
        Self {
            policy,
            order,
            is_announced: true,
            latest_order: ago(age.min),
            earliest_order: ago(age.max),
            is_age_known: !age.is_unknown,
            phase: Phase::Trial,
            budget: ExposureBudget::new(policy.exposure, draw),
            full_since: None,
        }
    }

    /// Starts the trial of a version that no order names; `draw` is a random number.
    ///
    /// ```
    /// use redwingfold_core::{Canary, CanaryPolicy, Millis, Phase, FleetEvidence};
    /// let target = "v2".parse()?;
    /// let mut trial = Canary::unannounced(CanaryPolicy::default(), target, Millis(0), 0);
    /// assert_eq!(trial.step(&FleetEvidence::default(), Millis(60_000)), Phase::Trial);
    /// # Ok::<(), redwingfold_core::ParseIdError>(())
    /// ```
    pub fn unannounced(policy: CanaryPolicy, target: VersionName, now: Millis, draw: u64) -> Self {
        let order = RolloutOrder { target, window: UNANNOUNCED_TRIAL };
        Self { is_announced: false, ..Self::new(policy, order, OrderAge::default(), now, draw) }
    }

    /// Returns whether an operator ordered the rollout.
    pub fn is_announced(&self) -> bool {
        self.is_announced
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the least possible age of the order.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.latest_order)
    }

    /// Returns whether this gateway, or one that sent it the age, was running when the order
    /// appeared.
    pub fn is_age_known(&self) -> bool {
        self.is_age_known
    }

    /// Merges another gateway's age of the order, which is a lower bound; `is_age_known` is that
    /// gateway's [`Canary::is_age_known`].
    pub fn merge_age(&mut self, elapsed: Millis, is_age_known: bool, now: Millis) {
        self.is_age_known |= is_age_known;
        self.latest_order = self.latest_order.min(Millis(now.0.saturating_sub(elapsed.0)));
        self.earliest_order = self.earliest_order.min(self.latest_order);
    }

    /// Ends the rollout in the phase that another gateway wrote to the store.
    pub fn end(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Advances the rollout by the evidence of all gateways, and returns the phase.
    ///
    /// A regression rolls the target back from every phase but the final ones, because a version
    /// may turn bad late, or only under full traffic.
    pub fn step(&mut self, shared: &FleetEvidence, now: Millis) -> Phase {
        self.phase = match self.phase {
            Phase::Done | Phase::RolledBack => self.phase,
            _ if self.has_regressed(shared, now) => Phase::RolledBack,
            // There is no phase of full traffic without an order: the old version stays in service,
            // and the target may have few servers.
            _ if !self.is_announced => self.step_unannounced(shared, now),
            Phase::Trial
                if self.is_past(self.policy.trial_until, now) && self.has_min_good(shared) =>
            {
                Phase::Ramp
            }
            Phase::Ramp if self.elapsed(now) >= self.full_traffic_age() => Phase::Full,
            Phase::Full if self.may_retire_current(shared, now) => Phase::Done,
            phase => phase,
        };
        if self.phase == Phase::Full {
            self.full_since.get_or_insert((now, shared.total().target));
        }
        self.phase
    }

    fn step_unannounced(&self, shared: &FleetEvidence, now: Millis) -> Phase {
        let is_over = self.elapsed(now) >= self.order.window;
        let is_good =
            is_over && self.has_min_good(shared) && !self.is_failure_rate_elevated(shared);
        if is_good { Phase::Done } else { Phase::Trial }
    }

    /// Returns the share of requests without a session that goes to the target.
    pub fn share(&self) -> PerMille {
        match self.phase {
            Phase::Trial => self.policy.trial_share,
            Phase::Ramp => self.policy.ramp_share,
            Phase::Full | Phase::Done => PerMille(1000),
            Phase::RolledBack => PerMille(0),
        }
    }

    /// Returns the share of sessions that goes to the target. It never falls, so that a session
    /// which one gateway has drawn for the target is drawn for it by all other gateways from then
    /// on.
    fn session_share(&self, now: Millis) -> PerMille {
        match self.phase {
            Phase::Trial if self.elapsed(now) >= self.sessions_move_from() => {
                self.policy.session_trial_share
            }
            Phase::Trial => PerMille(0),
            _ => self.share(),
        }
    }

    /// Returns the greatest share of sessions that another gateway may already send to the target.
    fn session_share_elsewhere(&self, now: Millis) -> PerMille {
        let elapsed = self.elapsed(now).after(MAX_AGE_SKEW);
        match () {
            () if elapsed >= self.full_traffic_age() => PerMille(1000),
            () if elapsed >= self.part_of_window(self.policy.trial_until) => self.policy.ramp_share,
            () if elapsed >= self.sessions_move_from() => self.policy.session_trial_share,
            () => PerMille(0),
        }
    }

    /// Returns on how many of the target's servers its requests are concentrated; `None` if all of
    /// them take requests.
    ///
    /// A version that fails under load shows no fault while its small share of requests is spread
    /// over as many servers as the version in service has. It would be put into service and fail in
    /// the first burst, with no other version left. So a few servers get all of its requests, each
    /// as many as in a burst.
    pub fn load_trial(&self, servers: usize, now: Millis) -> Option<usize> {
        let is_load_trial = match self.phase {
            _ if !self.is_announced => false,
            Phase::Trial => self.is_past(SESSION_MOVES_FROM, now),
            Phase::Ramp => true,
            Phase::Full | Phase::Done | Phase::RolledBack => false,
        };
        let share = f64::from(self.policy.session_trial_share.max(self.share()).0) / 1000.0;
        let count = (servers as f64 * share / self.policy.load_trial_factor).ceil() as usize;
        (is_load_trial && (MIN_LOAD_TRIAL_SERVERS..servers).contains(&count)).then_some(count)
    }

    /// Returns the least age of the order from which sessions move. By then, all other gateways are
    /// past the first half of the window as well.
    fn sessions_move_from(&self) -> Millis {
        self.part_of_window(SESSION_MOVES_FROM).after(MAX_AGE_SKEW)
    }

    /// Chooses the version for a request. `draw` is a hash of its session, which is the same on all
    /// gateways, or of the request if it has none.
    ///
    /// Most requests of a session reach a gateway that has not served the session before. So no
    /// session moves in the first half of the window, and in the second half the draw alone decides
    /// which sessions move. This gateway must query the gateways that keep the session's entry
    /// whether the session has moved in three cases: it has used up its exposure budget, it may have
    /// recorded a lower age of the order than others, or it has just started and has no age of the
    /// order. After a rollback, sessions return to the version in service.
    pub fn choose_arm(&self, affinity: Affinity, draw: u64, now: Millis) -> ArmChoice {
        let is_half_over = self.is_past(SESSION_MOVES_FROM, now);
        let share = match affinity {
            Affinity::None => self.share(),
            Affinity::UnknownSession | Affinity::Bound(_) => self.session_share(now),
        };
        let is_within = |share: PerMille| draw % 1000 < u64::from(share.0);
        let is_drawn = is_within(share);
        match (self.phase, affinity) {
            (Phase::RolledBack, _) => ArmChoice::Arm(Arm::Current),
            (Phase::Done, _) | (_, Affinity::Bound(Arm::Target)) => ArmChoice::Arm(Arm::Target),
            (_, Affinity::UnknownSession) if !self.is_age_known => ArmChoice::AskKeepers,
            (_, Affinity::Bound(Arm::Current) | Affinity::UnknownSession) if !is_half_over => {
                ArmChoice::Arm(Arm::Current)
            }
            _ if is_drawn && self.may_expose(now) => ArmChoice::Arm(Arm::Target),
            (_, Affinity::UnknownSession)
                if is_drawn || is_within(self.session_share_elsewhere(now)) =>
            {
                ArmChoice::AskKeepers
            }
            _ => ArmChoice::Arm(Arm::Current),
        }
    }

    /// Counts a send of a request that was previously sent to `reached`, and returns the version
    /// that the request counts for. A request that was ever sent to the target counts for the
    /// target.
    pub fn record_send(&mut self, reached: Option<Arm>, arm: Arm, now: Millis) -> Arm {
        if reached.is_none() {
            self.budget.record_request(now);
        }
        match (reached, arm) {
            (Some(Arm::Target), _) => Arm::Target,
            (_, Arm::Target) => {
                self.budget.record_target_request();
                Arm::Target
            }
            (_, Arm::Current) => Arm::Current,
        }
    }

    /// Returns the greatest possible time until the deadline.
    fn time_left(&self, now: Millis) -> Millis {
        self.order.window.since(self.elapsed(now))
    }

    /// Returns whether the exposure budget allows one more request for the target.
    fn may_expose(&self, now: Millis) -> bool {
        let reserved_time = match self.phase {
            Phase::Full => self.time_left(now).min(self.order.window.since(self.retire_age())),
            _ => Millis(0),
        };
        self.time_left(now) == Millis(0) || self.budget.may_send(reserved_time, now)
    }

    /// Returns the send counts of this gateway since the order.
    pub fn counts(&self, now: Millis) -> SendCounts {
        self.budget.counts(now)
    }

    /// Returns whether the exposure allows the old version to be retired: from then on until the
    /// deadline, all requests go to the target.
    ///
    /// The counts of all gateways are added up for this. When each gateway checked its own counts,
    /// the one with the fewest recent requests retired the old version during a burst that had not
    /// reached it, and the fleet exceeded the exposure.
    fn allows_full_traffic(&self, sent: SendCounts, now: Millis) -> bool {
        let left = self.time_left(now);
        left == Millis(0) || sent.allows_full_traffic(left, self.policy.exposure)
    }

    fn is_past(&self, part: PerMille, now: Millis) -> bool {
        self.elapsed(now) >= self.part_of_window(part)
    }

    fn part_of_window(&self, part: PerMille) -> Millis {
        Millis(self.order.window.0 * u64::from(part.0) / 1000)
    }

    /// Returns the least age of the order at which the old version is retired.
    ///
    /// Both bounds on the age count. By the greatest age alone, the old version would be retired
    /// before the exposure allows it; by the least age alone, a good version would be done after
    /// its deadline.
    fn retire_age(&self) -> Millis {
        let age_uncertainty = self.latest_order.since(self.earliest_order);
        let latest = self.order.window.since(age_uncertainty).since(RETIRE_MARGIN);
        latest.min(self.part_of_window(self.policy.retire_at))
    }

    /// Returns the least age of the order at which all traffic goes to the target, early enough to
    /// judge the target under full traffic before the old version is retired.
    ///
    /// When full traffic began at a fixed part of the window and the age of the order was uncertain
    /// by 1.1 s, good versions of large fleets were done after their deadlines. The exposure of an
    /// earlier start is limited by the counted budget.
    fn full_traffic_age(&self) -> Millis {
        self.part_of_window(self.policy.ramp_until).min(self.retire_age().since(MIN_FULL_TRAFFIC))
    }

    fn has_min_good(&self, shared: &FleetEvidence) -> bool {
        shared.total().target.good >= self.policy.min_good
    }

    /// Returns whether the target is worse than the version in service, on any route or on all
    /// routes together.
    ///
    /// A version may be bad on one route only. Its failures would be too few among the answers of
    /// all routes, and it would be put into service.
    fn has_regressed(&self, shared: &FleetEvidence, now: Millis) -> bool {
        let has_route_regressed = |route| self.has_route_regressed(route, now);
        shared.routes.iter().copied().any(has_route_regressed)
            || has_route_regressed(shared.total())
    }

    /// Returns whether the target fails more often or is slower than the version in service, with
    /// which it is compared because a fault of both is not a regression.
    ///
    /// From the load trial on, both halves of the target's servers must show the fault. A few
    /// servers get most of the target's requests then, and one that fails by itself would cause the
    /// rollback of a good version.
    fn has_route_regressed(&self, route: RouteEvidence, now: Millis) -> bool {
        let RouteEvidence { target, current } = route;
        let base_allowed = self.policy.allowed_failures;
        let fails = |counts: AnswerCounts, alpha| {
            self.exceeds_failure_rate(counts.tally(), current.tally(), base_allowed, alpha)
        };
        let has_load_trial = self.is_announced && self.is_past(SESSION_MOVES_FROM, now);
        let is_empty = |half: AnswerCounts| {
            half.answers() < MIN_HALF_ANSWERS && target.answers() >= MIN_ANSWERS_BESIDE_EMPTY_HALF
        };
        let in_both = |shows: &dyn Fn(AnswerCounts) -> bool| {
            !has_load_trial || target.halves().into_iter().all(|half| is_empty(half) || shows(half))
        };
        let is_failing =
            fails(target, self.policy.alpha) && in_both(&|half| fails(half, ELEVATED_ALPHA));
        let is_slow = target.is_slower(current) && in_both(&|half| half.has_longer_mean(current));
        is_failing || is_slow
    }

    /// Returns whether any route has more failures than usual, at a level at which a rollback would
    /// be too early.
    fn is_failure_rate_elevated(&self, shared: &FleetEvidence) -> bool {
        let base_allowed = self.policy.allowed_failures;
        let is_failure_rate_elevated = |route: &RouteEvidence| {
            self.exceeds_failure_rate(
                route.target.tally(),
                route.current.tally(),
                base_allowed,
                ELEVATED_ALPHA,
            )
        };
        shared.routes.iter().any(is_failure_rate_elevated)
    }

    fn exceeds_failure_rate(
        &self,
        target: Tally,
        current: Tally,
        base_allowed: PerMille,
        alpha: f64,
    ) -> bool {
        let usual = current.bad * 1000 / current.rated().max(MIN_CURRENT_ANSWERS);
        let allowed = base_allowed.0.max((usual * 2).min(900) as u16);
        let test = SequentialTest::new(PerMille(allowed), alpha);
        test.verdict(target) == TestVerdict::Stop
    }

    /// Returns whether the few answers under full traffic have neither failures nor a higher
    /// latency that could point to a regression.
    fn shows_no_regression(&self, target: AnswerCounts, current: AnswerCounts) -> bool {
        let longer = |target: LatencySums, current: LatencySums| target.mean() - current.mean();
        let longest = longer(target.first_byte, current.first_byte)
            .max(longer(target.event_gap, current.event_gap));
        target.failed <= self.policy.max_clean_failures && longest <= MAX_CLEAN_LOG_SLOWDOWN
    }

    /// Returns whether the old version may be retired: the deadline is near, the target has
    /// answered enough requests under full traffic, and the exposure allows it. The old servers
    /// stop after this decision, so that no rollback is possible any more.
    fn may_retire_current(&self, shared: &FleetEvidence, now: Millis) -> bool {
        let Some((since, before)) = self.full_since else { return false };
        let span = now.since(since);
        let total = shared.total();
        let counts = total.target.since(before);
        let seen = counts.answers();
        let is_near = self.elapsed(now) >= self.retire_age();
        // After the deadline, the decision waits for more evidence. A service of 20 requests a
        // second has a dozen answers under full traffic at the end of a 10 s window; on these,
        // versions that were slow or failed under load were put into service, with no version left
        // to roll back to.
        let (enough, longest) = match self.time_left(now) {
            Millis(0) => (self.policy.min_overdue_answers, self.policy.max_overdue_wait),
            _ if self.shows_no_regression(counts, total.current) => {
                (self.policy.min_clean_answers, self.policy.max_full_wait)
            }
            _ => (self.policy.min_full_answers, self.policy.max_full_wait),
        };
        let is_enough = seen >= enough && !self.is_failure_rate_elevated(shared);
        let is_seen = is_enough || span >= longest;
        span >= MIN_FULL_TRAFFIC && is_near && is_seen && self.allows_full_traffic(shared.sent, now)
    }
}
