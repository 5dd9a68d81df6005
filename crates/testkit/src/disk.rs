//! A disk for the embedded store that tests can make full or read-only.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;

use redb::backends::FileBackend;
use redb::StorageBackend;
use woodgap::store::embedded::{builder, EmbeddedStore};

/// A fault of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// The disk works.
    None = 0,
    /// The disk is full: writes fail with `StorageFull`.
    Full = 1,
    /// The file system is mounted read-only: writes fail with `ReadOnlyFilesystem`.
    ReadOnly = 2,
}

/// Sets the current fault of the disks that were opened with it.
#[derive(Clone, Debug, Default)]
pub struct DiskFaultController(Arc<AtomicU8>);

impl DiskFaultController {
    /// Sets the fault for all writes from now on.
    pub fn set(&self, fault: DiskFault) {
        self.0.store(fault as u8, Ordering::SeqCst);
    }

    fn check_writable(&self) -> io::Result<()> {
        match self.0.load(Ordering::SeqCst) {
            1 => Err(io::ErrorKind::StorageFull.into()),
            2 => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            _ => Ok(()),
        }
    }
}

#[derive(Debug)]
struct FaultyDisk {
    file: FileBackend,
    faults: DiskFaultController,
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.faults.check_writable()?;
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.faults.check_writable()?;
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.faults.check_writable()?;
        self.file.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}

/// An embedded store in this file, on a disk whose faults the controller sets.
pub fn faulty_store(path: &Path, faults: &DiskFaultController) -> EmbeddedStore {
    let (path, faults) = (path.to_owned(), faults.clone());
    EmbeddedStore::with_opener(move || {
        let file =
            std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        builder().create_with_backend(FaultyDisk { file: FileBackend::new(file)?, faults: faults.clone() })
    })
}
