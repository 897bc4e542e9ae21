//! Client-side rate limits: a token bucket, and two policies that adjust its rate.
//!
//! [`AssignedRate`] uses the rate that the admission plan assigned to this controller. [`AdaptiveRate`] adapts its rate
//! where no plan divides the limit. Both are without I/O and take the current time as an argument.

use crate::types::Millis;

/// Minimum capacity of a bucket, in tokens. A bucket with a rate below one token per second could otherwise never pass
/// a single call.
const MIN_CAPACITY: f64 = 1.0;
/// Shortage of tokens that is ignored, so that rounding errors of the refill do not delay a call.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// A token bucket whose capacity is one second of its rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Rate of the refill, in tokens per second.
    rate: f64,
    /// Tokens at `refilled_at`; negative after a call that took more tokens than there were.
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second.
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

    /// Returns how long until `amount` tokens may be taken; zero if they may be taken now. An amount above the capacity
    /// may be taken once the bucket is full. Takes no tokens itself.
    pub fn time_until_available(&mut self, amount: f64, now: Millis) -> Millis {
        self.refill(now);
        let missing = amount.min(self.rate.max(MIN_CAPACITY)) - self.level;
        if missing <= TOKEN_TOLERANCE {
            Millis(0)
        } else {
            Millis((missing / self.rate * 1000.0).ceil() as u64)
        }
    }

    /// Takes `amount` tokens, even if there are fewer: then the level becomes negative, and later callers wait longer.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Empties the bucket, since the service rejected a call that the bucket let pass.
    pub fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }
}

/// Minimum assigned rate, in tokens per second: with a rate of zero no call would ever pass.
const MIN_ASSIGNED_RATE: f64 = 0.1;
/// Minimum fraction of the assigned rate that is used, however often the service rejects calls; enough to notice when
/// the service accepts calls again.
const MIN_FRACTION: f64 = 0.2;
/// Increase of the used fraction for each `INCREASE_INTERVAL` without a rejection.
const FRACTION_INCREASE: f64 = 0.04;
/// Factor by which a rejection reduces the used fraction.
const FRACTION_DECREASE: f64 = 0.8;
/// Time between two increases of a rate.
const INCREASE_INTERVAL: Millis = Millis(500);
/// Time after a decrease during which further rejections do not decrease the rate again, since several calls in flight
/// are rejected for the same excess.
const DECREASE_INTERVAL: Millis = Millis(300);

/// A rate limit with the rate that the admission plan assigns to this controller. If the service rejects calls all the
/// same, its limit is lower than configured or is also used by others. Then only a fraction of the assigned rate is
/// used, which grows again while no call is rejected.
#[derive(Clone, Debug)]
pub struct AssignedRate {
    /// The bucket that paces the calls.
    pub bucket: TokenBucket,
    /// The assigned rate, in tokens per second.
    assigned_rate: f64,
    /// The fraction of the assigned rate that is used.
    used_fraction: f64,
    /// When the fraction last changed; after a decrease, `DECREASE_INTERVAL` later than that.
    adjusted_at: Millis,
}

impl AssignedRate {
    /// Creates a limit that uses the whole assigned rate, in tokens per second.
    pub fn new(assigned_rate: f64, now: Millis) -> Self {
        Self {
            bucket: TokenBucket::new(assigned_rate, now),
            assigned_rate,
            used_fraction: 1.0,
            adjusted_at: now,
        }
    }

    fn update_rate(&mut self, now: Millis) {
        self.bucket.refill(now);
        self.bucket.rate = self.assigned_rate * self.used_fraction;
    }

    /// Sets the assigned rate, in tokens per second.
    pub fn assign(&mut self, rate: f64, now: Millis) {
        self.assigned_rate = rate.max(MIN_ASSIGNED_RATE);
        self.update_rate(now);
    }

    /// Increases the used fraction if its last change is long enough ago. To be called before each
    /// [`TokenBucket::time_until_available`].
    pub fn increase(&mut self, now: Millis) {
        if self.used_fraction < 1.0 && now.since(self.adjusted_at) >= INCREASE_INTERVAL {
            self.adjusted_at = now;
            self.used_fraction = (self.used_fraction + FRACTION_INCREASE).min(1.0);
            self.update_rate(now);
        }
    }

    /// Reduces the rate after the service rejected a call because its limit is exceeded.
    pub fn on_rejection(&mut self, now: Millis) {
        self.bucket.refill(now);
        self.bucket.drain();
        if self.adjusted_at <= now {
            self.used_fraction = (self.used_fraction * FRACTION_DECREASE).max(MIN_FRACTION);
            self.adjusted_at = now + DECREASE_INTERVAL;
            self.update_rate(now);
        }
    }
}

/// Maximum rate of one controller, as a fraction of the whole limit: the other controllers must be able to get calls
/// through before this one reacts to them.
const MAX_FRACTION_OF_LIMIT: f64 = 0.9;
/// Number of increases by which the rate grows by one equal share.
const INCREASES_PER_EQUAL_SHARE: f64 = 8.0;
/// Factor by which a rejection reduces the rate.
const RATE_DECREASE: f64 = 0.7;
/// Minimum rate, as a fraction of the equal share: several rejections in a row must not stop the controller.
const MIN_FRACTION_OF_EQUAL_SHARE: f64 = 0.5;

/// A rate limit for a service whose limit no plan divides among the controllers. The controllers do not know each
/// other's demand, so the rate grows in steps while no call is rejected, and falls by a factor when one is (additive
/// increase, multiplicative decrease).
#[derive(Clone, Debug)]
pub struct AdaptiveRate {
    /// The bucket that paces the calls.
    pub bucket: TokenBucket,
    /// The limit divided by the number of controllers, in tokens per second.
    equal_share: f64,
    max_rate: f64,
    /// When the rate last changed; after a decrease, `DECREASE_INTERVAL` later than that.
    adjusted_at: Millis,
}

impl AdaptiveRate {
    /// Creates a limit whose initial rate is an equal share of `limit`, in tokens per second for all `controllers`
    /// together.
    pub fn new(limit: f64, controllers: usize, now: Millis) -> Self {
        let equal_share = limit / controllers.max(1) as f64;
        let max_rate = limit * MAX_FRACTION_OF_LIMIT;
        Self {
            bucket: TokenBucket::new(equal_share.min(max_rate), now),
            equal_share,
            max_rate,
            adjusted_at: now,
        }
    }

    /// Increases the rate if its last change is long enough ago. To be called before each
    /// [`TokenBucket::time_until_available`].
    pub fn increase(&mut self, now: Millis) {
        if now.since(self.adjusted_at) >= INCREASE_INTERVAL {
            self.adjusted_at = now;
            self.bucket.refill(now);
            let step = self.equal_share / INCREASES_PER_EQUAL_SHARE;
            self.bucket.rate = (self.bucket.rate + step).min(self.max_rate);
        }
    }

    /// Reduces the rate after the service rejected a call because its limit is exceeded.
    pub fn on_rejection(&mut self, now: Millis) {
        self.bucket.refill(now);
        self.bucket.drain();
        if self.adjusted_at <= now {
            let min_rate = self.equal_share * MIN_FRACTION_OF_EQUAL_SHARE;
            self.bucket.rate = (self.bucket.rate * RATE_DECREASE).max(min_rate);
            self.adjusted_at = now + DECREASE_INTERVAL;
        }
    }
}

#[cfg(test)]
mod tests;
