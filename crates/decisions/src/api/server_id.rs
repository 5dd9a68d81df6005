//! The identity of a server: the name that discovery gives it.

use std::fmt;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Id of a server: the name that discovery gives it, stable across restarts of the server's process.
///
/// Ids are equal only if their names are, so nothing that is kept under the id of one server is ever found under
/// another's. The hash serves the Maglev table alone: servers whose hashes are equal are ordered by their names, so
/// all nodes with the same servers build the same table, whatever they have known before.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId {
    table_hash: u32,
    name: Arc<str>,
}

impl ServerId {
    /// Creates the id of the server with this name.
    pub fn new(name: &str) -> Self {
        ServerId::with_table_hash(name, xxh3_64(name.as_bytes()) as u32)
    }

    /// Creates the id of a server that is known by a number, which is also its hash in the table.
    pub fn from_number(number: u32) -> Self {
        ServerId::with_table_hash(&number.to_string(), number)
    }

    /// Creates an id with a given hash. All ids of one name must have the same hash, at all nodes.
    pub fn with_table_hash(name: &str, table_hash: u32) -> Self {
        ServerId { table_hash, name: name.into() }
    }

    /// The name of the server.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Hash that determines in which order the server claims slots of the Maglev table. Several servers may have it.
    pub fn table_hash(&self) -> u32 {
        self.table_hash
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)
    }
}
