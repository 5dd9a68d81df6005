//! Sources of server lists: the watch on discovery, the calls that open it, and the merge of several sources
//! into one list for a pool.

pub mod discovery;
pub mod merged_sources;
mod objects;
pub mod subscription;
pub mod watch;
