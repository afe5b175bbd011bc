//! The hash function for stable choices.

const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
const UNIT: f64 = 1.0 / (1u64 << 53) as f64;

/// Mixes 64 bits so that each input bit changes about half of the output bits.
pub const fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(GAMMA);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The hash key of a block, from its lowest address.
pub const fn block_key(base: u32) -> u64 {
    mix(base as u64)
}

/// Maps a hash to a number in (0, 1].
pub(crate) fn unit(hash: u64) -> f64 {
    ((hash >> 11) + 1) as f64 * UNIT
}

/// Hashes bytes, eight at a time; the result is the same on every VM.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut state = mix(bytes.len() as u64);
    for chunk in bytes.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        state = mix(state ^ u64::from_le_bytes(word));
    }
    state
}

/// Hashes a name; the result is the same on every VM.
pub fn hash_name(text: &str) -> u64 {
    let mut state = 0;
    for byte in text.bytes() {
        state = mix(state ^ u64::from(byte));
    }
    state
}
