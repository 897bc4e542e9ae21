//! The images that a machine has cached or is fetching, and estimates of how long a fetch takes.

use rustc_hash::FxHashMap as HashMap;

use super::machine::Machine;
use crate::types::{Image, Millis};

/// An image that has not arrived after this many times its nominal fetch time, plus
/// [`FETCH_TIMEOUT_BASE_S`], counts as not being fetched: fetches on one machine share its rate.
pub const FETCH_TIMEOUT_FACTOR: f64 = 4.0;
/// Seconds that a fetch may take to begin.
const FETCH_TIMEOUT_BASE_S: f64 = 20.0;
/// A fetch that was not reported complete has at least this fraction of its data left.
const MIN_REMAINING_FETCH: f64 = 0.1;

/// An image that is cached on a machine, or is being fetched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    /// When a task last used it; for one that is being fetched, when the first task that needs it was
    /// placed.
    pub last_used: Millis,
    /// The image's size in gigabytes.
    pub gb: f64,
}

fn total_gb(images: &HashMap<Image, CachedImage>) -> f64 {
    images.values().map(|image| image.gb).sum()
}

impl Machine {
    /// Records that a task uses an image now, and evicts the least recently used images beyond
    /// `cache_gb`, since evicted ones must not attract tasks. Returns whether the set of cached images or
    /// the set of pending fetches changed.
    pub fn record_image_use(&mut self, image: &Image, gb: f64, cache_gb: f64, now: Millis) -> bool {
        let cached = CachedImage { last_used: now, gb };
        let arrived = self.pending_fetches.remove(image).is_some();
        if self.images.insert(image.clone(), cached).is_some() {
            return arrived;
        }
        while self.images.len() > 1 && total_gb(&self.images) > cache_gb {
            let oldest = self
                .images
                .iter()
                .min_by_key(|(image, cached)| (cached.last_used, *image))
                .map(|(image, _)| image.clone());
            let Some(oldest) = oldest else { break };
            self.images.remove(&oldest);
        }
        true
    }

    /// Records that a task which needs an image of `gb` gigabytes was placed here; does nothing if the
    /// image is cached or already being fetched.
    pub fn add_pending_fetch(&mut self, image: &Image, gb: f64, now: Millis) {
        if !self.images.contains_key(image) {
            let pending = CachedImage { last_used: now, gb };
            self.pending_fetches.entry(image.clone()).or_insert(pending);
        }
    }

    /// Removes fetches whose image is cached by now, and those that have timed out. The timeout allows
    /// for the data of all pending fetches; `rate` is in gigabytes per second.
    pub fn expire_fetches(&mut self, rate: f64, now: Millis) {
        let all_gb = total_gb(&self.pending_fetches);
        let timeout =
            Millis::from_secs(FETCH_TIMEOUT_BASE_S + FETCH_TIMEOUT_FACTOR * all_gb / rate);
        let images = &self.images;
        self.pending_fetches.retain(|image, pending| {
            !images.contains_key(image) && now.since(pending.last_used) < timeout
        });
    }

    /// Estimated seconds until an image of `gb` gigabytes would be cached here, with `rate` gigabytes per
    /// second shared by all fetches; 0 if it is cached.
    #[must_use]
    pub fn image_wait_s(&self, image: &Image, gb: f64, rate: f64, now: Millis) -> f64 {
        if self.images.contains_key(image) {
            return 0.0;
        }
        let rate_each = rate / self.pending_fetches.len().max(1) as f64;
        let remaining_gb = |pending: &CachedImage| {
            let fetched_gb = now.since(pending.last_used).secs() * rate_each;
            (pending.gb - fetched_gb).max(pending.gb * MIN_REMAINING_FETCH)
        };
        let own_gb = self.pending_fetches.get(image).map_or(gb, remaining_gb);
        // Meanwhile each other fetch receives as much data as this one.
        let others = self
            .pending_fetches
            .iter()
            .filter(|(other, _)| *other != image);
        let others_gb: f64 = others
            .map(|(_, pending)| remaining_gb(pending).min(own_gb))
            .sum();
        (own_gb + others_gb) / rate
    }
}
