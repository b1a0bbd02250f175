//! The queue: what has been read and not begun, in order of due time, with running figures of every stretch of
//! it, so that neither its cost nor the question who can't be in time needs a pass over all. No decision
//! lives here: the module says what it asks for.

use crate::tree::{Summary, Tree, View};
use crate::types::RequestId;
use std::time::Duration;

pub type Place = (Duration, RequestId);

#[derive(Clone, Copy, Debug)]
struct Held {
    class: usize,
    worth: f64,
}

/// Of a stretch: how many of each product, the earliest due time of each, and the place of the least worth.
#[derive(Debug, Default)]
struct Stretch {
    of_class: Vec<(u32, Duration)>,
    least: Option<(f64, Place)>,
}

impl Summary<Place, Held> for Stretch {
    fn gather(&mut self, key: &Place, value: &Held, left: Option<&Self>, right: Option<&Self>) {
        let below = [left, right];
        let classes = below.iter().flatten().map(|s| s.of_class.len()).fold(value.class + 1, usize::max);
        self.of_class.resize(classes, NONE);
        for (i, sum) in self.of_class.iter_mut().enumerate() {
            let of = |s: Option<&Self>| s.and_then(|s| s.of_class.get(i)).copied().unwrap_or(NONE);
            let (l, r) = (of(left), of(right));
            *sum = (l.0 + r.0, l.1.min(r.1));
        }
        self.least = None;
        // Left before the node before right: of those of equal worth the first one stands.
        self.lessen(left.and_then(|s| s.least));
        self.add(key, value);
        self.lessen(right.and_then(|s| s.least));
    }

    fn add(&mut self, key: &Place, value: &Held) {
        if self.of_class.len() <= value.class {
            self.of_class.resize(value.class + 1, NONE);
        }
        let own = &mut self.of_class[value.class];
        *own = (own.0 + 1, own.1.min(key.0));
        self.lessen(Some((value.worth, *key)));
    }
}

/// Nothing of a product.
const NONE: (u32, Duration) = (0, Duration::MAX);

impl Stretch {
    /// Takes this place for the least where it is less, or as little and before.
    fn lessen(&mut self, other: Option<(f64, Place)>) {
        let Some((worth, place)) = other else { return };
        let less = |(least, at): (f64, Place)| worth.total_cmp(&least).then(place.cmp(&at)).is_lt();
        if self.least.is_none_or(less) {
            self.least = Some((worth, place));
        }
    }

    fn cost(&self, run: &impl Fn(usize) -> f64) -> f64 {
        self.of_class.iter().enumerate().map(|(i, (n, _))| f64::from(*n) * run(i)).sum()
    }
}

type Node<'a> = View<'a, Place, Held, Stretch>;

#[derive(Debug, Default)]
pub struct Queue {
    tree: Tree<Place, Held, Stretch>,
}

impl Queue {
    pub fn insert(&mut self, place: Place, class: usize, worth: f64) {
        self.tree.insert(place, Held { class, worth });
    }

    pub fn remove(&mut self, place: Place) {
        self.tree.remove(&place);
    }

    pub fn first(&self) -> Option<Place> {
        self.tree.first().map(|(place, _)| place)
    }

    pub fn len(&self) -> usize {
        self.tree.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tree.is_empty()
    }

    /// What all of it takes, `run` for each.
    pub fn cost(&self, run: impl Fn(usize) -> f64) -> f64 {
        self.tree.root().map_or(0.0, |node| node.sum().cost(&run))
    }

    /// The least worth among those up to this place, the earliest of equals.
    pub fn least_to(&self, place: Place) -> Option<Place> {
        let (mut at, mut least): (Option<Node>, Option<(f64, Place)>) = (self.tree.root(), None);
        while let Some(node) = at {
            if *node.key() > place {
                at = node.left();
                continue;
            }
            let below = node.left().and_then(|n| n.sum().least);
            let own = Some((node.value().worth, *node.key()));
            least = [least, below, own].into_iter().flatten().min_by(|a, b| a.0.total_cmp(&b.0));
            at = node.right();
        }
        least.map(|(_, place)| place)
    }

    /// The first place behind `after` that the test finds, with its product. The test hears what those ahead
    /// of a place take, its due time and its product; once true it stays so for more ahead or an earlier due
    /// time, which is what lets whole stretches be passed over.
    pub fn find(
        &self,
        after: Option<Place>,
        run: impl Fn(usize) -> f64,
        test: impl Fn(f64, Duration, usize) -> bool,
    ) -> Option<(Place, usize)> {
        let mut ahead = 0.0;
        seek(self.tree.root(), after, &mut ahead, &run, &test)
    }
}

/// `ahead` grows by what is passed over.
fn seek(
    node: Option<Node>,
    after: Option<Place>,
    ahead: &mut f64,
    run: &impl Fn(usize) -> f64,
    test: &impl Fn(f64, Duration, usize) -> bool,
) -> Option<(Place, usize)> {
    let node = node?;
    let (place, held) = (*node.key(), node.value());
    let passed = after.is_some_and(|after| place <= after);
    if passed {
        *ahead += node.left().map_or(0.0, |n| n.sum().cost(run)) + run(held.class);
        return seek(node.right(), after, ahead, run, test);
    }
    // Where even the earliest of each product would bear all that stands here, nobody is found.
    let all = *ahead + node.sum().cost(run);
    let mut earliest = node.sum().of_class.iter().enumerate().filter(|(_, (n, _))| *n > 0);
    if !earliest.any(|(class, (_, due))| test(all, *due, class)) {
        *ahead = all;
        return None;
    }
    if let Some(found) = seek(node.left(), after, ahead, run, test) {
        return Some(found);
    }
    if test(*ahead, place.0, held.class) {
        return Some((place, held.class));
    }
    *ahead += run(held.class);
    seek(node.right(), after, ahead, run, test)
}
