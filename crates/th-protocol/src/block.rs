//! Blocks of client IPv4 addresses.

use std::{
    fmt,
    net::{AddrParseError, Ipv4Addr},
    num::ParseIntError,
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The result of parsing a block.
pub(crate) type Result<T, E = BlockError> = std::result::Result<T, E>;

/// An error from parsing a block.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BlockError {
    /// The part before the slash is not an IPv4 address.
    #[error("invalid address of a block: {0}")]
    Address(#[from] AddrParseError),
    /// The part after the slash is not a number.
    #[error("invalid prefix length of a block: {0}")]
    Prefix(#[from] ParseIntError),
    /// The prefix length is over 32.
    #[error("a block's prefix length is at most 32, not {0}")]
    Length(u8),
}

/// A block of client IPv4 addresses, such as `10.1.2.0/24`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Block {
    base: u32,
    length: u8,
}

impl Block {
    /// Creates the block with `length` prefix bits that contains `address`.
    pub fn new(address: Ipv4Addr, length: u8) -> Result<Block> {
        if 32 < length {
            return Err(BlockError::Length(length));
        }
        let mask = u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
        Ok(Block { base: u32::from(address) & mask, length })
    }

    /// Returns the lowest address of the block.
    pub fn base(self) -> u32 {
        self.base
    }

    /// Returns the number of prefix bits.
    pub fn length(self) -> u8 {
        self.length
    }

    /// Returns whether the block contains `address`.
    pub fn contains(self, address: Ipv4Addr) -> bool {
        Block::new(address, self.length).is_ok_and(|it| it.base == self.base)
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", Ipv4Addr::from(self.base), self.length)
    }
}

impl FromStr for Block {
    type Err = BlockError;

    fn from_str(text: &str) -> Result<Block> {
        let (address, length) = text.split_once('/').unwrap_or((text, "32"));
        Block::new(address.parse()?, length.parse()?)
    }
}

impl TryFrom<String> for Block {
    type Error = BlockError;

    fn try_from(text: String) -> Result<Block> {
        text.parse()
    }
}

impl From<Block> for String {
    fn from(block: Block) -> String {
        block.to_string()
    }
}
