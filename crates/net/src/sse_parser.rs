//! Splitting of a byte stream into the data of server-sent events.

/// Collects bytes and yields the `data` field of each complete event.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that belong to no complete event yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the data of the next complete event. Events without data, such
    /// as comments that keep the connection alive, are skipped.
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
