//! The maximum flow through a network that grows: Dinic's algorithm (blocking flows along
//! shortest paths). Additional capacity is used on top of the present flow, which may be
//! rerouted but is never lowered.

use std::collections::VecDeque;

/// An edge in the list of its first node.
#[derive(Debug, Clone)]
struct Edge {
    to: usize,
    /// Residual capacity.
    left: u64,
    /// Index of its reverse in the list of `to`.
    reverse: usize,
}

/// Names an edge of a network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EdgeId {
    from: usize,
    index: usize,
}

/// A network of nodes numbered from 0.
#[derive(Debug, Clone, Default)]
pub struct Network {
    edges: Vec<Vec<Edge>>,
}

impl Network {
    /// Adds a node; its number.
    pub fn add_node(&mut self) -> usize {
        self.edges.push(Vec::new());
        self.edges.len() - 1
    }

    /// Adds an edge of this capacity.
    pub fn add_edge(&mut self, from: usize, to: usize, capacity: u64) -> EdgeId {
        let (index, reverse) = (self.edges[from].len(), self.edges[to].len());
        self.edges[from].push(Edge {
            to,
            left: capacity,
            reverse,
        });
        self.edges[to].push(Edge {
            to: from,
            left: 0,
            reverse: index,
        });
        EdgeId { from, index }
    }

    /// Adds to an edge's capacity.
    pub fn add_capacity(&mut self, edge: EdgeId, more: u64) {
        self.edges[edge.from][edge.index].left += more;
    }

    /// An edge's residual capacity.
    pub fn residual(&self, edge: EdgeId) -> u64 {
        self.edges[edge.from][edge.index].left
    }

    /// Augments the flow from `source` to `sink` to its maximum; by how much.
    pub fn augment(&mut self, source: usize, sink: usize) -> u64 {
        let mut sum = 0;
        loop {
            let level = self.levels(source);
            if level[sink].is_none() {
                return sum;
            }
            let mut next = vec![0; self.edges.len()];
            loop {
                let pushed = self.push_along(source, sink, u64::MAX, &level, &mut next);
                if pushed == 0 {
                    break;
                }
                sum += pushed;
            }
        }
    }

    /// Distance of each node from the source over edges with residual capacity.
    fn levels(&self, source: usize) -> Vec<Option<usize>> {
        let mut level = vec![None; self.edges.len()];
        level[source] = Some(0);
        let mut queue = VecDeque::from([(source, 0)]);
        while let Some((node, depth)) = queue.pop_front() {
            for edge in &self.edges[node] {
                if edge.left > 0 && level[edge.to].is_none() {
                    level[edge.to] = Some(depth + 1);
                    queue.push_back((edge.to, depth + 1));
                }
            }
        }
        level
    }

    /// Pushes flow along one shortest path, `most` at most; how much. `next` is the edge at
    /// which each node goes on. Paths are as long as the network is deep, a few nodes here, so
    /// the recursion is shallow.
    fn push_along(
        &mut self,
        node: usize,
        sink: usize,
        most: u64,
        level: &[Option<usize>],
        next: &mut [usize],
    ) -> u64 {
        if node == sink {
            return most;
        }
        while next[node] < self.edges[node].len() {
            let index = next[node];
            let Edge { to, left, reverse } = self.edges[node][index];
            let deeper = matches!((level[node], level[to]), (Some(a), Some(b)) if b == a + 1);
            if left > 0 && deeper {
                let pushed = self.push_along(to, sink, most.min(left), level, next);
                if pushed > 0 {
                    self.edges[node][index].left -= pushed;
                    self.edges[to][reverse].left += pushed;
                    return pushed;
                }
            }
            next[node] += 1;
        }
        0
    }
}
