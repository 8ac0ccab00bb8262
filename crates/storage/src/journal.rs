//! An append-only file of frames. Appended frames become durable together, and opening the journal returns all of them.
//!
//! It is for state that fits in memory. A frame that was synced is not lost by a crash, and the owner may replace all
//! frames by fewer ([`Journal::replace`]). All frames are in one file, whose name contains a generation number. The file
//! of the next generation is written under a temporary name, synced and renamed, and only then is the older one removed.
//!
//! File header: magic (8 bytes, the last is the version of the format). Frame: length (4 bytes), CRC-32C of the contents
//! (4 bytes), the contents; integers are big-endian.

use crate::{read, Storage};
use crc::{Crc, Table, CRC_32_ISCSI};
use std::io;

const CRC: Crc<u32, Table<16>> = Crc::<u32, Table<16>>::new(&CRC_32_ISCSI);
const MAGIC: &[u8; 8] = b"FGJRNL\0\x01";
const HEADER_BYTES: usize = 8;
/// Size of the length and the checksum before the contents of a frame.
const FRAME_HEADER_BYTES: usize = 8;
/// Maximum size of the contents of a frame, bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Why a journal cannot be opened. The folder is unchanged, except that an I/O error may occur while the journal is being
/// rewritten.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The folder cannot be read or written.
    #[error("{location}: {source}")]
    Io {
        /// The folder.
        location: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file does not begin with the magic bytes of a journal.
    #[error("{location}/{file} at byte 0: the file is not a journal of this format, or is damaged")]
    UnknownFormat {
        /// The folder.
        location: String,
        /// The file.
        file: String,
    },
    /// A frame is damaged and intact frames follow it, so that a crash cannot explain it.
    #[error("{location}/{file} at byte {offset}: a frame is damaged; the file was not changed")]
    DamagedFrame {
        /// The folder.
        location: String,
        /// The file.
        file: String,
        /// Where the frame begins, in bytes from the beginning of the file.
        offset: usize,
    },
}

/// An open journal. After an I/O error it must not be used any more, because it is unknown which frames are durable; they
/// are known again once the journal has been reopened.
#[derive(Debug)]
pub struct Journal<S> {
    storage: S,
    name: String,
    generation: u64,
    synced_bytes: u64,
    /// Encoded frames that the next sync writes to the file.
    unsynced: Vec<u8>,
}

/// What opening a journal found.
#[derive(Debug, Default)]
pub struct JournalContents {
    /// Contents of the frames, in order.
    pub frames: Vec<Vec<u8>>,
    /// Length of the incomplete end that was discarded. Those bytes were never synced, so nothing can depend on them.
    pub truncated_bytes: usize,
    /// Whether the folder had no file of this journal.
    pub is_new: bool,
}

fn file_name(journal: &str, generation: u64) -> String {
    format!("{journal}-{generation:020}.fgj")
}

