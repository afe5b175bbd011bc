//! Longest-prefix match over sorted, disjoint ranges in flat memory.

use th_protocol::Block;

/// The class row of addresses that no block holds.
pub(crate) const UNKNOWN: u16 = u16::MAX;

/// Address ranges, each with the class and the base address of its longest matching block.
#[derive(Debug, Default)]
pub(crate) struct Ranges {
    starts: Vec<u32>,
    bases: Vec<u32>,
    classes: Vec<u16>,
}

struct Open {
    last: u32,
    base: u32,
    class: u16,
}

impl Ranges {
    /// Flattens blocks, which come sorted by base and then by prefix length.
    pub(crate) fn new(blocks: impl Iterator<Item = (Block, u16)>) -> Ranges {
        let mut ranges = Ranges::default();
        let mut open: Vec<Open> = Vec::new();
        ranges.push(0, 0, UNKNOWN);
        for (block, class) in blocks {
            ranges.close(&mut open, Some(block.base()));
            let size = 1u64 << (32 - block.length());
            let last = (u64::from(block.base()) + size - 1) as u32;
            ranges.push(block.base(), block.base(), class);
            open.push(Open { last, base: block.base(), class });
        }
        ranges.close(&mut open, None);
        ranges.starts.shrink_to_fit();
        ranges.bases.shrink_to_fit();
        ranges.classes.shrink_to_fit();
        ranges
    }

    fn close(&mut self, open: &mut Vec<Open>, before: Option<u32>) {
        while let Some(top) = open.last() {
            if before.is_some_and(|it| it <= top.last) {
                return;
            }
            let next = top.last.checked_add(1);
            open.pop();
            let Some(next) = next else { continue };
            match open.last() {
                Some(outer) => self.push(next, outer.base, outer.class),
                None => self.push(next, next, UNKNOWN),
            }
        }
    }

    /// Appends a range; one that starts where the last one does replaces it.
    fn push(&mut self, start: u32, base: u32, class: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.bases.pop();
            self.classes.pop();
        }
        self.starts.push(start);
        self.bases.push(base);
        self.classes.push(class);
    }

    /// The class of `address` and the base of its block.
    pub(crate) fn find(&self, address: u32) -> Option<(u16, u32)> {
        let i = self.starts.partition_point(|&it| it <= address) - 1;
        if self.classes[i] == UNKNOWN {
            return None;
        }
        Some((self.classes[i], self.bases[i]))
    }

    /// Bytes of memory held.
    pub(crate) fn bytes(&self) -> usize {
        self.starts.capacity() * 4 + self.bases.capacity() * 4 + self.classes.capacity() * 2
    }
}
