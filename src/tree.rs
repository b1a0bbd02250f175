//! An ordered map in one arena, for what is looked at at every event: no step is dearer than the logarithm of
//! what it holds, nothing is allocated once it has been as full before, and each subtree carries a summary, so
//! that a search can pass over what can't matter. A treap; its balance is drawn from a counter, so the same
//! steps give the same tree. No decision lives here.

use std::ops::Bound;

const NIL: u32 = u32::MAX;

/// What a subtree says of all that stands in it.
pub trait Summary<K, V>: Default {
    /// Made anew from a node and the summaries below it.
    fn gather(&mut self, key: &K, value: &V, left: Option<&Self>, right: Option<&Self>);
    /// One more stands in the subtree.
    fn add(&mut self, key: &K, value: &V);
}

impl<K, V> Summary<K, V> for () {
    fn gather(&mut self, _: &K, _: &V, _: Option<&()>, _: Option<&()>) {}
    fn add(&mut self, _: &K, _: &V) {}
}

#[derive(Debug)]
struct Node<K, V, S> {
    key: K,
    value: V,
    sum: S,
    rank: u32,
    left: u32,
    right: u32,
}

#[derive(Debug)]
pub struct Tree<K, V = (), S = ()> {
    nodes: Vec<Node<K, V, S>>,
    free: Vec<u32>,
    root: u32,
    drawn: u64,
}

impl<K, V, S> Default for Tree<K, V, S> {
    fn default() -> Self {
        Tree { nodes: Vec::new(), free: Vec::new(), root: NIL, drawn: 0 }
    }
}

/// A node while a search is under way.
pub struct View<'a, K, V, S> {
    tree: &'a Tree<K, V, S>,
    at: u32,
}

impl<K, V, S> Clone for View<'_, K, V, S> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<K, V, S> Copy for View<'_, K, V, S> {}

impl<'a, K, V, S> View<'a, K, V, S> {
    fn to(self, at: u32) -> Option<Self> {
        (at != NIL).then_some(View { tree: self.tree, at })
    }

    fn node(self) -> &'a Node<K, V, S> {
        &self.tree.nodes[self.at as usize]
    }

    pub fn left(self) -> Option<Self> {
        self.to(self.node().left)
    }

    pub fn right(self) -> Option<Self> {
        self.to(self.node().right)
    }

    pub fn key(self) -> &'a K {
        &self.node().key
    }

    pub fn value(self) -> &'a V {
        &self.node().value
    }

    /// Of this node and all below it.
    pub fn sum(self) -> &'a S {
        &self.node().sum
    }
}

impl<K: Copy + Ord, V: Copy, S: Summary<K, V>> Tree<K, V, S> {
    pub fn len(&self) -> usize {
        self.nodes.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.root == NIL
    }

