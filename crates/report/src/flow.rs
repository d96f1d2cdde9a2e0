//! The largest flow through a network that grows: Dinic's algorithm (blocking
//! flows along shortest paths), so that more supply is pushed through what the
//! flow so far has left, which may reroute it but never lowers it.

use std::collections::VecDeque;

#[derive(Debug, Clone)]
struct Edge {
    to: usize,
    left: u64,
    /// Its reverse, in the list of `to`.
    back: usize,
}

/// A network of nodes numbered from 0.
#[derive(Debug, Clone, Default)]
pub struct Network {
    edges: Vec<Vec<Edge>>,
}

impl Network {
    /// A new node's number.
    pub fn node(&mut self) -> usize {
        self.edges.push(Vec::new());
        self.edges.len() - 1
    }

    /// Lets this much through from one node to another; names the edge.
    pub fn join(&mut self, from: usize, to: usize, most: u64) -> (usize, usize) {
        let (at, back) = (self.edges[from].len(), self.edges[to].len());
        self.edges[from].push(Edge {
            to,
            left: most,
            back,
        });
        self.edges[to].push(Edge {
            to: from,
            left: 0,
            back: at,
        });
        (from, at)
    }

    /// Lets this much more through an edge.
    pub fn widen(&mut self, edge: (usize, usize), more: u64) {
        self.edges[edge.0][edge.1].left += more;
    }

    /// What an edge still lets through.
    pub fn left(&self, edge: (usize, usize)) -> u64 {
        self.edges[edge.0][edge.1].left
    }

    /// Pushes as much more as goes from `source` to `sink`; how much that was.
    pub fn push(&mut self, source: usize, sink: usize) -> u64 {
        let mut sum = 0;
        loop {
            let level = self.levels(source);
            if level[sink].is_none() {
                return sum;
            }
            let mut next = vec![0; self.edges.len()];
            loop {
                let pushed = self.along(source, sink, u64::MAX, &level, &mut next);
                if pushed == 0 {
                    break;
                }
                sum += pushed;
            }
        }
    }

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

    /// Pushes along one path; paths are as long as the network is deep, a few
    /// nodes here, so the recursion is shallow.
    fn along(
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
            let at = next[node];
            let (to, left, back) = {
                let edge = &self.edges[node][at];
                (edge.to, edge.left, edge.back)
            };
            let deeper = matches!((level[node], level[to]), (Some(a), Some(b)) if b == a + 1);
            if left > 0 && deeper {
                let pushed = self.along(to, sink, most.min(left), level, next);
                if pushed > 0 {
                    self.edges[node][at].left -= pushed;
                    self.edges[to][back].left += pushed;
                    return pushed;
                }
            }
            next[node] += 1;
        }
        0
    }
}
