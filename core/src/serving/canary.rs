//! Rolling a new version of a service out, and back if it answers badly.

use super::answers::{AnswerCounts, FleetEvidence, LatencySums, RouteEvidence};
use super::canary_policy::CanaryPolicy;
use super::exposure::{ExposureBudget, SendCounts};
use crate::ids::{Millis, PerMille, VersionName};
use crate::rollout::{SequentialTest, Tally, TestVerdict};

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The version to move to.
    pub target: VersionName,
    /// Time from the order until it should be done.
    pub window: Millis,
}

/// Which version a request goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arm {
    /// The version in service.
    Current,
    /// The version that is rolled out.
    Target,
}

/// What binds a request to a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Affinity {
    /// Nothing: it belongs to no session.
    None,
    /// Its session, of which this gateway knows nothing.
    UnknownSession,
    /// The version that it, or a request of its session, was sent to.
    Bound(Arm),
}

/// Which version a request goes to, as far as one gateway can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArmChoice {
    /// This one.
    Arm(Arm),
    /// The target if its session has moved there, else the version in service; the session's keepers know.
    AskKeepers,
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// A small share is tried.
    Trial,
    /// The share grows.
    Ramp,
    /// All new requests go to the target; old ones end.
    Full,
    /// The version in service is the target, and the old one may stop.
    Done,
    /// The target gets nothing.
    RolledBack,
}

/// How old an order is, when it is read from a feed that shows no times.
///
/// Both bounds are needed. Were the order taken for older than it is, all of the traffic would go to the
/// target too early, and a version that never shows its fault would get more than it may: with the mean
/// of both bounds, 461 requests of 2,669 in place of 430. Taken for younger, a good one would be done
/// after its deadline.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderAge {
    /// Time since the read that brought it: more traffic waits by this.
    pub min: Millis,
    /// Time since the feed was last known without it: the end comes by this.
    pub max: Millis,
    /// Whether it stood in the feed when this gateway started, so that it may be of any age.
    pub is_unknown: bool,
}

/// One roll-out as a gateway sees it.
#[derive(Clone, Debug)]
pub struct Canary {
    policy: CanaryPolicy,
    order: RolloutOrder,
    /// Whether an operator has given the order.
    is_announced: bool,
    /// The latest time at which the order may have been given.
    latest_order: Millis,
    /// The earliest one.
    earliest_order: Millis,
    /// Whether this gateway, or one that told it, has seen the order come.
    is_age_known: bool,
    phase: Phase,
    budget: ExposureBudget,
    /// When full traffic began, and the target's answers until then.
    full_since: Option<(Millis, AnswerCounts)>,
}

/// Time for which a version that no order names is tried before it has its part of all requests.
const UNANNOUNCED_TRIAL: Millis = Millis(20_000);

/// How long all requests must have gone to the target before old ones count as ended: gateways
/// hear of each other's counts twice a second.
const MIN_FULL_TRAFFIC: Millis = Millis(900);

/// How long before the deadline the old version is given up at the latest, by the greatest age that the
/// order may have: gateways look at a roll-out each 0.2 s, wait 0.15 s for each other at most, and the word takes
/// 0.1 s to be written.
const RETIRE_MARGIN: Millis = Millis(500);

/// Level at which more failures than usual keep the old version from being given up: one good version
/// in four waits a few seconds longer, and a bad one that is just short of proof is not let through.
const ELEVATED_ALPHA: f64 = 0.25;

/// Difference of the logarithms up to which a few answers are not slow: 1.4 times as long. Half of the
/// answers at eight times the usual time make a difference of one.
const MAX_CLEAN_LOG_SLOWDOWN: f64 = 0.35;

/// Part of the window before which no session may move to the target.
const SESSION_MOVES_FROM: PerMille = PerMille(500);

/// How much older another gateway may take the order to be: each hears the others' ages once a second or more, and the
/// message that was on its way for the shortest time counts.
const MAX_AGE_SKEW: Millis = Millis(200);

/// Servers without which there is no load trial: one that fails by itself would be all of them.
const MIN_LOAD_TRIAL_SERVERS: usize = 2;

