//! The tokens of an answer, in one buffer.

use serde::Deserialize;
use serde::Serialize;

/// Token texts in order, stored back to back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    text: String,
    ends: Vec<u32>,
}

impl Tokens {
    /// Number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Appends a token.
    pub fn push(&mut self, text: &str) {
        self.text.push_str(text);
        let end = u32::try_from(self.text.len()).expect("an answer is shorter than 4 GiB");
        self.ends.push(end);
    }

    /// The whole text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Text of the tokens from `from` up to `to`, bounded by what there is.
    pub fn slice(&self, from: usize, to: usize) -> &str {
        &self.text[self.start(from)..self.start(to)]
    }

    /// A copy of the tokens from `from` on.
    pub fn since(&self, from: usize) -> Self {
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

    /// Adds tokens that start at `offset`, ignoring those already held.
    /// `false` if tokens before `offset` are missing.
    pub fn merge(&mut self, offset: usize, tokens: &Self) -> bool {
        if offset > self.len() {
            return false;
        }
        for index in self.len() - offset..tokens.len() {
            self.push(tokens.slice(index, index + 1));
        }
        true
    }

    /// Whether lengths and text agree, for tokens received from a peer.
    pub fn is_consistent(&self) -> bool {
        let ordered = self.ends.windows(2).all(|pair| pair[0] <= pair[1]);
        let last = self.ends.last().map_or(0, |end| *end as usize);
        let whole = self
            .ends
            .iter()
            .all(|end| self.text.is_char_boundary(*end as usize));
        ordered && whole && last == self.text.len()
    }

    fn start(&self, index: usize) -> usize {
        match index.min(self.len()) {
            0 => 0,
            index => self.ends[index - 1] as usize,
        }
    }
}
