//! The software version that began a stream, so that only servers of this version continue it.
//!
//! Servers of several software versions may serve side by side. What two versions write does not
//! fit together. A node that begins a stream keeps its origin and sends copies to a few other nodes,
//! which the node that resumes the stream queries.
//!
//! | module | responsibility |
//! |---|---|
//! | `key` | identifies a stream |
//! | `origin` | names the service and the software version that began a stream |
//! | `registry` | keeps the origins of streams |
//! | `record` | describes a kept origin, to be sent to other nodes |
//! | `replication` | tracks which other nodes hold a copy of a record |
//! | `recovery` | recovers the copies that a node should hold after its start |
//! | `batch` | packs records into datagrams |
//! | `archive` | plans the rows in which records outlast a restart of all nodes |
//! | `possible` | lists the origins that a stream of unknown origin may have |
//! | `answer` | defines a node's knowledge of a stream's origin |
//! | `decision` | decides which servers may continue a stream |

mod answer;
mod archive;
mod batch;
mod decision;
mod key;
mod origin;
mod possible;
mod record;
mod recovery;
mod registry;
mod replication;

pub use self::answer::Answer;
pub use self::archive::{
    Archive, ArchivedRow, MAX_SEGMENT_AGE_MS, MAX_SEGMENT_RECORDS, SHARDS, Shard,
    get_write_interval,
};
pub use self::batch::{Batch, MAX_BATCHED_STREAMS, Stream};
pub use self::decision::{Decision, decide, decide_archived, decide_confirmed};
pub use self::key::Key;
pub use self::origin::Origin;
pub use self::possible::PossibleOrigins;
pub use self::record::{Record, Standing};
pub use self::recovery::Recovery;
pub use self::registry::{MAX_RECORDS, Registry};
pub use self::replication::{COPIES, HolderId};
