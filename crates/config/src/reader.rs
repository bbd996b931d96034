//! Reads a TOML file field by field, so that all that is wrong is told at once, each with its place.
//!
//! Whoever reads a file says of each field its name, what it may hold, what it is where it is left out, and what it is
//! about. From the same words come the complaints, what is in force and why, the reference page and the schema.

use serde_json::{Map, Value as Json, json};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::{DeTable, DeValue};

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Complaint {
    pub file: String,
    /// Both from 1; 0 where the file as a whole is meant.
    pub line: usize,
    pub column: usize,
    pub field: String,
    pub what: String,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.what)
    }
}

/// A field as it was asked for, and what it holds.
#[derive(Clone, Debug)]
pub struct Field {
    /// `products[0].sla`; in a description `products[].sla`.
    pub path: String,
    pub kind: &'static str,
    pub about: &'static str,
    pub default: Option<String>,
    pub required: bool,
    pub value: Option<String>,
    /// The line that says so; none where it is the default.
    pub line: Option<usize>,
    schema: Json,
}

/// What a field may hold.
pub trait Value: Sized {
    /// As a person would say it.
    const KIND: &'static str;
    /// What was wrong, with what would be right.
    fn read(value: &DeValue) -> Result<Self, String>;
    fn show(&self) -> String;
    fn schema() -> Json;
}

fn wanted<T: Value>(value: &DeValue) -> String {
    let found = match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.as_str().to_owned(),
        DeValue::Float(number) => number.as_str().to_owned(),
        DeValue::Boolean(yes) => yes.to_string(),
        other => format!("a {}", other.type_str()),
    };
    format!("{found} is not {}", T::KIND)
}

fn integer(value: &DeValue) -> Option<i64> {
    let number = value.as_integer()?;
    i64::from_str_radix(number.as_str(), number.radix()).ok()
}

impl Value for bool {
    const KIND: &'static str = "true or false";
    fn read(value: &DeValue) -> Result<bool, String> {
        value.as_bool().ok_or_else(|| wanted::<bool>(value))
    }
    fn show(&self) -> String {
        self.to_string()
    }
    fn schema() -> Json {
        json!({"type": "boolean"})
    }
}

impl Value for usize {
    const KIND: &'static str = "a whole number, 0 or more";
    fn read(value: &DeValue) -> Result<usize, String> {
        integer(value).and_then(|number| usize::try_from(number).ok()).ok_or_else(|| wanted::<usize>(value))
    }
    fn show(&self) -> String {
        self.to_string()
    }
    fn schema() -> Json {
        json!({"type": "integer", "minimum": 0})
    }
}

impl Value for f64 {
    const KIND: &'static str = "a number, 0 or more";
    fn read(value: &DeValue) -> Result<f64, String> {
        let number = match value {
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => integer(value).map(|number| number as f64),
        };
        number.filter(|number: &f64| number.is_finite() && *number >= 0.0).ok_or_else(|| wanted::<f64>(value))
    }
    fn show(&self) -> String {
        format!("{self:?}")
    }
    fn schema() -> Json {
        json!({"type": "number", "minimum": 0})
    }
}

impl Value for String {
    const KIND: &'static str = "a text in quotes";
    fn read(value: &DeValue) -> Result<String, String> {
        value.as_str().map(str::to_owned).ok_or_else(|| wanted::<String>(value))
    }
    fn show(&self) -> String {
        format!("{self:?}")
    }
    fn schema() -> Json {
        json!({"type": "string"})
    }
}

impl Value for PathBuf {
    const KIND: &'static str = "a path in quotes";
    fn read(value: &DeValue) -> Result<PathBuf, String> {
        let path = value.as_str().filter(|path| !path.is_empty());
        path.map(PathBuf::from).ok_or_else(|| wanted::<PathBuf>(value))
    }
    fn show(&self) -> String {
        format!("{:?}", self.display().to_string())
    }
    fn schema() -> Json {
        json!({"type": "string", "minLength": 1})
    }
}

impl Value for SocketAddr {
    const KIND: &'static str = "an address and port such as \"127.0.0.1:8443\"";
    fn read(value: &DeValue) -> Result<SocketAddr, String> {
        value.as_str().and_then(|text| text.parse().ok()).ok_or_else(|| wanted::<SocketAddr>(value))
    }
    fn show(&self) -> String {
        format!("\"{self}\"")
    }
    fn schema() -> Json {
        json!({"type": "string"})
    }
}