/// Answers below which one half of the target's servers is passed over, once there are some of the other.
const MIN_HALF_ANSWERS: u64 = 4;

/// Answers of the target after which a half with hardly any is taken to have no servers.
const MIN_ANSWERS_BESIDE_EMPTY_HALF: u64 = 20;

/// Answers of the version in service below which its share of bad ones says little.
const MIN_CURRENT_ANSWERS: u64 = 20;

impl Canary {
    /// Begins a roll-out; `draw` is a random number.
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

    /// Begins the trial of a version that no order names; `draw` is a random number.
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

    /// Returns whether an operator has given the order.
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

    /// Returns the least time that has passed since the order.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.latest_order)
    }

    /// Returns whether this gateway, or one that told it, has seen the order come.
    pub fn is_age_known(&self) -> bool {
        self.is_age_known
    }

    /// Learns from another gateway that the order is at least so old, and whether that one knows its age.
    pub fn merge_age(&mut self, elapsed: Millis, is_age_known: bool, now: Millis) {
        self.is_age_known |= is_age_known;
        self.latest_order = self.latest_order.min(Millis(now.0.saturating_sub(elapsed.0)));
        self.earliest_order = self.earliest_order.min(self.latest_order);
    }

    /// Ends the roll-out as another gateway wrote it.
    pub fn end(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Looks at what is known and moves on; returns the phase.
    ///
    /// A bad version is rolled back from every phase but the last: a version may turn bad late, or
    /// only under the load of the last phase.
    pub fn step(&mut self, shared: &FleetEvidence, now: Millis) -> Phase {
        self.phase = match self.phase {
            Phase::Done | Phase::RolledBack => self.phase,
            _ if self.has_regressed(shared, now) => Phase::RolledBack,
            // The old version stays, and the servers of this one may be few: there is no moment of full traffic.
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

    /// Returns the share of sessions that goes to the target. It never falls, so that a session that a gateway draws
    /// for the target is drawn for it by all others from then on.
    fn session_share(&self, now: Millis) -> PerMille {
        match self.phase {
            Phase::Trial if self.elapsed(now) >= self.sessions_move_from() => {
                self.policy.session_trial_share
            }
            Phase::Trial => PerMille(0),
            _ => self.share(),
        }
    }

    /// Returns the greatest share of sessions that another gateway may send to the target by now.
    fn session_share_elsewhere(&self, now: Millis) -> PerMille {
        let elapsed = self.elapsed(now).after(MAX_AGE_SKEW);
        match () {
            () if elapsed >= self.full_traffic_age() => PerMille(1000),
            () if elapsed >= self.part_of_window(self.policy.trial_until) => self.policy.ramp_share,
            () if elapsed >= self.sessions_move_from() => self.policy.session_trial_share,
            () => PerMille(0),
        }
    }

    /// Returns how many of the target's servers should get its requests; `None` if all should.
    ///
    /// A version that fails under load shows nothing while its few requests are spread over as many servers as the version
    /// in service has: it comes into service and fails in the first burst, with no other left. So a few servers get them, as
    /// many requests each as in a burst.
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

    /// Returns the least age of the order at which sessions move. All other gateways know then that the first half is over.
    fn sessions_move_from(&self) -> Millis {
        self.part_of_window(SESSION_MOVES_FROM).after(MAX_AGE_SKEW)
    }

    /// Chooses the version for a request; `draw` is a hash of its session, the same on all gateways, or of itself.
    ///
    /// The requests of a session reach any gateway, and most reach one that has not served the session before. So in
    /// the first half of a roll-out no session is moved, and in the second half the draw alone decides who is. Where this
    /// gateway has spent its part of the allowed exposure, takes the order for younger than others may, or has just started
    /// and does not know which half it is, sessions that have moved already must be told apart from others, which only
    /// their keepers can. After a roll-back sessions must leave the target.
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

    /// Counts a send of a request that has `reached` a version before; returns what it has reached then.
    /// One that was ever sent to the target counts as the target's.
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

    /// Returns the time until the deadline, at most.
    fn time_left(&self, now: Millis) -> Millis {
        self.order.window.since(self.elapsed(now))
    }

    /// Says whether the bound on the exposure leaves one more request for the target.
    fn may_expose(&self, now: Millis) -> bool {
        let reserved_time = match self.phase {
            Phase::Full => self.time_left(now).min(self.order.window.since(self.retire_age())),
            _ => Millis(0),
        };
        self.time_left(now) == Millis(0) || self.budget.may_send(reserved_time, now)
    }

    /// Returns what this gateway has sent since the order.
    pub fn counts(&self, now: Millis) -> SendCounts {
        self.budget.counts(now)
    }

    /// Says whether the old version may be given up as far as the bound on the exposure goes: until the
    /// deadline, everything goes to the target then.
    ///
    /// All gateways together are asked. With each asking itself, the one of 28 that had the fewest requests in the
    /// last moments gave it up in a burst that it had not seen, and 1,376 of 8,460 requests went to the
    /// target where 1,299 are allowed (core/tests/exposure.rs).
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

    /// Returns the least age of the order at which the old version is given up.
    ///
    /// Both bounds on the age count. By the greatest one alone the end would come so early that the
    /// exposure does not allow it yet; by the least one a good version would be done after its deadline.
    fn retire_age(&self) -> Millis {
        let age_uncertainty = self.latest_order.since(self.earliest_order);
        let latest = self.order.window.since(age_uncertainty).since(RETIRE_MARGIN);
        latest.min(self.part_of_window(self.policy.retire_at))
    }

    /// Returns the least age at which all traffic goes to the target: in time to be judged under it before
    /// the end.
    ///
    /// From the clock alone, with an age known to 1.1 s, full traffic began 0.8 s before the end of the window,
    /// and good versions of fleets of 28 and 103 gateways were done after their deadlines
    /// (core/tests/exposure.rs). What it may bring is bounded by count.
    fn full_traffic_age(&self) -> Millis {
        self.part_of_window(self.policy.ramp_until).min(self.retire_age().since(MIN_FULL_TRAFFIC))
    }

    fn has_min_good(&self, shared: &FleetEvidence) -> bool {
        shared.total().target.good >= self.policy.min_good
    }

    /// Looks at each route and at all together.
    ///
    /// A version may be bad on one route only, and its failures would drown among the answers of
    /// the others: at half of one route's answers in three, it went on into full service.
    fn has_regressed(&self, shared: &FleetEvidence, now: Millis) -> bool {
        let has_route_regressed = |route| self.has_route_regressed(route, now);
        shared.routes.iter().copied().any(has_route_regressed)
            || has_route_regressed(shared.total())
    }

    /// Compares with the version in service: what is wrong with both is not the target's fault. From the load trial on, nor is
    /// what only one half of its servers shows: a few servers get most of its requests then, and one of these that fails by
    /// itself would take a good version with it.
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

    /// Says whether failures are more than usual, though not yet beyond doubt.
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

    /// Says whether a few answers under full traffic show nothing at all against the target.
    fn shows_no_regression(&self, target: AnswerCounts, current: AnswerCounts) -> bool {
        let longer = |target: LatencySums, current: LatencySums| target.mean() - current.mean();
        let longest = longer(target.first_byte, current.first_byte)
            .max(longer(target.event_gap, current.event_gap));
        target.failed <= self.policy.max_clean_failures && longest <= MAX_CLEAN_LOG_SLOWDOWN
    }

    /// Says whether the old version may be given up: the deadline is near, enough was seen of the target under
    /// full traffic, and the exposure allows it. On that word the old servers stop, and nothing can be rolled
    /// back any more.
    fn may_retire_current(&self, shared: &FleetEvidence, now: Millis) -> bool {
        let Some((since, before)) = self.full_since else { return false };
        let span = now.since(since);
        let total = shared.total();
        let counts = total.target.since(before);
        let seen = counts.answers();
        let is_near = self.elapsed(now) >= self.retire_age();
        // What is late already can wait until it is sure: a service of twenty requests a second has a dozen
        // answers under full traffic in the end of a window of ten seconds, and a version that was
        // slow or failed under load went into service, with nothing left to go back to.
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
