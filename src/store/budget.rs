//! Client-side rate limits: a token bucket, and two policies that adjust its rate.
//!
//! [`Allowance`] uses a rate that the admission plan assigned to this controller; [`AdaptiveShare`] finds its rate
//! by itself where no plan divides the limit. Both are free of I/O and take the time as an argument.

use crate::types::Millis;

/// Capacity of a bucket, in tokens, even if its rate is below one token a second: otherwise a single call
/// would never pass.
const MIN_CAPACITY: f64 = 1.0;
/// Tokens that may be missing for a call to pass: rounding errors of the refill must not delay it.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// A token bucket that holds one second's worth of its rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens now; negative after a call that took more than there were.
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens a second.
    pub fn new(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            level: rate.max(MIN_CAPACITY),
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled_at).secs() * self.rate;
        self.level = (self.level + gained).min(self.rate.max(MIN_CAPACITY));
        self.refilled_at = now;
    }

    /// How long until `amount` may be taken; zero if it may be now. An amount above the capacity may be
    /// taken once the bucket is full.
    pub fn time_until_available(&mut self, amount: f64, now: Millis) -> Millis {
        self.refill(now);
        let missing = amount.min(self.rate.max(MIN_CAPACITY)) - self.level;
        if missing <= TOKEN_TOLERANCE {
            Millis(0)
        } else {
            Millis((missing / self.rate * 1000.0).ceil() as u64)
        }
    }

    /// Takes `amount` tokens, whether they are there or not: a later caller waits the longer.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Empties the bucket, since the service rejected a call that the bucket let pass.
    pub fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }
}

/// Least rate that a plan can assign, in tokens a second: at zero no call would ever pass.
const MIN_ALLOWED_RATE: f64 = 0.1;
/// Least fraction of the assigned rate that is used however often the service rejects calls: enough to notice
/// that it accepts them again.
const MIN_FRACTION: f64 = 0.2;
/// Added to the fraction for each `INCREASE_INTERVAL` without a rejection.
const FRACTION_INCREASE: f64 = 0.04;
/// Factor on the fraction for each rejection.
const FRACTION_DECREASE: f64 = 0.8;
/// Time between two increases of a rate.
const INCREASE_INTERVAL: Millis = Millis(500);
/// Time after a decrease in which the rate stays: several calls in flight meet the same excess.
const DECREASE_INTERVAL: Millis = Millis(300);

/// The rate that the admission plan assigns to this controller. If the service rejects calls all the same, its
/// limit is lower than configured or has another user: then only a fraction of the assigned rate is used, which
/// grows again while nothing is rejected.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// What paces the calls.
    pub bucket: TokenBucket,
    /// Assigned rate, in tokens a second.
    allowed: f64,
    /// Fraction of the assigned rate that is used.
    fraction: f64,
    /// When the fraction changed last; after a decrease in the future, by `DECREASE_INTERVAL`.
    adjusted_at: Millis,
}

impl Allowance {
    /// Starts with the whole of the `allowed` rate, in tokens a second.
    pub fn new(allowed: f64, now: Millis) -> Self {
        Self {
            bucket: TokenBucket::new(allowed, now),
            allowed,
            fraction: 1.0,
            adjusted_at: now,
        }
    }

    fn update_rate(&mut self, now: Millis) {
        self.bucket.refill(now);
        self.bucket.rate = self.allowed * self.fraction;
    }

    /// The plan assigns another rate, in tokens a second.
    pub fn allow(&mut self, allowed: f64, now: Millis) {
        self.allowed = allowed.max(MIN_ALLOWED_RATE);
        self.update_rate(now);
    }

    /// Increases the fraction if it is time to; called before [`TokenBucket::time_until_available`].
    pub fn increase(&mut self, now: Millis) {
        if self.fraction < 1.0 && now.since(self.adjusted_at) >= INCREASE_INTERVAL {
            self.adjusted_at = now;
            self.fraction = (self.fraction + FRACTION_INCREASE).min(1.0);
            self.update_rate(now);
        }
    }

    /// The service rejected a call because its limit is exceeded.
    pub fn on_rejection(&mut self, now: Millis) {
        self.bucket.refill(now);
        self.bucket.drain();
        if self.adjusted_at <= now {
            self.fraction = (self.fraction * FRACTION_DECREASE).max(MIN_FRACTION);
            self.adjusted_at = now + DECREASE_INTERVAL;
            self.update_rate(now);
        }
    }
}

/// Largest fraction of the whole limit that one controller uses: the others must be able to get a call through
/// before it reacts to them.
const MAX_SHARE: f64 = 0.9;
/// Steps in which the rate grows by one equal share.
const INCREASES_PER_EQUAL_SHARE: f64 = 8.0;
/// Factor on the rate for each rejection.
const RATE_DECREASE: f64 = 0.7;
/// Least rate, as a fraction of the equal share: several rejections in a row must not stop the controller.
const MIN_OF_EQUAL_SHARE: f64 = 0.5;

/// This controller's share of a limit that no plan divides. The controllers do not know each other's demand: the
/// rate grows by steps while no call is rejected, and falls by a factor when one is (additive increase,
/// multiplicative decrease).
#[derive(Clone, Debug)]
pub struct AdaptiveShare {
    /// What paces the calls.
    pub bucket: TokenBucket,
    /// The limit divided by the number of controllers, in tokens a second.
    equal_share: f64,
    max_rate: f64,
    /// When the rate changed last; after a decrease in the future, by `DECREASE_INTERVAL`.
    adjusted_at: Millis,
}

impl AdaptiveShare {
    /// Starts with an equal share of `limit`, in tokens a second for all `controllers` together.
    pub fn new(limit: f64, controllers: usize, now: Millis) -> Self {
        let equal_share = limit / controllers.max(1) as f64;
        let max_rate = limit * MAX_SHARE;
        Self {
            bucket: TokenBucket::new(equal_share.min(max_rate), now),
            equal_share,
            max_rate,
            adjusted_at: now,
        }
    }

    /// Increases the rate if it is time to; called before [`TokenBucket::time_until_available`].
    pub fn increase(&mut self, now: Millis) {
        if now.since(self.adjusted_at) >= INCREASE_INTERVAL {
            self.adjusted_at = now;
            self.bucket.refill(now);
            let step = self.equal_share / INCREASES_PER_EQUAL_SHARE;
            self.bucket.rate = (self.bucket.rate + step).min(self.max_rate);
        }
    }

    /// The service rejected a call because its limit is exceeded.
    pub fn on_rejection(&mut self, now: Millis) {
        self.bucket.refill(now);
        self.bucket.drain();
        if self.adjusted_at <= now {
            let floor = self.equal_share * MIN_OF_EQUAL_SHARE;
            self.bucket.rate = (self.bucket.rate * RATE_DECREASE).max(floor);
            self.adjusted_at = now + DECREASE_INTERVAL;
        }
    }
}

#[cfg(test)]
mod tests;
