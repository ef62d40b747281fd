//! A bounded cache of classified texts, shared by all sessions of a node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use super::{ClassifiedText, classify};

/// Longer texts are not cached but classified each time, which bounds the cache's memory.
const MAX_CACHED_TEXT_BYTES: usize = 8 * 1024;

/// A cache from query text to classification, with two generations.
///
/// When the young generation is full, it replaces the old generation, which is dropped. A hit in
/// the old generation moves the entry to the young one, so that entries in use are retained.
#[derive(Debug)]
pub struct ClassificationCache {
    generation_capacity: usize,
    generations: Mutex<Generations>,
}

#[derive(Debug, Default)]
struct Generations {
    young: HashMap<Arc<str>, Arc<ClassifiedText>>,
    old: HashMap<Arc<str>, Arc<ClassifiedText>>,
}

impl ClassificationCache {
    /// Creates a cache of at most `capacity` texts, with a minimum of two.
    pub fn new(capacity: usize) -> Self {
        ClassificationCache {
            generation_capacity: (capacity / 2).max(1),
            generations: Mutex::default(),
        }
    }

    /// Returns the cached classification of `text`, or classifies it now and caches the result.
    pub fn classify(&self, text: &str) -> Arc<ClassifiedText> {
        if text.len() > MAX_CACHED_TEXT_BYTES {
            return Arc::new(classify(text));
        }
        if let Some(found) = self.find(text) {
            return found;
        }
        let classified = Arc::new(classify(text));
        self.insert(Arc::from(text), Arc::clone(&classified));
        classified
    }

    /// The number of cached texts.
    pub fn len(&self) -> usize {
        let generations = self.lock();
        generations.young.len() + generations.old.len()
    }

    /// Whether no text is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, text: &str) -> Option<Arc<ClassifiedText>> {
        let mut generations = self.lock();
        if let Some(found) = generations.young.get(text) {
            return Some(Arc::clone(found));
        }
        let (key, found) = generations.old.remove_entry(text)?;
        generations.insert(key, Arc::clone(&found), self.generation_capacity);
        Some(found)
    }

    fn insert(&self, text: Arc<str>, classified: Arc<ClassifiedText>) {
        let capacity = self.generation_capacity;
        self.lock().insert(text, classified, capacity);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Generations> {
        self.generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Generations {
    fn insert(&mut self, text: Arc<str>, classified: Arc<ClassifiedText>, capacity: usize) {
        if self.young.len() >= capacity {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(text, classified);
    }
}
