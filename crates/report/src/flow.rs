//! Incremental maximum flow by Dinic's algorithm (blocking flows along shortest paths). After
//! capacity is added, the flow is augmented from its current value. It may be rerouted, but its
//! value never decreases.

use std::collections::VecDeque;

/// An edge, stored in the list of the node that it leaves.
#[derive(Debug, Clone)]
struct Edge {
    to: usize,
    /// Residual capacity.
    residual: u64,
    /// Index of the reverse edge in the list of `to`.
    reverse: usize,
}

/// Identifies an edge of a network.
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
    /// Adds a node. Returns its number.
    pub fn add_node(&mut self) -> usize {
        self.edges.push(Vec::new());
        self.edges.len() - 1
    }

    /// Adds an edge with this capacity.
    pub fn add_edge(&mut self, from: usize, to: usize, capacity: u64) -> EdgeId {
        let (index, reverse) = (self.edges[from].len(), self.edges[to].len());
        self.edges[from].push(Edge {
            to,
            residual: capacity,
            reverse,
        });
        self.edges[to].push(Edge {
            to: from,
            residual: 0,
            reverse: index,
        });
        EdgeId { from, index }
    }

    /// Increases the capacity of an edge.
    pub fn add_capacity(&mut self, edge: EdgeId, increase: u64) {
        self.edges[edge.from][edge.index].residual += increase;
    }

    /// The residual capacity of an edge.
    pub fn residual(&self, edge: EdgeId) -> u64 {
        self.edges[edge.from][edge.index].residual
    }

    /// Augments the flow from `source` to `sink` to its maximum. Returns the increase.
    pub fn augment(&mut self, source: usize, sink: usize) -> u64 {
        let mut increase = 0;
        loop {
            let levels = self.levels(source);
            if levels[sink].is_none() {
                return increase;
            }
            let mut next_edges = vec![0; self.edges.len()];
            loop {
                let pushed = self.push_along(source, sink, u64::MAX, &levels, &mut next_edges);
                if pushed == 0 {
                    break;
                }
                increase += pushed;
            }
        }
    }

    /// The distance of each node from the source over edges with residual capacity; none for an
    /// unreachable node.
    fn levels(&self, source: usize) -> Vec<Option<usize>> {
        let mut levels = vec![None; self.edges.len()];
        levels[source] = Some(0);
        let mut queue = VecDeque::from([(source, 0)]);
        while let Some((node, depth)) = queue.pop_front() {
            for edge in &self.edges[node] {
                if edge.residual > 0 && levels[edge.to].is_none() {
                    levels[edge.to] = Some(depth + 1);
                    queue.push_back((edge.to, depth + 1));
                }
            }
        }
        levels
    }

    /// Pushes at most `limit` flow from `node` to `sink` along one shortest path. Returns the flow
    /// pushed. `next_edges` holds for each node the index of the first edge that is not exhausted.
    /// The recursion is as deep as a path is long, which is a few nodes here.
    fn push_along(
        &mut self,
        node: usize,
        sink: usize,
        limit: u64,
        levels: &[Option<usize>],
        next_edges: &mut [usize],
    ) -> u64 {
        if node == sink {
            return limit;
        }
        while next_edges[node] < self.edges[node].len() {
            let index = next_edges[node];
            let Edge {
                to,
                residual,
                reverse,
            } = self.edges[node][index];
            let deeper = matches!((levels[node], levels[to]), (Some(a), Some(b)) if b == a + 1);
            if residual > 0 && deeper {
                let pushed = self.push_along(to, sink, limit.min(residual), levels, next_edges);
                if pushed > 0 {
                    self.edges[node][index].residual -= pushed;
                    self.edges[to][reverse].residual += pushed;
                    return pushed;
                }
            }
            next_edges[node] += 1;
        }
        0
    }
}
