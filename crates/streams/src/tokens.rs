//! The tokens of an answer, in one buffer.

use serde::Deserialize;
use serde::Serialize;

/// Token texts in order, stored back to back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    text: String,
    /// End of each token in `text`, in bytes.
    ends: Vec<u32>,
}

impl Tokens {
    /// Returns the number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Appends a token.
    pub fn push(&mut self, text: &str) {
        self.text.push_str(text);
        let end = u32::try_from(self.text.len()).expect("an answer is shorter than 4 GiB");
        self.ends.push(end);
    }

    /// Returns the concatenated text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the text of tokens `from..to`. Indexes past the end are clamped
    /// to the number of tokens.
    pub fn slice(&self, from: usize, to: usize) -> &str {
        &self.text[self.start(from)..self.start(to)]
    }

    /// Returns a copy of the tokens from index `from` on.
    pub fn suffix(&self, from: usize) -> Self {
        let start = self.start(from);
        let ends = self
            .ends
            .iter()
            .skip(from)
            .map(|end| end - start as u32)
            .collect();
        Self {
            text: self.text[start..].to_owned(),
            ends,
        }
    }

    /// Appends the part of `tokens`, whose first token has index `offset`, that
    /// is not held yet. Returns `false` and appends nothing if tokens before
    /// `offset` are missing.
    pub fn merge(&mut self, offset: usize, tokens: &Self) -> bool {
        if offset > self.len() {
            return false;
        }
        for index in self.len() - offset..tokens.len() {
            self.push(tokens.slice(index, index + 1));
        }
        true
    }

    /// Returns whether the token ends are valid positions in the text. To be
    /// checked for tokens received from a peer.
    pub fn is_consistent(&self) -> bool {
        let ordered = self.ends.windows(2).all(|pair| pair[0] <= pair[1]);
        let last = self.ends.last().map_or(0, |end| *end as usize);
        let on_boundaries = self
            .ends
            .iter()
            .all(|end| self.text.is_char_boundary(*end as usize));
        ordered && on_boundaries && last == self.text.len()
    }

    fn start(&self, index: usize) -> usize {
        match index.min(self.len()) {
            0 => 0,
            index => self.ends[index - 1] as usize,
        }
    }
}
