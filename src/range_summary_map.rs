//! An ordered map that maintains summaries over ranges of its entries.
//!
//! Implemented as a treap in an arena. Lookups, insertions and removals take logarithmic time on average, and don't
//! allocate as long as the map holds no more entries than it has held before. Each subtree carries a [`Summary`], so
//! that a search can skip ranges that can't contain a match. Node priorities are derived from a counter, so the same
//! sequence of operations always builds the same tree.

use std::cmp::Ordering;
use std::ops::Bound;

/// Index of a missing child.
const NIL: u32 = u32::MAX;

/// A summary of all entries of a subtree.
pub trait Summary<K, V>: Default {
    /// Recomputes the summary of a node from its own entry and the summaries of its children.
    fn recompute(&mut self, key: &K, value: &V, left: Option<&Self>, right: Option<&Self>);
    /// Updates the summary for an entry that is added to the subtree.
    fn add(&mut self, key: &K, value: &V);
}

impl<K, V> Summary<K, V> for () {
    fn recompute(&mut self, _: &K, _: &V, _: Option<&()>, _: Option<&()>) {}
    fn add(&mut self, _: &K, _: &V) {}
}

#[derive(Debug)]
struct Node<K, V, S> {
    key: K,
    value: V,
    summary: S,
    /// Heap order: never lower than the priorities of the children.
    priority: u32,
    left: u32,
    right: u32,
}

/// An ordered map from `K` to `V` with a summary `S` of each subtree. With the default `V` it is an ordered set.
#[derive(Debug)]
pub struct RangeSummaryMap<K, V = (), S = ()> {
    nodes: Vec<Node<K, V, S>>,
    free: Vec<u32>,
    root: u32,
    priority_counter: u64,
}

impl<K, V, S> Default for RangeSummaryMap<K, V, S> {
    fn default() -> Self {
        RangeSummaryMap { nodes: Vec::new(), free: Vec::new(), root: NIL, priority_counter: 0 }
    }
}

/// A node of the tree, for searches that use the summaries.
pub struct NodeView<'a, K, V, S> {
    map: &'a RangeSummaryMap<K, V, S>,
    index: u32,
}

impl<K, V, S> Clone for NodeView<'_, K, V, S> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<K, V, S> Copy for NodeView<'_, K, V, S> {}

impl<'a, K, V, S> NodeView<'a, K, V, S> {
    fn at(self, index: u32) -> Option<Self> {
        (index != NIL).then_some(NodeView { map: self.map, index })
    }

    fn node(self) -> &'a Node<K, V, S> {
        &self.map.nodes[self.index as usize]
    }

    /// The subtree with the smaller keys.
    pub fn left(self) -> Option<Self> {
        self.at(self.node().left)
    }

    /// The subtree with the larger keys.
    pub fn right(self) -> Option<Self> {
        self.at(self.node().right)
    }

    /// The key of this node's own entry.
    pub fn key(self) -> &'a K {
        &self.node().key
    }

    /// The value of this node's own entry.
    pub fn value(self) -> &'a V {
        &self.node().value
    }

    /// The summary of this node and all nodes below it.
    pub fn summary(self) -> &'a S {
        &self.node().summary
    }
}

