//! Secrets: read from files of their own, never shown.

use std::path::Path;

/// A secret's bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Reads a secret; white space around it is left out.
    ///
    /// # Errors
    /// A file that cannot be read, is empty, or that others than its owner may read.
    pub fn read(path: &Path) -> Result<Secret, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        #[cfg(unix)]
        {
            use std::os::unix::fs::PermissionsExt;
            let mode = std::fs::metadata(path).map(|m| m.permissions().mode()).unwrap_or(0);
            if mode & 0o077 != 0 {
                let mode = mode & 0o777;
                return Err(format!("{}: mode {mode:o}: others may read it (chmod 600)", path.display()));
            }
        }
        let bytes = bytes.trim_ascii();
        if bytes.is_empty() {
            return Err(format!("{}: is empty", path.display()));
        }
        Ok(Secret(bytes.to_vec()))
    }

    /// Its lines, each a secret of its own; empty ones are left out.
    pub fn lines(&self) -> Vec<Secret> {
        let lines = self.0.split(|b| *b == b'\n').map(<[u8]>::trim_ascii).filter(|line| !line.is_empty());
        lines.map(|line| Secret(line.to_vec())).collect()
    }

    /// The bytes, for the one place that needs them.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    /// The bytes as text.
    pub fn expose_text(&self) -> Option<&str> {
        std::str::from_utf8(&self.0).ok()
    }
}
