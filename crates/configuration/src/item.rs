//! Items of a configuration, each as the JSON text that was sent with its parsed value, and operations on lists of
//! them.

use crate::error::{invalid, InvalidConfiguration};
use crate::result_code::ResultCode;
use crate::schema::{Route, Service};
use crate::tenant::Tenant;
use serde_json::value::RawValue;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// An item that is identified by its name within its list.
pub trait HasName {
    /// The item's name.
    fn name(&self) -> &str;
}

impl HasName for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl HasName for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

impl HasName for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// A configuration item with the text that was sent and its parsed value. Items are equal if their texts are equal.
#[derive(Clone, Debug)]
pub struct ConfigurationItem<T> {
    /// JSON text as it was sent.
    pub raw: Arc<str>,
    /// Parsed value of the text.
    pub value: Arc<T>,
}

impl<T> PartialEq for ConfigurationItem<T> {
    fn eq(&self, other: &Self) -> bool {
        self.raw == other.raw
    }
}

impl<T: serde::de::DeserializeOwned> ConfigurationItem<T> {
    /// Parses an item from its JSON text.
    ///
    /// # Errors
    /// [`ResultCode::BadValue`] if the text is not a valid item of this type.
    pub fn read(raw: &str) -> Result<Self, InvalidConfiguration> {
        match serde_json::from_str(raw) {
            Ok(value) => Ok(Self {
                raw: raw.into(),
                value: Arc::new(value),
            }),
            Err(error) => invalid(ResultCode::BadValue, error.to_string()),
        }
    }
}

/// Parses a list of items.
///
/// # Errors
/// The error of [`ConfigurationItem::read`] for the first invalid item.
pub(crate) fn read_items<T: serde::de::DeserializeOwned>(
    raw_items: &[Box<RawValue>],
) -> Result<Vec<ConfigurationItem<T>>, InvalidConfiguration> {
    raw_items
        .iter()
        .map(|raw| ConfigurationItem::read(raw.get()))
        .collect()
}

/// Replaces items that have the name of a new one, and appends the other new items.
pub(crate) fn upsert_items<T: HasName>(
    list: &mut Vec<ConfigurationItem<T>>,
    new: Vec<ConfigurationItem<T>>,
) {
    let positions: HashMap<String, usize> = list
        .iter()
        .enumerate()
        .map(|(position, item)| (item.value.name().to_owned(), position))
        .collect();
    for item in new {
        match positions.get(item.value.name()) {
            Some(position) => list[*position] = item,
            None => list.push(item),
        }
    }
}

/// Removes the items with these names.
pub(crate) fn remove_items<T: HasName>(list: &mut Vec<ConfigurationItem<T>>, names: &[String]) {
    let names: HashSet<&str> = names.iter().map(String::as_str).collect();
    list.retain(|item| !names.contains(item.value.name()));
}

/// Returns the texts of added and changed items, and the names of removed ones.
pub(crate) fn diff_items<T: HasName>(
    old: &[ConfigurationItem<T>],
    new: &[ConfigurationItem<T>],
) -> (Vec<String>, Vec<String>) {
    let old_items: HashMap<&str, &ConfigurationItem<T>> =
        old.iter().map(|item| (item.value.name(), item)).collect();
    let new_names: HashSet<&str> = new.iter().map(|item| item.value.name()).collect();
    let changed = new.iter().filter(|item| {
        old_items
            .get(item.value.name())
            .is_none_or(|previous| previous.raw != item.raw)
    });
    let removed = old
        .iter()
        .filter(|item| !new_names.contains(item.value.name()));
    (
        changed.map(|item| item.raw.to_string()).collect(),
        removed.map(|item| item.value.name().to_owned()).collect(),
    )
}

/// Replaces unchanged items with those of `previous`, so that both configurations share their memory.
pub(crate) fn share_items<T: HasName>(
    items: &mut [ConfigurationItem<T>],
    previous: &[ConfigurationItem<T>],
) {
    let previous_items: HashMap<&str, &ConfigurationItem<T>> = previous
        .iter()
        .map(|item| (item.value.name(), item))
        .collect();
    for item in items {
        if let Some(unchanged) = previous_items
            .get(item.value.name())
            .filter(|known_item| known_item.raw == item.raw)
        {
            *item = ConfigurationItem {
                raw: unchanged.raw.clone(),
                value: unchanged.value.clone(),
            };
        }
    }
}

/// Bytes of JSON of the items that share no memory with `previous`.
pub(crate) fn unshared_bytes<T>(
    items: &[ConfigurationItem<T>],
    previous: &[ConfigurationItem<T>],
) -> usize {
    let previous_texts: HashSet<*const u8> =
        previous.iter().map(|item| item.raw.as_ptr()).collect();
    items
        .iter()
        .filter(|item| !previous_texts.contains(&item.raw.as_ptr()))
        .map(|item| item.raw.len())
        .sum()
}

/// Returns the first name that occurs a second time.
pub(crate) fn duplicate_name<T: HasName>(list: &[ConfigurationItem<T>]) -> Option<&str> {
    let mut seen = HashSet::new();
    list.iter()
        .map(|item| item.value.name())
        .find(|name| !seen.insert(*name))
}