impl<K: Copy + Ord, V: Copy, S: Summary<K, V>> RangeSummaryMap<K, V, S> {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.nodes.len() - self.free.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.root == NIL
    }

    /// The root of the tree, where searches begin.
    pub fn root(&self) -> Option<NodeView<'_, K, V, S>> {
        NodeView { map: self, index: self.root }.at(self.root)
    }

    /// Inserts an entry and returns the value that it replaces, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let replaced = self.remove(&key);
        let priority = self.next_priority();
        let new = match self.free.pop() {
            Some(index) => {
                let node = &mut self.nodes[index as usize];
                (node.key, node.value, node.priority) = (key, value, priority);
                (node.left, node.right) = (NIL, NIL);
                index
            }
            None => {
                let summary = S::default();
                self.nodes.push(Node { key, value, summary, priority, left: NIL, right: NIL });
                (self.nodes.len() - 1) as u32
            }
        };
        self.update_summary(new);
        self.root = self.insert_into(self.root, new);
        replaced
    }

    /// Generates pseudo-random priorities by a shortened splitmix64.
    fn next_priority(&mut self) -> u32 {
        self.priority_counter = self.priority_counter.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let counter = self.priority_counter;
        let mixed = (counter ^ (counter >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((mixed ^ (mixed >> 27)) >> 16) as u32
    }

    /// Removes an entry and returns its value, if the key is present.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let value = self.get(key)?;
        self.root = self.remove_from(self.root, key);
        Some(value)
    }

    /// The value stored for this key.
    pub fn get(&self, key: &K) -> Option<V> {
        let mut index = self.root;
        while index != NIL {
            let node = &self.nodes[index as usize];
            index = match key.cmp(&node.key) {
                Ordering::Equal => return Some(node.value),
                Ordering::Less => node.left,
                Ordering::Greater => node.right,
            };
        }
        None
    }

    /// The entry with the smallest key.
    pub fn first(&self) -> Option<(K, V)> {
        self.next(Bound::Unbounded)
    }

    /// The entry with the smallest key at or after the lower bound `from`.
    pub fn next(&self, from: Bound<&K>) -> Option<(K, V)> {
        let (mut index, mut next) = (self.root, None);
        while index != NIL {
            let node = &self.nodes[index as usize];
            let in_range = match from {
                Bound::Unbounded => true,
                Bound::Included(bound) => node.key >= *bound,
                Bound::Excluded(bound) => node.key > *bound,
            };
            if in_range {
                next = Some((node.key, node.value));
            }
            index = if in_range { node.left } else { node.right };
        }
        next
    }

    /// Iterates over all entries in key order. Each step searches from the root, in logarithmic time on average.
    pub fn iter(&self) -> impl Iterator<Item = (K, V)> + '_ {
        let mut last: Option<K> = None;
        std::iter::from_fn(move || {
            let next = self.next(last.as_ref().map_or(Bound::Unbounded, Bound::Excluded))?;
            last = Some(next.0);
            Some(next)
        })
    }

    fn update_summary(&mut self, index: u32) {
        // Moved out and back, so that the buffers of the summary are reused.
        let mut summary = std::mem::take(&mut self.nodes[index as usize].summary);
        let node = &self.nodes[index as usize];
        let child = |index: u32| (index != NIL).then(|| &self.nodes[index as usize].summary);
        summary.recompute(&node.key, &node.value, child(node.left), child(node.right));
        self.nodes[index as usize].summary = summary;
    }

    /// Inserts the node `new` into the subtree at `index` and returns the new root of the subtree.
    fn insert_into(&mut self, index: u32, new: u32) -> u32 {
        if index == NIL {
            return new;
        }
        let (key, value) = (self.nodes[new as usize].key, self.nodes[new as usize].value);
        let node = &self.nodes[index as usize];
        if self.nodes[new as usize].priority > node.priority {
            let (left, right) = self.split(index, &key);
            let node = &mut self.nodes[new as usize];
            (node.left, node.right) = (left, right);
            self.update_summary(new);
            return new;
        }
        if key < node.key {
            let child = self.insert_into(node.left, new);
            self.nodes[index as usize].left = child;
        } else {
            let child = self.insert_into(node.right, new);
            self.nodes[index as usize].right = child;
        }
        self.nodes[index as usize].summary.add(&key, &value);
        index
    }

    /// Splits a subtree into the nodes with smaller keys than `key` and the rest. Returns both roots.
    fn split(&mut self, index: u32, key: &K) -> (u32, u32) {
        if index == NIL {
            return (NIL, NIL);
        }
        let node = &self.nodes[index as usize];
        if node.key < *key {
            let (left, right) = self.split(node.right, key);
            self.nodes[index as usize].right = left;
            self.update_summary(index);
            (index, right)
        } else {
            let (left, right) = self.split(node.left, key);
            self.nodes[index as usize].left = right;
            self.update_summary(index);
            (left, index)
        }
    }

    /// Removes the node of this key, which must be present, and returns the new root of the subtree.
    fn remove_from(&mut self, index: u32, key: &K) -> u32 {
        let node = &self.nodes[index as usize];
        match key.cmp(&node.key) {
            Ordering::Equal => {
                self.free.push(index);
                return self.merge(node.left, node.right);
            }
            Ordering::Less => {
                let child = self.remove_from(node.left, key);
                self.nodes[index as usize].left = child;
            }
            Ordering::Greater => {
                let child = self.remove_from(node.right, key);
                self.nodes[index as usize].right = child;
            }
        }
        self.update_summary(index);
        index
    }

    /// Merges two subtrees, where all keys of `left` are smaller than those of `right`, and returns the root.
    fn merge(&mut self, left: u32, right: u32) -> u32 {
        if left == NIL || right == NIL {
            return if left == NIL { right } else { left };
        }
        if self.nodes[left as usize].priority > self.nodes[right as usize].priority {
            let child = self.merge(self.nodes[left as usize].right, right);
            self.nodes[left as usize].right = child;
            self.update_summary(left);
            left
        } else {
            let child = self.merge(left, self.nodes[right as usize].left);
            self.nodes[right as usize].left = child;
            self.update_summary(right);
            right
        }
    }
}
