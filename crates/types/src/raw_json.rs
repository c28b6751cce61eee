//! Splitting of JSON text into its parts, without decoding them.
//!
//! A parser rejects a whole text because of one value that it can't represent, such as
//! a number without a double or bytes that are no UTF-8. Where parts of a text come
//! from different writers, it is split first, and each part is parsed by itself. The
//! split only follows strings and brackets, so the depth of a text doesn't matter.

/// Returns the elements of an array, or `None` if `text` is not laid out as one.
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut scanner = Scanner { text, at: 0 };
    let mut elements = Vec::new();
    scanner.expect(b'[')?;
    if !scanner.accept(b']') {
        loop {
            elements.push(scanner.value()?);
            if scanner.accept(b']') {
                break;
            }
            scanner.expect(b',')?;
        }
    }
    scanner.is_at_end().then_some(elements)
}

/// Members of an object.
#[derive(Debug)]
pub struct Members<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Members<'a> {
    /// Splits an object. Returns `None` if `text` is not laid out as one.
    pub fn split(text: &'a [u8]) -> Option<Self> {
        let mut scanner = Scanner { text, at: 0 };
        let mut members = Vec::new();
        scanner.expect(b'{')?;
        if !scanner.accept(b'}') {
            loop {
                let name = scanner.string()?;
                scanner.expect(b':')?;
                members.push((name, scanner.value()?));
                if scanner.accept(b'}') {
                    break;
                }
                scanner.expect(b',')?;
            }
        }
        scanner.is_at_end().then_some(Self(members))
    }

    /// Returns the text of a value, the last one if the name is repeated.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        let found = self.0.iter().rev().find(|(known, _)| is_name(known, name));
        found.map(|(_, value)| *value)
    }
}

/// Returns whether a string in JSON text is `name`.
fn is_name(string: &[u8], name: &str) -> bool {
    let inner = &string[1..string.len() - 1];
    if inner.contains(&b'\\') {
        return serde_json::from_slice::<String>(string).is_ok_and(|known| known == name);
    }
    inner == name.as_bytes()
}

/// Position in a text. Each method skips white space first.
struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    /// Passes `byte`, or returns `None` if another one follows.
    fn expect(&mut self, byte: u8) -> Option<()> {
        self.accept(byte).then_some(())
    }

    /// Passes `byte` if it follows, and returns whether it does.
    fn accept(&mut self, byte: u8) -> bool {
        let follows = self.peek() == Some(byte);
        self.at += usize::from(follows);
        follows
    }

    fn is_at_end(&mut self) -> bool {
        self.peek().is_none()
    }

    fn peek(&mut self) -> Option<u8> {
        let rest = self.text.get(self.at..)?;
        let blank = |byte: &u8| matches!(byte, b' ' | b'\t' | b'\r' | b'\n');
        self.at += rest.iter().take_while(|byte| blank(byte)).count();
        self.text.get(self.at).copied()
    }

    /// Passes a string and returns it with its quotes.
    fn string(&mut self) -> Option<&'a [u8]> {
        if self.peek()? != b'"' {
            return None;
        }
        let start = self.at;
        self.pass_string()?;
        self.text.get(start..self.at)
    }

    /// Passes a value of any kind and returns its text.
    fn value(&mut self) -> Option<&'a [u8]> {
        let first = self.peek()?;
        let start = self.at;
        match first {
            b'"' => self.pass_string()?,
            b'[' | b'{' => self.pass_brackets()?,
            _ => self.pass_word()?,
        }
        self.text.get(start..self.at)
    }

    fn pass_string(&mut self) -> Option<()> {
        self.at += 1;
        loop {
            match self.text.get(self.at)? {
                b'"' => break,
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
        self.at += 1;
        Some(())
    }

    /// Passes everything up to the bracket that closes the one that follows. Which kind
    /// of bracket closes which is left to the parser of the part.
    fn pass_brackets(&mut self) -> Option<()> {
        let mut depth = 0_usize;
        loop {
            match self.text.get(self.at)? {
                b'"' => {
                    self.pass_string()?;
                    continue;
                }
                b'[' | b'{' => depth += 1,
                b']' | b'}' => depth -= 1,
                _ => {}
            }
            self.at += 1;
            if depth == 0 {
                return Some(());
            }
        }
    }

    /// Passes a number or a word.
    fn pass_word(&mut self) -> Option<()> {
        let rest = self.text.get(self.at..)?;
        let ends =
            |byte: &u8| byte.is_ascii_whitespace() || matches!(byte, b',' | b':' | b']' | b'}');
        let length = rest.iter().position(ends)?;
        self.at += length;
        (length > 0).then_some(())
    }
}
