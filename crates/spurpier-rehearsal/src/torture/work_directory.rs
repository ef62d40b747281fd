//! A directory for the files of one torture run.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// A directory of its own below the system's temporary one; removed when dropped.
#[derive(Debug)]
pub struct WorkDirectory {
    path: PathBuf,
    kept: bool,
}

impl WorkDirectory {
    /// Makes the directory.
    ///
    /// # Errors
    ///
    /// When it cannot be made.
    pub fn create() -> io::Result<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = now.map(|since| since.as_nanos()).unwrap_or(0);
        let name = format!("spurpier-rehearsal-{}-{nanos}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(WorkDirectory { path, kept: false })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Leaves it in place and gives its path.
    pub fn keep(mut self) -> PathBuf {
        self.kept = true;
        self.path.clone()
    }
}

impl Drop for WorkDirectory {
    fn drop(&mut self) {
        if !self.kept {
            // A directory that cannot be removed harms nobody.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