impl Value for Duration {
    const KIND: &'static str = "a time such as \"3s\" or \"250ms\"";
    fn read(value: &DeValue) -> Result<Duration, String> {
        let time = value.as_str().and_then(|text| humantime::parse_duration(text).ok());
        time.ok_or_else(|| wanted::<Duration>(value))
    }
    fn show(&self) -> String {
        format!("\"{}\"", humantime::format_duration(*self))
    }
    fn schema() -> Json {
        json!({"type": "string", "examples": ["3s", "250ms"]})
    }
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl Value for Size {
    const KIND: &'static str = "a size such as \"64MiB\" or \"3MB\"";
    fn read(value: &DeValue) -> Result<Size, String> {
        let size = value.as_str().and_then(|text| text.parse::<bytesize::ByteSize>().ok());
        size.map(|size| Size(size.as_u64())).ok_or_else(|| wanted::<Size>(value))
    }
    fn show(&self) -> String {
        let (mib, mb) = (1 << 20, 1_000_000);
        match self.0 {
            bytes if bytes > 0 && bytes % mib == 0 => format!("\"{}MiB\"", bytes / mib),
            bytes if bytes > 0 && bytes % mb == 0 => format!("\"{}MB\"", bytes / mb),
            bytes => format!("\"{bytes}B\""),
        }
    }
    fn schema() -> Json {
        json!({"type": "string", "examples": ["64MiB", "3MB"]})
    }
}

impl<T: Value> Value for Vec<T> {
    const KIND: &'static str = "a list";
    fn read(value: &DeValue) -> Result<Vec<T>, String> {
        let list = value.as_array().ok_or_else(|| wanted::<Vec<T>>(value))?;
        list.iter().map(|entry| T::read(entry.get_ref())).collect()
    }
    fn show(&self) -> String {
        let shown: Vec<String> = self.iter().map(T::show).collect();
        format!("[{}]", shown.join(", "))
    }
    fn schema() -> Json {
        json!({"type": "array", "items": T::schema()})
    }
}

/// One of a few words: the words of a type, and what each means.
#[macro_export]
macro_rules! choice {
    ($(#[$meta:meta])* $name:ident, $kind:literal { $($variant:ident = $word:literal),* $(,)? }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($variant),*
        }

        impl $crate::reader::Value for $name {
            const KIND: &'static str = $kind;
            fn read(value: &toml::de::DeValue) -> Result<$name, String> {
                match value.as_str() {
                    $(Some($word) => Ok($name::$variant),)*
                    Some(other) => Err(format!("{other:?} is not {}", $kind)),
                    None => Err(format!("a {} is not {}", value.type_str(), $kind)),
                }
            }
            fn show(&self) -> String {
                match self {
                    $($name::$variant => format!("{:?}", $word)),*
                }
            }
            fn schema() -> serde_json::Value {
                serde_json::json!({"enum": [$($word),*]})
            }
        }
    };
}

#[derive(Default)]
struct State {
    complaints: Vec<Complaint>,
    fields: Vec<Field>,
}

/// A file that is being read.
pub struct Reader<'i> {
    file: &'i str,
    text: &'i str,
    /// Where each line begins: a list has ten thousand places to name.
    lines: Vec<usize>,
    describes: bool,
    /// Whether what each field holds is told afterwards.
    tells: bool,
    state: RefCell<State>,
}

/// What reading a file came to.
pub struct Read<T> {
    pub value: T,
    pub fields: Vec<Field>,
    /// Sorted by place; where there is any, the value is of no use.
    pub complaints: Vec<Complaint>,
}

impl<T> Read<T> {
    pub fn sound(self) -> Result<T, Vec<Complaint>> {
        if self.complaints.is_empty() { Ok(self.value) } else { Err(self.complaints) }
    }
}

/// Reads all of a file by what `read` asks for.
pub fn read<T>(file: &str, text: &str, read: impl FnOnce(&Section) -> T) -> Read<T> {
    read_all(file, text, true, read)
}

/// The same without `fields`, of which a long list would have very many.
pub fn read_plain<T>(file: &str, text: &str, read: impl FnOnce(&Section) -> T) -> Read<T> {
    read_all(file, text, false, read)
}

fn read_all<T>(file: &str, text: &str, tells: bool, read: impl FnOnce(&Section) -> T) -> Read<T> {
    let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
    let reader = Reader { file, text, lines, describes: false, tells, state: RefCell::default() };
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let at = error.span().map_or(0, |span| span.start);
        reader.complain(Some(at), String::new(), error.message().to_owned());
    }
    let section = Section::new(&reader, String::new(), Some(table.get_ref()), 0);
    let value = read(&section);
    drop(section);
    let State { mut complaints, fields } = reader.state.into_inner();
    complaints.sort_by_key(|complaint| (complaint.line, complaint.column));
    complaints.dedup();
    Read { value, fields, complaints }
}

