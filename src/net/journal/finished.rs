//! The ids of messages that ended recently, so that one that is handed in again is not accepted a second time.

use std::collections::{HashMap, VecDeque};
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};

/// Maximum size of one id in a compacted journal: its hash and how the message ended. Bytes.
const ENTRY_BYTES: u64 = 17;

/// How an accepted message ended, as far as it matters when its id is handed in again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// It was delivered, or another sender is responsible for it.
    Accepted,
    /// It was not delivered and may have run.
    Failed,
}

/// Hash of a `Req-Id`. An id may be long; 128 bits do not collide by chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct IdHash([u8; 16]);

impl IdHash {
    fn of(id: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(id.as_bytes());
        Self(hasher.finish128().as_bytes())
    }
}

/// The ids of finished messages, the oldest first, as a journal holds them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FinishedList(Vec<(IdHash, Finish)>);

/// The ids of messages that ended recently. The oldest are dropped beyond a fixed number: time plays no part,
/// since the clock may be stepped between two processes.
#[derive(Debug)]
pub struct FinishedIds {
    ends: HashMap<IdHash, Finish>,
    /// In the order of their ends; each is also a key of `ends`.
    order: VecDeque<IdHash>,
    max_ids: usize,
}

impl FinishedIds {
    /// An empty set whose ids take at most this many bytes in a compacted journal.
    pub fn within(bytes: u64) -> Self {
        let max_ids = usize::try_from(bytes / ENTRY_BYTES).unwrap_or(usize::MAX).max(1);
        Self { ends: HashMap::new(), order: VecDeque::new(), max_ids }
    }

    /// Remembers how the message with this id ended.
    pub fn insert(&mut self, id: &str, finish: Finish) {
        self.insert_hash(IdHash::of(id), finish);
    }

    fn insert_hash(&mut self, id: IdHash, finish: Finish) {
        if self.ends.insert(id, finish).is_some() {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > self.max_ids
            && let Some(oldest) = self.order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// How the message with this id ended, if that is remembered.
    pub fn get(&self, id: &str) -> Option<Finish> {
        self.ends.get(&IdHash::of(id)).copied()
    }

    /// All ids, as a journal holds them.
    pub fn list(&self) -> FinishedList {
        FinishedList(self.order.iter().filter_map(|id| Some((*id, *self.ends.get(id)?))).collect())
    }

    /// Remembers the ids of a list.
    pub fn extend(&mut self, list: FinishedList) {
        list.0.into_iter().for_each(|(id, finish)| self.insert_hash(id, finish));
    }
}
