//! A disk's stand-in: what is written to it can be cut off at any byte, lost before it is synced, or find no room.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A disk in memory that may die after so many bytes, or be full.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Image>>);

#[derive(Debug, Default)]
pub struct Image {
    pub bytes: Vec<u8>,
    /// As it stood when it was last synced.
    pub synced: Vec<u8>,
    /// Bytes that may still be written; with none left it is dead.
    pub left: Option<usize>,
    pub full: bool,
}

impl Disk {
    pub fn image(&self) -> MutexGuard<'_, Image> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Image { synced: bytes.clone(), bytes, ..Image::default() })))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.image().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (image, from) = (self.image(), offset as usize);
        let bytes = image.bytes.get(from..from + out.len());
        out.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut image = self.image();
        if image.left == Some(0) || image.full && length as usize > image.bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        image.bytes.resize(length as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut image = self.image();
        if image.left == Some(0) {
            return Err(io::Error::other("the machine is off"));
        }
        image.synced = image.bytes.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut image = self.image();
        if image.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let taken = image.left.map_or(data.len(), |left| left.min(data.len()));
        let from = offset as usize;
        if image.bytes.len() < from + taken {
            image.bytes.resize(from + taken, 0);
        }
        image.bytes[from..from + taken].copy_from_slice(&data[..taken]);
        image.left = image.left.map(|left| left - taken);
        if taken < data.len() { Err(io::Error::other("the machine is off")) } else { Ok(()) }
    }
}
