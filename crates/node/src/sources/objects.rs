//! Splits the byte stream of a watch into JSON objects and empty lines. Objects usually take one line each,
//! but an indented list may take many.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// One item of a watch's byte stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// An empty line, which shows that the watch is alive.
    EmptyLine,
    /// A complete JSON object, from brace to brace.
    Object(BytesMut),
}

/// The stream contains something that is neither an object nor an empty line, so the rest of it can't be
/// split either.
#[derive(Debug, PartialEq, Error)]
#[error(
    "the watch contains data that is not a JSON object; check which service listens at the discovery address"
)]
pub struct NotAnObject;

/// Splits a chunked response body into objects, which may be split over chunks and lines anywhere.
#[derive(Default)]
pub struct ObjectSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were scanned and belong to an incomplete object.
    scanned: usize,
    /// Number of open braces and brackets.
    depth: usize,
    /// Whether the scan is inside a string.
    in_string: bool,
    /// Whether the last byte was a backslash inside a string.
    escaped: bool,
}

impl ObjectSplitter {
    /// Appends a chunk of the body.
    pub fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next item, or `None` if it is not complete yet.
    pub fn next(&mut self) -> Result<Option<StreamItem>, NotAnObject> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            match (self.depth, byte) {
                (0, b'{') => (self.scanned, self.depth) = (1, 1),
                (0, b'\n') => {
                    self.buffer.advance(1);
                    return Ok(Some(StreamItem::EmptyLine));
                }
                (0, byte) if byte.is_ascii_whitespace() => self.buffer.advance(1),
                (0, _) => return Err(NotAnObject),
                _ => {
                    self.scanned += 1;
                    if self.completes_object(byte) {
                        let object = self.buffer.split_to(std::mem::take(&mut self.scanned));
                        return Ok(Some(StreamItem::Object(object)));
                    }
                }
            }
        }
        Ok(None)
    }

    /// Whether a byte inside an object completes it.
    fn completes_object(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn split_chunked(text: &str, chunk_size: usize) -> Vec<Result<String, NotAnObject>> {
        let (mut splitter, mut items) = (ObjectSplitter::default(), Vec::new());
        for chunk in text.as_bytes().chunks(chunk_size) {
            splitter.push(&Bytes::copy_from_slice(chunk));
            loop {
                match splitter.next() {
                    Ok(Some(StreamItem::EmptyLine)) => items.push(Ok(String::new())),
                    Ok(Some(StreamItem::Object(object))) => {
                        items.push(Ok(String::from_utf8(object.to_vec()).unwrap()));
                    }
                    Ok(None) => break,
                    Err(error) => {
                        items.push(Err(error));
                        return items;
                    }
                }
            }
        }
        items
    }

    #[test]
    fn objects_may_span_chunks_and_lines_anywhere() {
        let nested = r#"{"a": ["}\"{\\", {"b": "]"}]}"#;
        let indented = "{\n\n  \"a\": [\r\n    1\n  ]\n}";
        let text = format!("{nested}\r\n\n  {indented}\n{{}}{{}}");
        for chunk_size in 1..text.len() {
            let items: Vec<String> =
                split_chunked(&text, chunk_size).into_iter().map(Result::unwrap).collect();
            assert_eq!(items, [nested, "", "", indented, "", "{}", "{}"], "chunks of {chunk_size} bytes");
        }
    }

    #[test]
    fn data_that_is_not_an_object_is_an_error() {
        assert_eq!(split_chunked("{}x{}", 2), [Ok("{}".to_owned()), Err(NotAnObject)]);
        assert_eq!(split_chunked("[{}]", 1), [Err(NotAnObject)]);
        assert!(split_chunked("{\"a\": [}", 3).is_empty());
    }
}
