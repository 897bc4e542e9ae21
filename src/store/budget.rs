//! The budget of requests and changes a second, as two buckets that hold one second's worth.

use crate::types::Millis;

#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    level: f64,
    filled: Millis,
}

impl Bucket {
    pub fn new(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            level: rate.max(1.0),
            filled: now,
        }
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.since(self.filled).secs() * self.rate;
        self.level = (self.level + gained).min(self.rate.max(1.0));
        self.filled = now;
    }

    /// How long until `amount` may be taken; zero if it may be now. More than the bucket holds
    /// may be taken once it is full.
    pub fn wait(&mut self, amount: f64, now: Millis) -> Millis {
        self.fill(now);
        let missing = amount.min(self.rate.max(1.0)) - self.level;
        if missing <= 1e-9 {
            Millis(0)
        } else {
            Millis((missing / self.rate * 1000.0).ceil() as u64)
        }
    }

    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// The other side said that it is empty.
    pub fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }
}

/// The part of a limit that the plan allows this controller. Should the service object all the same,
/// its limit is lower than it was said to be, or somebody else uses it too: then a part of what is
/// allowed is used, more and more again while nobody objects.
#[derive(Clone, Debug)]
pub struct Allowance {
    pub bucket: Bucket,
    allowed: f64,
    part: f64,
    changed: Millis,
}

/// Of what is allowed, the least that is used.
const LEAST_PART: f64 = 0.2;
const PART_GROWS: f64 = 0.04;
const PART_FALLS: f64 = 0.8;

impl Allowance {
    pub fn new(allowed: f64, now: Millis) -> Self {
        Self {
            bucket: Bucket::new(allowed, now),
            allowed,
            part: 1.0,
            changed: now,
        }
    }

    fn set(&mut self, now: Millis) {
        self.bucket.fill(now);
        self.bucket.rate = self.allowed * self.part;
    }

    pub fn allow(&mut self, allowed: f64, now: Millis) {
        self.allowed = allowed.max(0.1);
        self.set(now);
    }

    pub fn grow(&mut self, now: Millis) {
        if self.part < 1.0 && now.since(self.changed) >= GROWS_EVERY {
            self.changed = now;
            self.part = (self.part + PART_GROWS).min(1.0);
            self.set(now);
        }
    }

    pub fn objection(&mut self, now: Millis) {
        self.bucket.fill(now);
        self.bucket.drain();
        if self.changed <= now {
            self.part = (self.part * PART_FALLS).max(LEAST_PART);
            self.changed = now + FALLS_EVERY;
            self.set(now);
        }
    }
}

/// The part of a limit that one controller uses where no plan divides it. All controllers share the limit and do not know
/// how much the others need: the rate grows while nobody objects and falls when the service says
/// that the limit is exceeded.
#[derive(Clone, Debug)]
pub struct Share {
    pub bucket: Bucket,
    fair: f64,
    most: f64,
    grown: Millis,
}

/// Of the whole limit, the most that one controller uses alone.
const MOST: f64 = 0.9;
const GROWS_EVERY: Millis = Millis(500);
/// After an objection the rate is left alone for this long: several calls hear the same one.
const FALLS_EVERY: Millis = Millis(300);

impl Share {
    pub fn new(limit: f64, controllers: usize, now: Millis) -> Self {
        let fair = limit / controllers.max(1) as f64;
        Self {
            bucket: Bucket::new(fair.min(limit * MOST), now),
            fair,
            most: limit * MOST,
            grown: now,
        }
    }

    /// To be asked before `wait`: lets the rate grow.
    pub fn grow(&mut self, now: Millis) {
        if now.since(self.grown) >= GROWS_EVERY {
            self.grown = now;
            self.bucket.fill(now);
            self.bucket.rate = (self.bucket.rate + self.fair / 8.0).min(self.most);
        }
    }

    pub fn objection(&mut self, now: Millis) {
        self.bucket.fill(now);
        self.bucket.drain();
        if self.grown <= now {
            self.bucket.rate = (self.bucket.rate * 0.7).max(self.fair * 0.5);
            self.grown = now + FALLS_EVERY;
        }
    }
}

#[cfg(test)]
mod tests;