    pub fn root(&self) -> Option<View<'_, K, V, S>> {
        View { tree: self, at: self.root }.to(self.root)
    }

    /// Gives what stood there before.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let before = self.remove(&key);
        // The finaliser of splitmix64, over a counter.
        self.drawn = self.drawn.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.drawn ^ (self.drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let rank = ((mixed ^ (mixed >> 27)) >> 16) as u32;
        let new = match self.free.pop() {
            Some(at) => {
                let node = &mut self.nodes[at as usize];
                (node.key, node.value, node.rank) = (key, value, rank);
                (node.left, node.right) = (NIL, NIL);
                at
            }
            None => {
                let sum = S::default();
                self.nodes.push(Node { key, value, sum, rank, left: NIL, right: NIL });
                (self.nodes.len() - 1) as u32
            }
        };
        self.gather(new);
        self.root = self.place(self.root, new);
        before
    }

    pub fn remove(&mut self, key: &K) -> Option<V> {
        let value = self.get(key)?;
        self.root = self.take(self.root, key);
        Some(value)
    }

    pub fn get(&self, key: &K) -> Option<V> {
        let mut at = self.root;
        while at != NIL {
            let node = &self.nodes[at as usize];
            at = match key.cmp(&node.key) {
                std::cmp::Ordering::Equal => return Some(node.value),
                std::cmp::Ordering::Less => node.left,
                std::cmp::Ordering::Greater => node.right,
            };
        }
        None
    }

    pub fn first(&self) -> Option<(K, V)> {
        self.next(Bound::Unbounded)
    }

    /// The first from this bound on.
    pub fn next(&self, from: Bound<&K>) -> Option<(K, V)> {
        let (mut at, mut best) = (self.root, None);
        while at != NIL {
            let node = &self.nodes[at as usize];
            let fits = match from {
                Bound::Unbounded => true,
                Bound::Included(k) => node.key >= *k,
                Bound::Excluded(k) => node.key > *k,
            };
            if fits {
                best = Some((node.key, node.value));
            }
            at = if fits { node.left } else { node.right };
        }
        best
    }

    /// All in order, each found from the one before.
    pub fn iter(&self) -> impl Iterator<Item = (K, V)> + '_ {
        let mut last: Option<K> = None;
        std::iter::from_fn(move || {
            let next = self.next(last.as_ref().map_or(Bound::Unbounded, Bound::Excluded))?;
            last = Some(next.0);
            Some(next)
        })
    }

    fn gather(&mut self, at: u32) {
        let node = &mut self.nodes[at as usize];
        let mut sum = std::mem::take(&mut node.sum);
        let node = &self.nodes[at as usize];
        let below = |at: u32| (at != NIL).then(|| &self.nodes[at as usize].sum);
        sum.gather(&node.key, &node.value, below(node.left), below(node.right));
        self.nodes[at as usize].sum = sum;
    }

    /// Puts a new node under this subtree; gives the subtree's root.
    fn place(&mut self, at: u32, new: u32) -> u32 {
        if at == NIL {
            return new;
        }
        let (key, value) = (self.nodes[new as usize].key, self.nodes[new as usize].value);
        let node = &self.nodes[at as usize];
        if self.nodes[new as usize].rank > node.rank {
            let (left, right) = self.split(at, &key);
            let node = &mut self.nodes[new as usize];
            (node.left, node.right) = (left, right);
            self.gather(new);
            return new;
        }
        if key < node.key {
            let child = self.place(node.left, new);
            self.nodes[at as usize].left = child;
        } else {
            let child = self.place(node.right, new);
            self.nodes[at as usize].right = child;
        }
        self.nodes[at as usize].sum.add(&key, &value);
        at
    }

    /// What stands below the key, and the rest.
    fn split(&mut self, at: u32, key: &K) -> (u32, u32) {
        if at == NIL {
            return (NIL, NIL);
        }
        let node = &self.nodes[at as usize];
        if node.key < *key {
            let (left, right) = self.split(node.right, key);
            self.nodes[at as usize].right = left;
            self.gather(at);
            (at, right)
        } else {
            let (left, right) = self.split(node.left, key);
            self.nodes[at as usize].left = right;
            self.gather(at);
            (left, at)
        }
    }

    fn take(&mut self, at: u32, key: &K) -> u32 {
        let node = &self.nodes[at as usize];
        match key.cmp(&node.key) {
            std::cmp::Ordering::Equal => {
                self.free.push(at);
                return self.merge(node.left, node.right);
            }
            std::cmp::Ordering::Less => {
                let child = self.take(node.left, key);
                self.nodes[at as usize].left = child;
            }
            std::cmp::Ordering::Greater => {
                let child = self.take(node.right, key);
                self.nodes[at as usize].right = child;
            }
        }
        self.gather(at);
        at
    }

    fn merge(&mut self, left: u32, right: u32) -> u32 {
        if left == NIL || right == NIL {
            return if left == NIL { right } else { left };
        }
        if self.nodes[left as usize].rank > self.nodes[right as usize].rank {
            let child = self.merge(self.nodes[left as usize].right, right);
            self.nodes[left as usize].right = child;
            self.gather(left);
            left
        } else {
            let child = self.merge(left, self.nodes[right as usize].left);
            self.nodes[right as usize].left = child;
            self.gather(right);
            right
        }
    }
}
