//! A storage backend of redb with a limit on its length.

use redb::StorageBackend;
use std::io;

/// Rejects growth beyond `max_bytes`, as a full disk would.
#[derive(Debug)]
pub(super) struct BoundedBackend<B> {
    pub(super) inner: B,
    pub(super) max_bytes: u64,
}

impl<B: StorageBackend> StorageBackend for BoundedBackend<B> {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        if len > self.max_bytes && len > self.inner.len()? {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the voter's disk has its most bytes"));
        }
        self.inner.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.inner.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.inner.write(offset, data)
    }
    fn close(&self) -> io::Result<()> {
        self.inner.close()
    }
}
