//! Documents shared between hollow nodes that hold the same one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use spurpier_core::distribution::{
    ApplyError, Delta, Document, DocumentStore, OwnedDocument, Snapshot,
};

/// Documents of this many versions back are kept for sharing.
const SHARED_VERSIONS: u64 = 64;

/// The way by which a document came about: from which content to which.
type Step = (u64, u64, u64, u64);

/// The documents that hollow nodes hold.
#[derive(Debug, Default)]
pub(super) struct DocumentCache {
    by_step: HashMap<Step, Rc<Document>>,
}

impl DocumentCache {
    fn forget_before(&mut self, version: u64) {
        let oldest = version.saturating_sub(SHARED_VERSIONS);
        self.by_step.retain(|step, _| step.2 >= oldest);
    }
}

/// The document of one hollow node.
#[derive(Debug, Clone)]
pub(super) enum HollowStore {
    /// It belongs to this node alone, as in a real node.
    Owned(OwnedDocument),
    /// It is shared with nodes that came to the same document in the same way.
    Shared {
        /// The document.
        document: Rc<Document>,
        /// All shared documents.
        cache: Rc<RefCell<DocumentCache>>,
    },
}

impl HollowStore {
    fn change(
        &mut self,
        target: (u64, u64),
        apply: impl Fn(&mut Document) -> Result<(), ApplyError>,
    ) -> Result<(), ApplyError> {
        let (document, cache) = match self {
            HollowStore::Owned(owned) => return apply(&mut owned.0),
            HollowStore::Shared { document, cache } => (document, cache),
        };
        if target.0 <= document.version() {
            return Err(ApplyError::NotNewer);
        }
        let step = (document.version(), document.digest(), target.0, target.1);
        let known = cache.borrow().by_step.get(&step).cloned();
        if let Some(known) = known {
            *document = known;
            return Ok(());
        }
        let mut changed = Document::clone(document);
        apply(&mut changed)?;
        *document = Rc::new(changed);
        let mut cache = cache.borrow_mut();
        cache.by_step.insert(step, document.clone());
        cache.forget_before(target.0);
        Ok(())
    }
}

impl DocumentStore for HollowStore {
    fn document(&self) -> &Document {
        match self {
            HollowStore::Owned(owned) => owned.document(),
            HollowStore::Shared { document, .. } => document,
        }
    }

    fn apply(&mut self, delta: &Delta, remembered: usize) -> Result<(), ApplyError> {
        self.change((delta.version, delta.digest), |document| {
            document.apply(delta, remembered)
        })
    }

    fn replace(&mut self, snapshot: &Snapshot) -> Result<(), ApplyError> {
        self.change((snapshot.version, snapshot.digest), |document| {
            document.replace(snapshot)
        })
    }
}
