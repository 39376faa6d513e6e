//! A small JSON reader and writer for the stand-ins.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// Number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (at, item) in items.iter().enumerate() {
                    if at > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Json::Table(fields) => {
                f.write_str("{")?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        f.write_str(",")?;
                    }
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for each in text.chars() {
        match each {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            each if (each as u32) < 0x20 => write!(f, "\\u{:04x}", each as u32)?,
            each => write!(f, "{each}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn accept(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.accept(b']') {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.accept(b']') {
                        return Some(Json::List(items));
                    }
                    self.accept(b',').then_some(())?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.accept(b'}') {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    self.accept(b':').then_some(())?;
                    fields.push((name, self.value()?));
                    if self.accept(b'}') {
                        return Some(Json::Table(fields));
                    }
                    self.accept(b',').then_some(())?;
                }
            }
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.accept(b'"').then_some(())?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let each = char::from_u32(code)?;
                            bytes.extend_from_slice(each.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
