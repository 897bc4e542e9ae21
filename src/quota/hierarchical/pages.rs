//! The stored form of a quota tree: a head record, and pages of nodes that each fit in one value.

use std::collections::BTreeMap;

use hierarchical_quota::{NodeSpec, TreeSpec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::TREE_PAGES_PREFIX;
use crate::types::Revision;

/// The fraction of the largest value that a page may fill. The remainder is a margin below the
/// store's limit.
const PAGE_FILL: f64 = 0.9;

/// Number of bytes of the hash in a tree's keys and head. Together with the revision they only
/// have to tell apart a few trees that operators wrote.
const HASH_BYTES: usize = 8;

/// The head record: the active tree, and the pages that it consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// The revision in the operator's file. The tree with the highest revision is active.
    pub(super) revision: u64,
    /// Hash of the nodes, see [`hash_nodes`].
    pub(super) hash: String,
    /// Number of pages.
    pub(super) pages: u32,
    /// How long a team's previous demand still counts after it has fallen, in milliseconds.
    pub(super) hold_ms: u64,
    /// Whether the tree applies; if not, quotas are flat.
    pub(super) enabled: bool,
}

impl Head {
    /// Prefix of the keys of this tree's pages.
    pub(super) fn page_prefix(&self) -> String {
        format!("{TREE_PAGES_PREFIX}{}-{}/", self.revision, self.hash)
    }

    /// The key of a page. Its revision and hash determine the content, so a page never changes.
    pub(super) fn page_key(&self, page: u32) -> String {
        format!("{}{page}", self.page_prefix())
    }
}

/// A tree split into pages.
#[derive(Clone, Debug)]
pub(super) struct PagedTree {
    /// The head record to write after the pages.
    pub(super) head: Head,
    /// The pages' JSON texts, in order.
    pages: Vec<String>,
}

impl PagedTree {
    /// Splits a tree into pages for a store whose values have at most `value_kb` KiB. A node that
    /// alone exceeds that gets a page of its own.
    pub(super) fn new(spec: &TreeSpec, value_kb: f64) -> Self {
        let max_bytes = (value_kb * 1024.0 * PAGE_FILL) as usize;
        let pages = split_into_pages(&spec.nodes, max_bytes);
        let head = Head {
            revision: spec.revision,
            hash: hash_nodes(&spec.nodes),
            pages: pages.len() as u32,
            hold_ms: (spec.hold_s * 1e3) as u64,
            enabled: spec.enabled,
        };
        Self { head, pages }
    }

    /// The pages with their keys.
    pub(super) fn keyed_pages(&self) -> impl Iterator<Item = (String, &String)> {
        (0..)
            .zip(&self.pages)
            .map(|(page, text)| (self.head.page_key(page), text))
    }
}

fn split_into_pages(nodes: &[NodeSpec], max_bytes: usize) -> Vec<String> {
    let mut pages = Vec::new();
    let mut page = String::from("[");
    for node in nodes {
        // Cannot fail: a node's JSON form has only text keys.
        let text = serde_json::to_string(node).unwrap_or_default();
        let is_empty = page.len() == 1;
        if !is_empty && page.len() + text.len() + 2 > max_bytes {
            pages.push(std::mem::replace(&mut page, "[".into()) + "]");
        }
        if page.len() > 1 {
            page.push(',');
        }
        page.push_str(&text);
    }
    pages.push(page + "]");
    pages
}

/// The first [`HASH_BYTES`] bytes of the SHA-256 of the nodes, in hexadecimal. It is computed from
/// their canonical JSON and not from the pages' text, because the store keeps JSON values and may
/// return them with different spacing or key order.
pub(super) fn hash_nodes(nodes: &[NodeSpec]) -> String {
    let mut hash = Sha256::new();
    for node in nodes {
        hash.update(serde_json::to_vec(node).unwrap_or_default());
        hash.update([0]);
    }
    let bytes = hash.finalize();
    bytes[..HASH_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// A page as it was read from the store.
#[derive(Clone, Debug)]
pub(super) struct StoredPage {
    /// The page's nodes as JSON, with the store's spacing and key order.
    pub(super) text: String,
    /// The version of the page's record.
    pub(super) version: Revision,
}

/// The pages that are in the store, those of replaced trees among them.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredPages {
    /// The pages by their keys.
    pub(super) by_key: BTreeMap<String, StoredPage>,
}

impl StoredPages {
    /// The version of a page's record; 0 if it is not in the store.
    pub(super) fn version(&self, key: &str) -> Revision {
        let page = self.by_key.get(key);
        page.map(|page| page.version).unwrap_or_default()
    }

    /// Applies a watch event: the new content of a page, or `None` if it was deleted.
    pub(super) fn apply(&mut self, key: &str, data: Option<&str>, version: Revision) {
        if self.version(key) >= version {
            return;
        }
        match data {
            Some(text) => {
                let text = text.into();
                self.by_key.insert(key.into(), StoredPage { text, version });
            }
            None => {
                self.by_key.remove(key);
            }
        }
    }

    /// The JSON texts of a tree's pages in order, or `None` if some are not in the store yet.
    pub(super) fn page_texts(&self, head: &Head) -> Option<Vec<&str>> {
        (0..head.pages)
            .map(|page| Some(self.by_key.get(&head.page_key(page))?.text.as_str()))
            .collect()
    }

    /// The keys of pages of trees that the tree of this head has replaced, and of pages with an
    /// invalid key. Pages of a higher revision are kept because their tree is being written.
    pub(super) fn obsolete<'a>(
        &'a self,
        head: Option<&'a Head>,
    ) -> impl Iterator<Item = &'a String> {
        self.by_key.keys().filter(move |key| {
            let revision = key
                .strip_prefix(TREE_PAGES_PREFIX)
                .and_then(|suffix| suffix.split('-').next())
                .and_then(|text| text.parse::<u64>().ok());
            head.is_some_and(|head| {
                revision.is_none_or(|revision| revision <= head.revision)
                    && !key.starts_with(&head.page_prefix())
            })
        })
    }
}