fn generation_of(journal: &str, file: &str) -> Option<u64> {
    let digits = file.strip_prefix(journal)?.strip_prefix('-')?.strip_suffix(".fgj")?;
    (digits.len() == 20).then(|| digits.parse().ok())?
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// The contents of the frame at an offset, and the offset of the next frame; none: there is no intact frame at it.
fn frame_at(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let len = read_u32(bytes, at)? as usize;
    let start = at + FRAME_HEADER_BYTES;
    let contents = bytes.get(start..start.checked_add(len)?)?;
    let checksum = read_u32(bytes, at + 4)?;
    (len > 0 && checksum == CRC.checksum(contents)).then_some((contents, start + len))
}

fn encode_frame(frame: &[u8], out: &mut Vec<u8>) {
    out.extend((frame.len() as u32).to_be_bytes());
    out.extend(CRC.checksum(frame).to_be_bytes());
    out.extend(frame);
}

/// Reads all frames of a file; an incomplete frame at its end is left out.
fn read_frames<S: Storage>(storage: &S, file: &str) -> Result<JournalContents, JournalError> {
    let location = storage.location();
    let bytes = match read(storage, file) {
        Ok(bytes) => bytes,
        Err(source) => return Err(JournalError::Io { location, source }),
    };
    if !bytes.starts_with(MAGIC) {
        return Err(JournalError::UnknownFormat { location, file: file.to_owned() });
    }
    let mut contents = JournalContents::default();
    let mut offset = HEADER_BYTES;
    while let Some((frame, next)) = frame_at(&bytes, offset) {
        contents.frames.push(frame.to_vec());
        offset = next;
    }
    // A frame that a crash left incomplete is the last one. If an intact frame follows anywhere, this one was complete and
    // has been damaged since.
    if (offset + 1..bytes.len()).any(|later| frame_at(&bytes, later).is_some()) {
        return Err(JournalError::DamagedFrame { location, file: file.to_owned(), offset });
    }
    contents.truncated_bytes = bytes.len() - offset;
    Ok(contents)
}

impl<S: Storage> Journal<S> {
    /// Opens the journal with this name in a folder, and rewrites its frames to a new file: after a failed sync, the bytes
    /// that were read may not be durable.
    ///
    /// # Errors
    /// The error of the operating system, or damage before the end of the file, with file name and offset.
    pub fn open(storage: S, name: &str) -> Result<(Journal<S>, JournalContents), JournalError> {
        let location = storage.location();
        let names = match storage.list() {
            Ok(names) => names,
            Err(source) => return Err(JournalError::Io { location, source }),
        };
        let newest = names.iter().filter_map(|file| generation_of(name, file)).max();
        let contents = match newest {
            Some(newest) => read_frames(&storage, &file_name(name, newest))?,
            None => JournalContents { is_new: true, ..JournalContents::default() },
        };
        let mut journal = Journal {
            storage,
            name: name.to_owned(),
            generation: newest.unwrap_or(0),
            synced_bytes: 0,
            unsynced: vec![],
        };
        journal.replace(&contents.frames).map_err(|source| JournalError::Io { location, source })?;
        Ok((journal, contents))
    }

    /// Appends a frame; it is durable after the next successful [`Journal::sync`].
    ///
    /// # Errors
    /// The frame is empty or longer than [`MAX_FRAME_BYTES`].
    pub fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if frame.is_empty() || frame.len() > MAX_FRAME_BYTES {
            let reason =
                format!("a journal frame has {} bytes, but 1 to {MAX_FRAME_BYTES} are allowed", frame.len());
            return Err(io::Error::other(reason));
        }
        encode_frame(frame, &mut self.unsynced);
        Ok(())
    }

    /// Writes all appended frames to the file and makes them durable.
    ///
    /// # Errors
    /// The error of the operating system; the journal must not be used any more.
    pub fn sync(&mut self) -> io::Result<()> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        let file = file_name(&self.name, self.generation);
        self.storage.write_at(&file, self.synced_bytes, &self.unsynced)?;
        self.storage.sync(&file)?;
        self.synced_bytes += self.unsynced.len() as u64;
        self.unsynced.clear();
        Ok(())
    }

    /// Replaces all frames by these, atomically; they are durable when it returns.
    ///
    /// # Errors
    /// The error of the operating system; the journal must not be used any more.
    pub fn replace<F: AsRef<[u8]>>(&mut self, frames: &[F]) -> io::Result<()> {
        let next_generation = self.generation + 1;
        let (older, newer) = (file_name(&self.name, self.generation), file_name(&self.name, next_generation));
        let mut bytes = MAGIC.to_vec();
        frames.iter().for_each(|frame| encode_frame(frame.as_ref(), &mut bytes));
        self.write_new_file(&newer, &bytes)?;
        if self.storage.list()?.contains(&older) {
            // The removal need not be durable: opening reads the newest generation only.
            self.storage.remove(&older)?;
        }
        self.generation = next_generation;
        self.synced_bytes = bytes.len() as u64;
        self.unsynced.clear();
        Ok(())
    }

    /// Writes a file under a temporary name, syncs it and renames it to `name`.
    fn write_new_file(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = format!("{}.part", self.name);
        if self.storage.list()?.contains(&temporary) {
            self.storage.remove(&temporary)?;
        }
        self.storage.create(&temporary)?;
        self.storage.write_at(&temporary, 0, bytes)?;
        self.storage.sync(&temporary)?;
        self.storage.rename(&temporary, name)?;
        self.storage.sync_folder()
    }

    /// Size of the journal in bytes, including the file header and frames that are not synced yet.
    pub fn len(&self) -> u64 {
        self.synced_bytes + self.unsynced.len() as u64
    }

    /// Whether the journal holds no frames.
    pub fn is_empty(&self) -> bool {
        self.len() <= HEADER_BYTES as u64
    }

    /// The folder that holds the journal.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Closes the journal and returns its folder; frames that are not synced are dropped.
    pub fn into_storage(self) -> S {
        self.storage
    }
}
