//! Longest-prefix matching over sorted, disjoint address ranges in flat arrays.

use th_protocol::Block;

/// The class row for addresses outside all blocks.
pub(crate) const UNKNOWN_CLASS: u16 = u16::MAX;

const LOW_BITS: u32 = 16;
const HIGH_BITS: u32 = 32 - LOW_BITS;

/// Address ranges, each with the class and the base address of its longest matching block.
#[derive(Debug, Default)]
pub(crate) struct Ranges {
    starts: Vec<u32>,
    /// Number of ranges that start before each value of the upper 16 bits of an address.
    index: Vec<u32>,
    /// Base address and class of each range, stored together since a look-up reads both.
    blocks: Vec<(u32, u16)>,
}

struct OpenBlock {
    last: u32,
    base: u32,
    class: u16,
}

impl Ranges {
    /// Flattens nested blocks into ranges. The blocks must be sorted by base address, then by
    /// prefix length.
    pub(crate) fn new(blocks: impl Iterator<Item = (Block, u16)>) -> Ranges {
        let index = Vec::with_capacity((1 << HIGH_BITS) + 1);
        let mut ranges = Ranges { starts: Vec::new(), index, blocks: Vec::new() };
        let mut open: Vec<OpenBlock> = Vec::new();
        ranges.push(0, 0, UNKNOWN_CLASS);
        for (block, class) in blocks {
            ranges.close(&mut open, Some(block.base()));
            let size = 1u64 << (32 - block.length());
            let last = (u64::from(block.base()) + size - 1) as u32;
            ranges.push(block.base(), block.base(), class);
            open.push(OpenBlock { last, base: block.base(), class });
        }
        ranges.close(&mut open, None);
        ranges.starts.shrink_to_fit();
        for high in 0..=1u64 << HIGH_BITS {
            let before = ranges.starts.partition_point(|&it| u64::from(it) < high << LOW_BITS);
            ranges.index.push(before as u32);
        }
        ranges.blocks.shrink_to_fit();
        ranges
    }

    fn close(&mut self, open: &mut Vec<OpenBlock>, before: Option<u32>) {
        while let Some(top) = open.last() {
            if before.is_some_and(|it| it <= top.last) {
                return;
            }
            let next = top.last.checked_add(1);
            open.pop();
            let Some(next) = next else { continue };
            match open.last() {
                Some(outer) => self.push(next, outer.base, outer.class),
                None => self.push(next, next, UNKNOWN_CLASS),
            }
        }
    }

    /// Appends a range, replacing the last one if both start at the same address.
    fn push(&mut self, start: u32, base: u32, class: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.blocks.pop();
        }
        self.starts.push(start);
        self.blocks.push((base, class));
    }

    /// Finds the class of `address` and the base address of its block.
    pub(crate) fn find(&self, address: u32) -> Option<(u16, u32)> {
        let high = (address >> LOW_BITS) as usize;
        let (from, to) = (self.index[high] as usize, self.index[high + 1] as usize);
        let i = from + self.starts[from..to].partition_point(|&it| it <= address) - 1;
        let (base, class) = self.blocks[i];
        if class == UNKNOWN_CLASS {
            return None;
        }
        Some((class, base))
    }

    /// Memory that the ranges use, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        (self.starts.capacity() + self.index.capacity()) * 4
            + self.blocks.capacity() * size_of::<(u32, u16)>()
    }
}