/// The fields that `read` asks for, one of each list.
pub fn describe<T>(read: impl FnOnce(&Section) -> T) -> Vec<Field> {
    let lines = vec![0];
    let reader =
        Reader { file: "", text: "", lines, describes: true, tells: true, state: RefCell::default() };
    let section = Section::new(&reader, String::new(), None, 0);
    read(&section);
    drop(section);
    reader.state.into_inner().fields
}

impl Reader<'_> {
    fn place(&self, offset: usize) -> (usize, usize) {
        let offset = self.text.floor_char_boundary(offset.min(self.text.len()));
        let line = self.lines.partition_point(|start| *start <= offset);
        let column = self.text[self.lines[line - 1]..offset].chars().count() + 1;
        (line, column)
    }

    fn complain(&self, offset: Option<usize>, field: String, what: String) {
        if self.describes {
            return;
        }
        let (line, column) = offset.map_or((0, 0), |offset| self.place(offset));
        let complaint = Complaint { file: self.file.to_owned(), line, column, field, what };
        self.state.borrow_mut().complaints.push(complaint);
    }
}

/// A table of the file, or one that is not there. What is in it and was not asked for is complained about at its end.
pub struct Section<'r> {
    reader: &'r Reader<'r>,
    path: String,
    table: Option<&'r DeTable<'r>>,
    start: usize,
    known: RefCell<Vec<&'static str>>,
}

impl<'r> Section<'r> {
    fn new(reader: &'r Reader, path: String, table: Option<&'r DeTable>, start: usize) -> Section<'r> {
        Section { reader, path, table, start, known: RefCell::default() }
    }

    fn path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// The value under a name, and where it stands.
    fn find(&self, name: &'static str) -> Option<(&'r DeValue<'r>, usize)> {
        self.known.borrow_mut().push(name);
        let (_, value) = self.table?.iter().find(|(key, _)| key.get_ref() == name)?;
        Some((value.get_ref(), value.span().start))
    }

    fn field<T: Value>(
        &self,
        name: &'static str,
        default: Option<&T>,
        required: bool,
        about: &'static str,
    ) -> Option<T> {
        let found = self.find(name);
        let read = found.and_then(|(value, at)| match T::read(value) {
            Ok(read) => Some((read, at)),
            Err(what) => {
                self.reader.complain(Some(at), self.path(name), what);
                None
            }
        });
        if required && found.is_none() {
            let what = format!("is missing; it has to be {}", T::KIND);
            self.reader.complain(Some(self.start), self.path(name), what);
        }
        if !self.reader.tells {
            return read.map(|(read, _)| read);
        }
        let value = read.as_ref().map(|(read, _)| read).or(default).map(T::show);
        let line = read.as_ref().map(|(_, at)| self.reader.place(*at).0);
        let field = Field {
            path: self.path(name),
            kind: T::KIND,
            about,
            default: default.map(T::show),
            required,
            value,
            line,
            schema: T::schema(),
        };
        self.reader.state.borrow_mut().fields.push(field);
        read.map(|(read, _)| read)
    }

    /// A field that may be left out.
    pub fn optional<T: Value>(&self, name: &'static str, about: &'static str) -> Option<T> {
        self.field(name, None, false, about)
    }

    /// A field that has a default.
    pub fn or<T: Value>(&self, name: &'static str, default: T, about: &'static str) -> T {
        self.field(name, Some(&default), false, about).unwrap_or(default)
    }

    /// A field that has to be there; `instead` only stands in for it beside a complaint.
    pub fn required<T: Value>(&self, name: &'static str, instead: T, about: &'static str) -> T {
        self.field(name, None, true, about).unwrap_or(instead)
    }

    /// A table in this one; it may be left out.
    pub fn section(&self, name: &'static str) -> Section<'r> {
        let found = self.find(name);
        let table = found.and_then(|(value, at)| {
            if !value.is_table() {
                self.reader.complain(
                    Some(at),
                    self.path(name),
                    format!("a {} is no table", value.type_str()),
                );
            }
            value.as_table()
        });
        let start = found.map_or(self.start, |(_, at)| at);
        Section::new(self.reader, self.path(name), table, start)
    }

    /// A list of tables.
    pub fn sections(&self, name: &'static str) -> Vec<Section<'r>> {
        if self.reader.describes {
            return vec![Section::new(self.reader, self.path(name) + "[]", None, 0)];
        }
        let Some((value, at)) = self.find(name) else { return Vec::new() };
        let Some(list) = value.as_array() else {
            let what = format!("a {} is no list of tables; write [[{name}]] above each", value.type_str());
            self.reader.complain(Some(at), self.path(name), what);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (number, entry) in list.iter().enumerate() {
            let path = format!("{}[{number}]", self.path(name));
            match entry.get_ref().as_table() {
                Some(table) => {
                    sections.push(Section::new(self.reader, path, Some(table), entry.span().start));
                }
                None => self.reader.complain(Some(entry.span().start), path, "is no table".into()),
            }
        }
        sections
    }

    /// Complains about a field that was read.
    pub fn complain(&self, name: &str, what: impl Into<String>) {
        let at = self.table.and_then(|table| table.iter().find(|(key, _)| key.get_ref() == name));
        let at = at.map_or(self.start, |(_, value)| value.span().start);
        self.reader.complain(Some(at), self.path(name), what.into());
    }

    /// Complains about the table as a whole, or about the file.
    pub fn complain_here(&self, what: impl Into<String>) {
        let at = (!self.path.is_empty()).then_some(self.start);
        self.reader.complain(at, self.path.clone(), what.into());
    }

    /// Complains unless a value is as it has to be.
    pub fn demand(&self, name: &'static str, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.complain(name, what());
        }
    }

    /// The file, the line and the path of this table, for who has to name it later.
    pub fn place(&self) -> (String, usize) {
        (self.path.clone(), self.reader.place(self.start).0)
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let known = self.known.borrow();
        for (key, _) in self.table.into_iter().flatten() {
            let name = key.get_ref().as_ref();
            if known.contains(&name) {
                continue;
            }
            let near = known.iter().map(|known| (distance(name, known), known)).min();
            let what = match near.filter(|(far, _)| *far <= 2) {
                Some((_, near)) => format!("is not known; {near} is"),
                None => format!("is not known; there are {}", known.join(", ")),
            };
            self.reader.complain(Some(key.span().start), self.path(name), what);
        }
    }
}

/// How many letters have to be put in, taken out or changed.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (at, letter) in a.chars().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], at + 1);
        for (to, other) in b.iter().enumerate() {
            let change = corner + usize::from(letter != *other);
            corner = row[to + 1];
            row[to + 1] = change.min(corner + 1).min(row[to] + 1);
        }
    }
    row[b.len()]
}

