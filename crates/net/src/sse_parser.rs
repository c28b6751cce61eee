//! Parsing of server-sent events into their data.

/// Buffers bytes and yields the `data` fields of each complete event.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the next complete event that has data and returns its data, with
    /// several `data` lines joined by newlines. Events without data, such as
    /// keep-alive comments, are skipped.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&event);
            let mut data = text.lines().filter_map(|line| line.strip_prefix("data:"));
            if let Some(first) = data.next() {
                let rest: String = data
                    .map(|line| format!("\n{}", line.trim_start()))
                    .collect();
                return Some(format!("{}{rest}", first.trim_start()));
            }
        }
    }
}
