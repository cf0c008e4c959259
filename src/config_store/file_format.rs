//! Reads an operator's file as records.
//!
//! The format is that of the platform's settings: `classes`, `accounts`, and `domain` with lists of what each class calls,
//! at the top or under `settings`. Other keys are ignored. Errors name the file and the line.

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use thiserror::Error;

use super::error::{ChangeError, ValueError};
use super::identity::{RecordKey, RecordKind};
use super::record::{ClassRecord, Record, TenantRecord};
use crate::interface::{ClassSettings, Effect, Micros, TenantSettings};

/// An error in a configuration file, with its line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {reason}")]
pub struct ParseError {
    /// The file's name, as the operator gave it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, and what would be accepted.
    pub reason: String,
}

/// The records of a configuration file.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    /// The file's name, as the operator gave it.
    pub file: String,
    /// All records, in the file's order.
    pub records: Vec<Record>,
    /// The kinds that the file covers: records of these kinds that it does not contain are to be removed.
    pub covered_kinds: Vec<RecordKind>,
    /// The line of each record, from 1.
    pub lines: HashMap<RecordKey, usize>,
}

impl ConfigFile {
    /// Turns a version's rejection of the file's records into an error with the line of the record concerned, or line 1
    /// where the rejection concerns no single record.
    #[must_use]
    pub fn locate_error(&self, error: &ChangeError) -> ParseError {
        let key = match error {
            ChangeError::RecordNotFound(key)
            | ChangeError::DuplicateRecord(key)
            | ChangeError::DuplicateTenantBudget(key)
            | ChangeError::InvalidRecord { key, .. }
            | ChangeError::StillReferenced { key, .. } => Some(key),
            ChangeError::MissingReference { referrer, .. } => Some(referrer),
            _ => None,
        };
        let line = key.and_then(|key| self.lines.get(key)).copied().unwrap_or(1);
        ParseError { file: self.file.clone(), line, reason: error.to_string() }
    }
}

#[derive(Deserialize)]
struct TopLevel<'a> {
    #[serde(borrow)]
    settings: Option<&'a RawValue>,
    #[serde(borrow)]
    classes: Option<Vec<&'a RawValue>>,
    #[serde(borrow)]
    accounts: Option<Vec<&'a RawValue>>,
    domain: Option<DomainSection>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct DomainSection {
    class_calls: Option<Vec<Value>>,
    #[serde(rename = "worth-without")]
    weights_without_call: Option<Vec<Value>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "a class with name, aim-us, deadline-us, points and effect")]
struct ClassFile {
    name: String,
    #[serde(rename = "aim-us")]
    latency_objective_us: f64,
    #[serde(rename = "aim-stretch")]
    objective_stretch: Option<f64>,
    deadline_us: f64,
    #[serde(rename = "late-worth")]
    late_weight: Option<f64>,
    #[serde(rename = "points")]
    priority_weight: f64,
    effect: EffectFile,
    #[serde(rename = "memory-span-us")]
    repeat_window_us: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EffectFile {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
#[serde(
    rename_all = "kebab-case",
    expecting = "an account such as {\"name\": \"acme\", \"quota-per-s\": 20}"
)]
struct AccountFile {
    name: String,
    quota_per_s: Option<f64>,
}

/// Converts positions in a text to line numbers. Ascending positions cost one pass over the text in total.
struct LineCounter<'a> {
    text: &'a str,
    position: usize,
    line: usize,
}

impl LineCounter<'_> {
    /// The line on which a part of the text begins.
    fn line_of(&mut self, part: &str) -> usize {
        let offset = (part.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        let target = offset.min(self.text.len());
        if target < self.position {
            (self.position, self.line) = (0, 1);
        }
        let skipped = &self.text.as_bytes()[self.position..target];
        self.line += skipped.iter().filter(|byte| **byte == b'\n').count();
        self.position = target;
        self.line
    }
}

/// Parses the text of a configuration file; `file` is the name that errors show.
///
/// # Errors
/// [`ParseError`] for the first error.
pub fn parse(file: &str, text: &str) -> Result<ConfigFile, ParseError> {
    let mut parser = FileParser { file, lines: LineCounter { text, position: 0, line: 1 } };
    let mut top: TopLevel<'_> = parser.parse_part("", text)?;
    if let Some(settings) = top.settings {
        top = parser.parse_part("", settings.get())?;
    }
    let Some(classes) = top.classes else {
        return Err(
            parser.error_at(1, "has no \"classes\"; right would be a list of them, as in the settings")
        );
    };
    let mut result = ConfigFile {
        file: file.to_owned(),
        records: Vec::new(),
        covered_kinds: vec![RecordKind::Class],
        lines: HashMap::new(),
    };
    // A file without the key `accounts` does not remove the existing tenants.
    if top.accounts.is_some() {
        result.covered_kinds.push(RecordKind::Tenant);
    }
    parser.parse_classes(&mut result, &classes, &top.domain.unwrap_or_default())?;
    parser.parse_accounts(&mut result, &top.accounts.unwrap_or_default())?;
    Ok(result)
}