/// A page of every field, in the order in which they are read.
pub fn reference(fields: &[Field]) -> String {
    let mut page = String::from("| field | holds | left out | about |\n| --- | --- | --- | --- |\n");
    for field in fields {
        let default = match (&field.default, field.required) {
            (Some(default), _) => format!("`{default}`"),
            (None, true) => "must be there".into(),
            (None, false) => "nothing".into(),
        };
        let kind = field.kind.replace('|', "\\|");
        page += &format!("| `{}` | {kind} | {default} | {} |\n", field.path, field.about);
    }
    page
}

/// A JSON schema (draft 2020-12) of the file.
pub fn schema(title: &str, fields: &[Field]) -> Json {
    let mut root = object();
    for field in fields {
        let mut at = &mut root;
        let parts: Vec<&str> = field.path.split('.').collect();
        let (last, tables) = parts.split_last().expect("a field has a name");
        for part in tables {
            let properties = at["properties"].as_object_mut().expect("an object");
            at = match part.strip_suffix("[]") {
                Some(list) => {
                    let new = || json!({"type": "array", "items": object()});
                    &mut properties.entry(list).or_insert_with(new)["items"]
                }
                None => properties.entry(*part).or_insert_with(object),
            };
        }
        let mut schema = field.schema.clone();
        schema["description"] = field.about.into();
        if let Some(default) = field.default.as_ref().and_then(|text| serde_json::from_str::<Json>(text).ok())
        {
            schema["default"] = default;
        }
        at["properties"].as_object_mut().expect("an object").insert((*last).to_owned(), schema);
        if field.required {
            let required =
                at.as_object_mut().expect("an object").entry("required").or_insert_with(|| json!([]));
            required.as_array_mut().expect("a list").push((*last).into());
        }
    }
    root["$schema"] = "https://json-schema.org/draft/2020-12/schema".into();
    root["title"] = title.into();
    root
}

fn object() -> Json {
    let mut object = Map::new();
    object.insert("type".into(), "object".into());
    object.insert("additionalProperties".into(), false.into());
    object.insert("properties".into(), Json::Object(Map::new()));
    Json::Object(object)
}
