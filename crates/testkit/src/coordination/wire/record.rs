//! Jute records, in frames that start with a length of four bytes, as in the public protocol files
//! (`zookeeper.jute`).

use std::io;

use tokio::io::AsyncReadExt;

use super::super::tree::{OpResult, Stat};

/// Maximum length of a frame in bytes: the default of `jute.maxbuffer` (Administrator's Guide, "Unsafe
/// Options"). A service closes the connection of a client that sends a longer one ("Len error"), and a client
/// closes a connection on which it receives one.
pub(super) const MAX_FRAME_LEN: usize = 0xf_ffff;

/// Reads the fields of a record in their order; `None` if the record is too short or not valid.
pub(super) struct RecordReader<'a>(pub(super) &'a [u8]);

impl<'a> RecordReader<'a> {
    pub(super) fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*first)
    }

    pub(super) fn int(&mut self) -> Option<i32> {
        self.take().map(i32::from_be_bytes)
    }

    pub(super) fn long(&mut self) -> Option<i64> {
        self.take().map(i64::from_be_bytes)
    }

    pub(super) fn bool(&mut self) -> Option<bool> {
        self.take::<1>().map(|[byte]| byte != 0)
    }

    /// A buffer. A length of -1 means an absent buffer, which is read as an empty one.
    pub(super) fn buffer(&mut self) -> Option<&'a [u8]> {
        let length = self.int()?;
        let (first, rest) = self.0.split_at_checked(usize::try_from(length.max(0)).ok()?)?;
        self.0 = rest;
        Some(first)
    }

    pub(super) fn text(&mut self) -> Option<String> {
        String::from_utf8(self.buffer()?.to_vec()).ok()
    }

    pub(super) fn texts(&mut self) -> Option<Vec<String>> {
        (0..self.int()?.max(0)).map(|_| self.text()).collect()
    }
}

/// Writes the fields of a record in their order.
#[derive(Default)]
pub(super) struct RecordWriter(pub(super) Vec<u8>);

impl RecordWriter {
    pub(super) fn int(mut self, value: i32) -> Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    pub(super) fn long(mut self, value: i64) -> Self {
        self.0.extend(value.to_be_bytes());
        self
    }

    pub(super) fn bool(mut self, value: bool) -> Self {
        self.0.push(u8::from(value));
        self
    }

    pub(super) fn buffer(self, value: &[u8]) -> Self {
        let mut writer = self.int(value.len() as i32);
        writer.0.extend(value);
        writer
    }

    pub(super) fn stat(self, stat: &Stat) -> Self {
        let writer = self.long(stat.czxid).long(stat.mzxid).long(stat.ctime).long(stat.mtime);
        let writer = writer.int(stat.version).int(stat.cversion).int(0).long(stat.ephemeral_owner);
        writer.int(stat.data_length).int(stat.num_children).long(stat.pzxid)
    }

    pub(super) fn texts(self, texts: &[String]) -> Self {
        texts.iter().fold(self.int(texts.len() as i32), |writer, text| writer.buffer(text.as_bytes()))
    }

    /// The result of an operation; `with_stat` adds the stat of a created znode (`create2`).
    pub(super) fn result(self, result: &OpResult, with_stat: bool) -> Self {
        match result {
            OpResult::Created(path, stat) if with_stat => self.buffer(path.as_bytes()).stat(stat),
            OpResult::Created(path, _) => self.buffer(path.as_bytes()),
            OpResult::Written(stat) => self.stat(stat),
            OpResult::Deleted | OpResult::Checked => self,
        }
    }

    /// The record as a frame, with its length before it.
    pub(super) fn into_frame(self) -> Vec<u8> {
        let mut frame = (self.0.len() as u32).to_be_bytes().to_vec();
        frame.extend(self.0);
        frame
    }
}

/// Reads a frame and returns its content.
pub(super) async fn read_frame(input: &mut (impl tokio::io::AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = input.read_u32().await? as usize;
    if length > MAX_FRAME_LEN {
        return Err(io::Error::other("frame exceeds the maximum length"));
    }
    let mut frame = vec![0; length];
    input.read_exact(&mut frame).await?;
    Ok(frame)
}
