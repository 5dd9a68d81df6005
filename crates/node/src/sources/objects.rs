//! The JSON objects of a watch: one a line as a rule, but a list may come indented over many.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// What stands on a watch.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// A line with nothing on it: the watch lives.
    Empty,
    /// An object, from brace to brace.
    Object(BytesMut),
}

/// What is neither an object nor empty: what follows can't be told apart either.
#[derive(Debug, PartialEq, Error)]
#[error("the watch holds what is no list: see what listens at the address of discovery")]
pub struct NoObject;

/// Cuts a chunked answer into its objects; one may be split over chunks and lines anywhere.
#[derive(Default)]
pub struct Objects {
    buffer: BytesMut,
    /// Bytes of the buffer that were looked at: they belong to an object that is not whole.
    seen: usize,
    /// Braces and brackets that are open.
    depth: usize,
    /// Within a text, and behind a backslash there.
    text: bool,
    escaped: bool,
}

impl Objects {
    /// Takes what came.
    pub fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// The next piece, if it is whole.
    pub fn next(&mut self) -> Result<Option<Piece>, NoObject> {
        while let Some(&byte) = self.buffer.get(self.seen) {
            match (self.depth, byte) {
                (0, b'{') => (self.seen, self.depth) = (1, 1),
                (0, b'\n') => {
                    self.buffer.advance(1);
                    return Ok(Some(Piece::Empty));
                }
                (0, byte) if byte.is_ascii_whitespace() => self.buffer.advance(1),
                (0, _) => return Err(NoObject),
                _ => {
                    self.seen += 1;
                    if self.closes(byte) {
                        let object = self.buffer.split_to(std::mem::take(&mut self.seen));
                        return Ok(Some(Piece::Object(object)));
                    }
                }
            }
        }
        Ok(None)
    }

    /// Whether a byte within an object is its last.
    fn closes(&mut self, byte: u8) -> bool {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.text,
            b'"' => self.text = !self.text,
            _ if self.text => {}
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

    fn cut(text: &str, at: usize) -> Vec<Result<String, NoObject>> {
        let (mut objects, mut seen) = (Objects::default(), Vec::new());
        for part in text.as_bytes().chunks(at) {
            objects.push(&Bytes::copy_from_slice(part));
            loop {
                match objects.next() {
                    Ok(Some(Piece::Empty)) => seen.push(Ok(String::new())),
                    Ok(Some(Piece::Object(object))) => {
                        seen.push(Ok(String::from_utf8(object.to_vec()).unwrap()));
                    }
                    Ok(None) => break,
                    Err(error) => {
                        seen.push(Err(error));
                        return seen;
                    }
                }
            }
        }
        seen
    }

    #[test]
    fn objects_may_be_split_anywhere_and_stand_over_many_lines() {
        let tricky = r#"{"a": ["}\"{\\", {"b": "]"}]}"#;
        let indented = "{\n\n  \"a\": [\r\n    1\n  ]\n}";
        let text = format!("{tricky}\r\n\n  {indented}\n{{}}{{}}");
        for at in 1..text.len() {
            let seen: Vec<String> = cut(&text, at).into_iter().map(Result::unwrap).collect();
            assert_eq!(seen, [tricky, "", "", indented, "", "{}", "{}"], "split at every {at}");
        }
    }

    #[test]
    fn what_is_no_object_is_told() {
        assert_eq!(cut("{}x{}", 2), [Ok("{}".to_owned()), Err(NoObject)]);
        assert_eq!(cut("[{}]", 1), [Err(NoObject)]);
        assert!(cut("{\"a\": [}", 3).is_empty());
    }
}
