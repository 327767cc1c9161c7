//! The node's copy of the names' records, indexed by hash, by name and by native job.

use super::ids;
use super::names::{Head, NameHash};
use super::query::Page;
use pearford_scheduler::extension::View;
use pearford_scheduler::types::JobId;
use serde_json::Value;
use std::collections::BTreeMap;

/// A job's name within its namespace; ordered by namespace first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QualifiedName {
    namespace: String,
    name: String,
}

/// A page of a list.
pub struct ListPage {
    /// The elements for the names on this page.
    pub elements: Vec<Value>,
    /// Token of the next page, if there is one.
    pub next_token: Option<String>,
}

/// The name that an id refers to.
pub struct IdentifiedName<'a> {
    /// The name's record.
    pub head: &'a Head,
    /// The parsed id.
    pub id: ids::Id,
}

/// Names' records, indexed by hash, by name and by the native jobs that run them.
#[derive(Debug)]
pub struct NameIndex {
    heads: BTreeMap<NameHash, Head>,
    by_name: BTreeMap<QualifiedName, NameHash>,
    /// The name that each native job runs a part of.
    owners: BTreeMap<JobId, NameHash>,
    /// The largest revision of any name's or native job's record.
    newest_revision: u64,
}

impl Default for NameIndex {
    /// An empty index. The newest revision starts at 1 because blocking queries with index 0 don't wait.
    fn default() -> Self {
        Self { heads: BTreeMap::new(), by_name: BTreeMap::new(), owners: BTreeMap::new(), newest_revision: 1 }
    }
}

impl NameIndex {
    /// Number of names with a record, purged names included.
    pub fn len(&self) -> usize {
        self.heads.len()
    }

    /// The largest revision of any name's or native job's record; lists report it as their index.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// All names' records, purged names included.
    pub fn heads(&self) -> &BTreeMap<NameHash, Head> {
        &self.heads
    }

    /// The name that a native job runs a part of.
    pub fn owner(&self, job: &JobId) -> Option<&NameHash> {
        self.owners.get(job)
    }

    /// The namespaces that contain names, sorted and without duplicates.
    pub fn namespaces(&self) -> Vec<String> {
        let mut namespaces: Vec<String> = self.by_name.keys().map(|key| key.namespace.clone()).collect();
        namespaces.dedup();
        namespaces
    }

    /// Inserts or replaces a name's record.
    pub fn insert(&mut self, view: &View<'_>, hash: &NameHash, revision: u64, head: Head) {
        self.newest_revision = self.newest_revision.max(revision);
        if let Some(previous) = self.heads.get(hash) {
            for job in previous.jobs() {
                self.owners.remove(job);
            }
        }
        for job in head.jobs() {
            self.owners.insert(job.clone(), hash.clone());
            // A job's record may have been read before the name's record. Its revision counts here too, so
            // that this node's lists don't report an older index than other nodes have reported.
            self.newest_revision = self.newest_revision.max(job_revision(view, job));
        }
        let key = QualifiedName { namespace: head.namespace.clone(), name: head.name.clone() };
        self.by_name.insert(key, hash.clone());
        self.heads.insert(hash.clone(), head);
    }

    /// Updates the newest revision after a native job's record changed.
    pub fn job_changed(&mut self, view: &View<'_>, job: &JobId) {
        self.newest_revision = self.newest_revision.max(job_revision(view, job));
    }

    /// The record of a name in the first of `namespaces`, unless it is purged.
    pub fn find(&self, namespaces: &[String], name: &str) -> Option<&Head> {
        let namespace = namespaces.first()?;
        self.heads.get(&NameHash::of(namespace, name)).filter(|head| !head.purged)
    }

    /// The name that an id refers to, if it is in one of the namespaces and the id's version is not newer
    /// than its newest version.
    pub fn find_by_id(&self, namespaces: &[String], id: &str) -> Option<IdentifiedName<'_>> {
        let id = ids::parse(id)?;
        let (hash, head) = self.heads.range(NameHash::beginning(&id.hash)..).next()?;
        if !hash.as_str().starts_with(&id.hash) {
            return None;
        }
        let visible = namespaces.contains(&head.namespace) && u64::from(id.version) <= head.version;
        visible.then_some(IdentifiedName { head, id })
    }

    /// A page of the elements that `show` returns for each name in the namespaces.
    pub fn list(&self, namespaces: &[String], page: &Page, show: impl Fn(&Head) -> Vec<Value>) -> ListPage {
        let mut elements = Vec::new();
        for namespace in namespaces {
            // The token is the namespace and name of the first element that did not fit on the previous page.
            let first_name = page.from.strip_prefix(namespace).and_then(|rest| rest.strip_prefix('/'));
            let first = QualifiedName {
                namespace: namespace.clone(),
                name: first_name.unwrap_or_default().to_string(),
            };
            let names = self.by_name.range(first..).take_while(|(key, _)| key.namespace == *namespace);
            for (key, hash) in names {
                let token = format!("{}/{}", key.namespace, key.name);
                if !key.name.starts_with(&page.prefix) || token < page.from {
                    continue;
                }
                let Some(head) = self.heads.get(hash).filter(|head| !head.purged) else { continue };
                if elements.len() >= page.most {
                    return ListPage { elements, next_token: Some(token) };
                }
                elements.extend(show(head));
            }
        }
        ListPage { elements, next_token: None }
    }
}

/// Revision of a native job's record; 0 if there is none.
fn job_revision(view: &View<'_>, job: &JobId) -> u64 {
    view.jobs.get(job).map_or(0, |known| known.revision.0)
}
