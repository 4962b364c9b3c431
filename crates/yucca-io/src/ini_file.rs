//! Strict reader for INI files: unknown sections and keys and malformed values are errors.

use std::fmt::Display;
use std::str::FromStr;

use ini::{Ini, Properties};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};

/// A parsed INI file, with the file name for error messages.
pub struct IniFile {
    name: String,
    ini: Ini,
}

/// A section of an [`IniFile`].
#[derive(Clone, Copy)]
pub struct Section<'a> {
    file: &'a str,
    name: &'a str,
    properties: &'a Properties,
}

impl IniFile {
    /// Parses `text`; `name` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsUnreadable`] if the text is not valid INI, [`Code::SettingsUnknownKey`] if a
    /// key precedes the first section.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| Error::new(Code::SettingsUnreadable, format!("{name}: {e}")))?;
        // The INI parser reads a section name up to the next ']', even across lines.
        if ini
            .sections()
            .flatten()
            .any(|section| section.contains('\n'))
        {
            let detail = format!("{name}: section header without ']' on its line");
            return Err(Error::new(Code::SettingsUnreadable, detail));
        }
        if let Some((key, _)) = ini.general_section().iter().next() {
            let detail = format!("{name}: {key}: expected a section before the first key");
            return Err(Error::new(Code::SettingsUnknownKey, detail));
        }
        Ok(Self {
            name: name.to_owned(),
            ini,
        })
    }

    /// All sections in file order; a section that occurs twice is returned twice.
    pub fn sections(&self) -> impl Iterator<Item = Section<'_>> {
        self.ini.iter().filter_map(|(name, properties)| {
            Some(Section {
                file: &self.name,
                name: name?,
                properties,
            })
        })
    }
}

impl<'a> Section<'a> {
    /// Full name of the section, such as `host entry-1`.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Splits a section name such as `host entry-1` into kind and name. The name is empty for a
    /// section such as `[fleet]`.
    pub fn kind_and_name(&self) -> (&'a str, &'a str) {
        self.name.split_once(' ').unwrap_or((self.name, ""))
    }

    /// Checks that every key is one of `expected` and occurs only once.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsBadValue`] for a key that occurs twice, [`Code::SettingsUnknownKey`] for the
    /// first unknown key.
    pub fn expect_keys(&self, expected: &[&str]) -> Result<()> {
        for key in expected {
            if self.properties.get_all(key).count() > 1 {
                return Err(self.error(Code::SettingsBadValue, key, &"expected one value"));
            }
        }
        match self
            .properties
            .iter()
            .find(|(key, _)| !expected.contains(key))
        {
            None => Ok(()),
            Some((key, _)) => Err(self.error(
                Code::SettingsUnknownKey,
                key,
                &format!("expected one of {}", expected.join(", ")),
            )),
        }
    }

    /// Parses the value of `key`. `expected` describes a valid value in error messages.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsMissing`] if the key is absent, [`Code::SettingsBadValue`] if its value
    /// cannot be parsed.
    pub fn required<T: FromStr>(&self, key: &str, expected: &str) -> Result<T> {
        match self.optional(key, expected)? {
            Some(value) => Ok(value),
            None => Err(self.error(Code::SettingsMissing, key, &format!("expected {expected}"))),
        }
    }

    /// Parses the value of `key`, or returns `None` if the key is absent. `expected` describes a
    /// valid value in error messages.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsBadValue`] if the value cannot be parsed.
    pub fn optional<T: FromStr>(&self, key: &str, expected: &str) -> Result<Option<T>> {
        let Some(text) = self.properties.get(key) else {
            return Ok(None);
        };
        match text.trim().parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.error(
                Code::SettingsBadValue,
                key,
                &format!("expected {expected}, found {text:?}"),
            )),
        }
    }

    /// Creates an error whose message names the file, the section and `key`.
    pub fn error(&self, code: Code, key: &str, detail: &impl Display) -> Error {
        Error::new(
            code,
            format!("{}: [{}] {key}: {detail}", self.file, self.name),
        )
    }
}
