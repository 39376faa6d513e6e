//! JSON with comments, with positions in error messages.

mod hint;

use std::fmt;

use error_stack::Report;
use jsonc_parser::{
    CollectOptions,
    CommentCollectionStrategy,
    ParseOptions,
    ast::Value,
    common::Ranged, //
};
use serde::de::DeserializeOwned;

/// Place in a file. Lines and columns count from one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number in characters.
    pub column: usize,
}

/// Problem in a file, with its position and a hint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Place of the value or syntax error.
    pub position: Position,
    /// Description without position and hint.
    pub message: String,
    /// How to correct the file, where that is clear.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{}:{line}:{column}: {}", self.file, self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, " (hint: {hint})")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problem {}

/// Step of the path from the root of a document to a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathStep<'a> {
    /// Field of an object.
    Field(&'a str),
    /// The first field of an object, whatever its name.
    FirstField,
    /// Element of a list, counted from zero.
    Index(usize),
}

/// Parsed file that can report the position of each value.
#[derive(Clone, Debug)]
pub struct Document {
    file: String,
    text: String,
    /// The text with blanks in place of comments.
    json: String,
}

impl Document {
    /// Parses a text, and replaces its comments by blanks for the deserialiser.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] for the first syntax error.
    ///
    /// ```
    /// use yuccalatch::jsonc::Document;
    ///
    /// let document = Document::parse("a.json", "{ /* one */ \"a\": 1 }").unwrap();
    /// let value: serde_json::Value = document.deserialize().unwrap();
    /// assert_eq!(value["a"], 1);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Report<Problem>> {
        let collect = CollectOptions {
            comments: CommentCollectionStrategy::Separate,
            tokens: false,
        };
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: false,
        };
        let parsed = jsonc_parser::parse_to_ast(text, &collect, &options).map_err(|error| {
            Report::new(Problem {
                file: file.to_owned(),
                position: position_of(text, error.range().start),
                message: error.kind().to_string(),
                hint: None,
            })
        })?;
        let mut json = text.as_bytes().to_vec();
        let comments = parsed.comments.iter().flat_map(|map| map.values());
        for comment in comments.flat_map(|list| list.iter()) {
            let range = comment.range();
            for byte in &mut json[range.start..range.end] {
                // Newlines and byte offsets stay, so that positions are still right.
                if *byte != b'\n' {
                    *byte = b' ';
                }
            }
        }
        Ok(Self {
            file: file.to_owned(),
            text: text.to_owned(),
            json: String::from_utf8(json).unwrap_or_default(),
        })
    }

    /// Converts the document to a typed value.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] at the first value that does not fit the type.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, Report<Problem>> {
        serde_json::from_str(&self.json).map_err(|error| {
            let full = error.to_string();
            let message = full.split(" at line ").next().unwrap_or(&full).to_owned();
            let position = Position {
                line: error.line().max(1),
                column: error.column().max(1),
            };
            Report::new(Problem {
                file: self.file.clone(),
                position: self.start_of_unknown_name(position, &message),
                hint: hint::hint_for(&message),
                message,
            })
        })
    }

    /// Creates a problem at the value to which a path leads, or at the last value of
    /// the path that exists.
    ///
    /// ```
    /// use yuccalatch::jsonc::{Document, PathStep};
    ///
    /// let document = Document::parse("a.json", "{\"set\": [{}, {\"rate\": 0}]}").unwrap();
    /// let path = [PathStep::Field("set"), PathStep::Index(1), PathStep::Field("rate")];
    /// let problem = document.problem_at_path(&path, "must be positive", None);
    /// assert_eq!(problem.position.column, 23);
    /// ```
    pub fn problem_at_path(
        &self,
        path: &[PathStep<'_>],
        message: &str,
        hint: Option<&str>,
    ) -> Problem {
        let offset = self.offset_of(path).unwrap_or(0);
        self.problem_at_offset(offset, message, hint)
    }

    fn offset_of(&self, path: &[PathStep<'_>]) -> Option<usize> {
        let collect = CollectOptions::default();
        let parsed = jsonc_parser::parse_to_ast(&self.json, &collect, &ParseOptions::default());
        let root = parsed.ok()?.value?;
        let mut value = &root;
        for step in path {
            let next = match (step, value) {
                (PathStep::Field(name), Value::Object(object)) => object
                    .properties
                    .iter()
                    .find(|property| property.name.as_str() == *name)
                    .map(|property| &property.value),
                (PathStep::FirstField, Value::Object(object)) => {
                    object.properties.first().map(|property| &property.value)
                }
                (PathStep::Index(index), Value::Array(array)) => array.elements.get(*index),
                _ => None,
            };
            let Some(next) = next else {
                break;
            };
            value = next;
        }
        Some(value.range().start)
    }

    /// Returns the start of the unknown field or variant that a message names. The
    /// parser reports the position of its end. For other messages, returns the
    /// position unchanged.
    fn start_of_unknown_name(&self, position: Position, message: &str) -> Position {
        let Some(name) = hint::unknown_name(message) else {
            return position;
        };
        let line_start: usize = self
            .json
            .split_inclusive('\n')
            .take(position.line - 1)
            .map(str::len)
            .sum();
        // The parser's columns count bytes.
        let end = self.json.len().min(line_start + position.column + 1);
        let before = self.json.get(..end).unwrap_or(&self.json);
        let start = before.rfind(&format!("\"{name}\""));
        start.map_or(position, |offset| position_of(&self.text, offset))
    }

    /// Creates a problem at the first occurrence of a text in quotes, or at the start
    /// of the file if there is none.
    ///
    /// ```
    /// use yuccalatch::jsonc::Document;
    ///
    /// let document = Document::parse("a.json", "{\n  \"rate\": 0 }").unwrap();
    /// let problem = document.problem_at_quoted("rate", "must be positive", None);
    /// assert_eq!(problem.to_string(), "a.json:2:3: must be positive");
    /// ```
    pub fn problem_at_quoted(&self, text: &str, message: &str, hint: Option<&str>) -> Problem {
        let quoted = format!("\"{text}\"");
        let offset = self.json.find(&quoted).unwrap_or(0);
        self.problem_at_offset(offset, message, hint)
    }

    /// Creates a problem at a byte offset.
    ///
    /// ```
    /// use yuccalatch::jsonc::Document;
    ///
    /// let document = Document::parse("a.json", "[1, 1]").unwrap();
    /// let problem = document.problem_at_offset(4, "duplicate", None);
    /// assert_eq!(problem.position.column, 5);
    /// ```
    pub fn problem_at_offset(&self, offset: usize, message: &str, hint: Option<&str>) -> Problem {
        Problem {
            file: self.file.clone(),
            position: position_of(&self.text, offset),
            message: message.to_owned(),
            hint: hint.map(str::to_owned),
        }
    }
}

fn position_of(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}
