//! Which keys the elements of a site's lists have to have, each element by itself: no file before it says what is missing.
//!
//! Objects outside of lists are decoded into types that say the same of the keys that are read.

use crate::Complaint;
use serde_json::{Map, Value};

/// When a key has to be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Required,
    Optional,
    /// Where another key of the same element has this value.
    RequiredIf {
        key: &'static str,
        value: &'static str,
    },
}

/// One key of the elements of a list.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    pub name: &'static str,
    pub presence: Presence,
}

/// The elements of a list of objects.
#[derive(Clone, Copy, Debug)]
pub struct ListSchema {
    pub name: &'static str,
    pub keys: &'static [Key],
}

const fn required(name: &'static str) -> Key {
    Key { name, presence: Presence::Required }
}

const fn optional(name: &'static str) -> Key {
    Key { name, presence: Presence::Optional }
}

const fn for_keyed(name: &'static str) -> Key {
    Key { name, presence: Presence::RequiredIf { key: "repeat", value: "idempotency_key" } }
}

/// The list of endpoints, in the form in which discovery tells it too.
pub const MEMBERS: ListSchema = ListSchema {
    name: "members",
    keys: &[
        required("id"),
        required("host_port"),
        required("locality"),
        required("flavor"),
        required("cell"),
        required("phase"),
        required("size"),
        required("up_since_ms"),
    ],
};

/// The lists of objects in a settings object.
pub const SETTINGS: [ListSchema; 2] = [
    ListSchema {
        name: "categories",
        keys: &[
            required("name"),
            required("objective-ms"),
            required("deadline-ms"),
            required("late-worth"),
            required("repeat"),
            required("stream"),
            required("worth"),
            for_keyed("group"),
            for_keyed("window-ms"),
            optional("in-order"),
            optional("aim-stretch"),
        ],
    },
    ListSchema { name: "accounts", keys: &[required("name"), required("quota-per-s"), required("share")] },
];

impl Key {
    /// Whether this key is missing in an element.
    fn is_missing(&self, element: &Map<String, Value>) -> bool {
        let has_to_be = match self.presence {
            Presence::Required => true,
            Presence::Optional => false,
            Presence::RequiredIf { key, value } => element.get(key).and_then(Value::as_str) == Some(value),
        };
        has_to_be && !element.contains_key(self.name)
    }
}

/// Checks the elements of these lists of an object. A list that is not there is left to whoever decodes it.
///
/// # Errors
///
/// The first key that is missing, with its list and place.
pub fn check(object: &Value, lists: &[ListSchema]) -> Result<(), Complaint> {
    for list in lists {
        let elements = object.get(list.name).and_then(Value::as_array);
        for (at, element) in elements.into_iter().flatten().enumerate() {
            let Some(element) = element.as_object() else {
                return Err(format!("{}[{at}]: is no object", list.name));
            };
            if let Some(key) = list.keys.iter().find(|key| key.is_missing(element)) {
                return Err(format!("{}[{at}].{}: is missing", list.name, key.name));
            }
        }
    }
    Ok(())
}
