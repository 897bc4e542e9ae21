//! The images that a machine has cached or is fetching, and how long a fetch takes.

use rustc_hash::FxHashMap as HashMap;

use super::machine::Machine;
use crate::types::{Image, Millis};

/// An image that has not arrived after this many times what its fetch takes by itself, plus
/// [`FETCH_TIMEOUT_BASE_S`], counts as not being fetched: fetches on one machine share its rate.
pub const FETCH_TIMEOUT_FACTOR: f64 = 4.0;
/// Seconds that a fetch may take to begin.
const FETCH_TIMEOUT_BASE_S: f64 = 20.0;
/// A fetch whose end was not reported yet has at least this part to go.
const MIN_REMAINING_FETCH: f64 = 0.1;

/// An image in a machine's cache, or on its way there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    /// When a task last used it; of one on its way, when its first task was placed.
    pub last_used: Millis,
    /// Its size in gigabytes.
    pub gb: f64,
}

fn total_gb(images: &HashMap<Image, CachedImage>) -> f64 {
    images.values().map(|image| image.gb).sum()
}

impl Machine {
    /// An image was used just now. The cache keeps the most recently used ones within `cache_gb`:
    /// evicted ones must not attract tasks. Returns whether that changes which images are
    /// cached, or on their way.
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

    /// A task that waits for an image was placed here.
    pub fn add_pending_fetch(&mut self, image: &Image, gb: f64, now: Millis) {
        if !self.images.contains_key(image) {
            let coming = CachedImage { last_used: now, gb };
            self.pending_fetches.entry(image.clone()).or_insert(coming);
        }
    }

    /// Forgets fetches whose image has arrived, or that were given up. `rate` is in gigabytes a
    /// second.
    pub fn expire_fetches(&mut self, rate: f64, now: Millis) {
        let all_gb = total_gb(&self.pending_fetches);
        let timeout =
            Millis::from_secs(FETCH_TIMEOUT_BASE_S + FETCH_TIMEOUT_FACTOR * all_gb / rate);
        let images = &self.images;
        self.pending_fetches.retain(|image, coming| {
            !images.contains_key(image) && now.since(coming.last_used) < timeout
        });
    }

    /// Seconds until an image would be here, with `rate` gigabytes a second shared by all fetches.
    #[must_use]
    pub fn image_wait_s(&self, image: &Image, gb: f64, rate: f64, now: Millis) -> f64 {
        if self.images.contains_key(image) {
            return 0.0;
        }
        let rate_each = rate / self.pending_fetches.len().max(1) as f64;
        let remaining_gb = |coming: &CachedImage| {
            let fetched = now.since(coming.last_used).secs() * rate_each;
            (coming.gb - fetched).max(coming.gb * MIN_REMAINING_FETCH)
        };
        let own = self.pending_fetches.get(image).map_or(gb, remaining_gb);
        // Each other fetch receives as much data meanwhile as this one.
        let others = self
            .pending_fetches
            .iter()
            .filter(|(other, _)| *other != image);
        let others_gb: f64 = others
            .map(|(_, coming)| remaining_gb(coming).min(own))
            .sum();
        (own + others_gb) / rate
    }
}
