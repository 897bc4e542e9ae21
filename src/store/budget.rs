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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_allows_its_rate_and_one_second_of_burst() {
        let cases = [
            // rate, seconds, most that may pass
            (10.0, 0, 10),
            (10.0, 1, 20),
            (50.0, 2, 150),
            (0.5, 4, 3),
        ];
        for (rate, seconds, most) in cases {
            let mut bucket = Bucket::new(rate, Millis(0));
            let mut passed = 0;
            for ms in 0..=seconds * 1000 {
                while bucket.wait(1.0, Millis(ms)) == Millis(0) {
                    bucket.take(1.0);
                    passed += 1;
                }
            }
            assert_eq!(passed, most, "rate {rate} over {seconds} s");
        }
    }

    #[test]
    fn a_large_amount_passes_once_the_bucket_is_full() {
        let mut bucket = Bucket::new(10.0, Millis(0));
        assert_eq!(bucket.wait(12.0, Millis(0)), Millis(0));
        bucket.take(12.0);
        assert_eq!(bucket.wait(1.0, Millis(0)), Millis(300));
    }
}
