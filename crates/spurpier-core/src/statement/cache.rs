//! A bounded cache of classifications, shared by all sessions of a node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use super::{ClassifiedText, classify};

/// The longest text that is kept, in bytes; longer ones are classified each time.
const MAX_CACHED_TEXT_BYTES: usize = 8 * 1024;

/// Classifications by statement text, in two generations.
///
/// When the young generation is full it becomes the old one, and the former old one is dropped.
/// A text found in the old generation moves back to the young one, so what is in use stays.
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
    /// A cache of at most `capacity` texts.
    pub fn new(capacity: usize) -> Self {
        ClassificationCache {
            generation_capacity: (capacity / 2).max(1),
            generations: Mutex::default(),
        }
    }

    /// The classification of `text`, from the cache or worked out now.
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

    /// How many texts are kept now.
    pub fn len(&self) -> usize {
        let generations = self.lock();
        generations.young.len() + generations.old.len()
    }

    /// Whether nothing is kept.
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