impl DomainSection {
    /// Whether the class at that index may call dependencies.
    fn may_call(&self, index: usize) -> bool {
        let value = self.class_calls.as_ref().and_then(|list| list.get(index));
        value.is_some_and(|value| value.as_bool().unwrap_or(value.as_f64() == Some(1.0)))
    }

    fn weight_without_call(&self, index: usize) -> f64 {
        let value = self.weights_without_call.as_ref().and_then(|list| list.get(index));
        value.and_then(Value::as_f64).unwrap_or(0.0)
    }
}

impl ClassFile {
    fn into_record(self, may_call: bool, weight_without_call: f64) -> Result<ClassRecord, ValueError> {
        let class = ClassSettings {
            latency_objective: duration("aim-us", self.latency_objective_us)?,
            deadline: duration("deadline-us", self.deadline_us)?,
            window: duration("memory-span-us", self.repeat_window_us.unwrap_or(0.0))?,
            name: self.name,
            objective_stretch: self.objective_stretch.unwrap_or(0.0),
            late_weight: self.late_weight.unwrap_or(0.0),
            priority_weight: self.priority_weight,
            effect: match self.effect {
                EffectFile::Retryable => Effect::Retryable,
                EffectFile::Dedup => Effect::Dedup,
                EffectFile::Fragile => Effect::Fragile,
            },
            may_call,
            weight_without_call,
            is_retired: false,
        };
        ClassRecord::try_from(&class)
    }
}

fn duration(field: &'static str, us: f64) -> Result<Micros, ValueError> {
    if us >= 0.0 {
        return Ok(Micros(us as u64));
    }
    Err(ValueError::new(field, format!("is {us}; it must be 0 us or more")))
}

/// The state of parsing one configuration file.
struct FileParser<'a> {
    file: &'a str,
    lines: LineCounter<'a>,
}

impl FileParser<'_> {
    fn error_at(&self, line: usize, reason: impl Into<String>) -> ParseError {
        ParseError { file: self.file.to_owned(), line, reason: reason.into() }
    }

    /// Deserializes a part of the text. `label` precedes the reason of an error; the error's line is relative to the file.
    fn parse_part<'b, T: Deserialize<'b>>(&mut self, label: &str, part: &'b str) -> Result<T, ParseError> {
        serde_json::from_str(part).map_err(|error| {
            let first_line = self.lines.line_of(part);
            let reason = error.to_string();
            // The position at the end of the reason is relative to the part.
            let reason = reason.rfind(" at line ").map_or(reason.as_str(), |end| &reason[..end]).to_owned();
            self.error_at(first_line + error.line().saturating_sub(1), format!("{label}{reason}"))
        })
    }

    fn parse_classes(
        &mut self,
        result: &mut ConfigFile,
        classes: &[&RawValue],
        domain: &DomainSection,
    ) -> Result<(), ParseError> {
        for (index, part) in classes.iter().enumerate() {
            let line = self.lines.line_of(part.get());
            let class: ClassFile = self.parse_part(&format!("class {index}: "), part.get())?;
            let record = class
                .into_record(domain.may_call(index), domain.weight_without_call(index))
                .map_err(|error| self.error_at(line, format!("class {index}: {error}")))?;
            self.add_record(result, line, Record::Class(record))?;
        }
        Ok(())
    }

    fn parse_accounts(&mut self, result: &mut ConfigFile, accounts: &[&RawValue]) -> Result<(), ParseError> {
        for (index, part) in accounts.iter().enumerate() {
            let line = self.lines.line_of(part.get());
            let account: AccountFile = self.parse_part(&format!("account {index}: "), part.get())?;
            let quota_per_s = account.quota_per_s.unwrap_or(0.0);
            let record = TenantRecord::try_from(&TenantSettings { name: account.name, quota_per_s })
                .map_err(|error| self.error_at(line, format!("account {index}: {error}")))?;
            self.add_record(result, line, Record::Tenant(record))?;
        }
        Ok(())
    }

    fn add_record(&self, result: &mut ConfigFile, line: usize, record: Record) -> Result<(), ParseError> {
        let key = record.key();
        if let Some(first) = result.lines.insert(key.clone(), line) {
            return Err(self.error_at(line, format!("{key} is there twice, first in line {first}")));
        }
        result.records.push(record);
        Ok(())
    }
}
