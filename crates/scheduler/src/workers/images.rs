//! The images that a machine has fetched.
//!
//! Placement prefers machines that have a task's image. The cache is part of the machine's stored record:
//! without it, a new leader would place tasks where their images have to be fetched again.

use crate::assignments::CachedImage;
use crate::types::Image;

/// Maximum number of images recorded for a machine, which bounds the size of its record even if the images are
/// small.
const MAX_IMAGES: usize = 64;

/// Images that tasks have fetched to a machine, most recently used last.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageCache(Vec<CachedImage>);

impl ImageCache {
    /// The images of a machine's record.
    pub fn from_record(images: Vec<CachedImage>) -> Self {
        Self(images)
    }

    /// The images for the machine's record.
    pub fn to_record(&self) -> Vec<CachedImage> {
        self.0.clone()
    }

    /// The images, most recently used last.
    pub fn iter(&self) -> impl Iterator<Item = &Image> {
        self.0.iter().map(|cached| &cached.image)
    }

    /// Whether no image is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an image is in the cache.
    pub fn contains(&self, image: &Image) -> bool {
        self.iter().any(|cached| cached == image)
    }

    /// Records that a task uses an image. The machine keeps the most recently used images, as many as fit in
    /// `capacity_gb`, but always at least one.
    pub fn remember(&mut self, image: &Image, size_gb: f64, capacity_gb: f64) {
        self.0.retain(|cached| cached.image != *image);
        self.0.push(CachedImage { image: image.clone(), size_gb });
        let mut total_gb: f64 = self.0.iter().map(|cached| cached.size_gb).sum();
        while self.0.len() > 1 && (total_gb > capacity_gb || self.0.len() > MAX_IMAGES) {
            total_gb -= self.0.remove(0).size_gb;
        }
    }
}
