//! Prompt blocks and their chained hashes.
//!
//! A block hash covers the block and everything before it, and the chain is
//! seeded by the cache namespace. Two prompts therefore share a hash only when
//! they share the organisation, the version and the whole prefix.

use std::fmt;

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

use crate::names::ParseIdError;

/// Contexts of the key derivation. Other texts would change all namespaces and
/// block hashes, which instances of one fleet have to compute alike.
const NAMESPACE_CONTEXT: &str = "yuccalatch 2026 cache namespace";
const BLOCK_CONTEXT: &str = "yuccalatch 2026 prompt block";

/// Ends a part of a prompt. The byte never occurs in UTF-8, so no content can
/// imitate it.
const PART_END: u8 = 0xff;

/// Cache namespace of one organisation and one version.
///
/// It is a 128-bit BLAKE3 digest, so an organisation cannot choose names that
/// lead into the namespace of another one.
///
/// ```
/// use yuccalatch::request::prompt::Namespace;
///
/// let namespace = Namespace::derive("mill-a", "draft-7");
/// assert_ne!(namespace, Namespace::derive("mill-a", "draft-8"));
/// assert_eq!(namespace.to_string().parse(), Ok(namespace));
/// ```
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Namespace(pub u128);

impl Namespace {
    /// Derives the namespace from the names of organisation and version.
    ///
    /// ```
    /// use yuccalatch::request::prompt::Namespace;
    ///
    /// assert_ne!(Namespace::derive("ab", "c"), Namespace::derive("a", "bc"));
    /// ```
    pub fn derive(organisation: &str, version: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(NAMESPACE_CONTEXT);
        hasher.update(organisation.as_bytes());
        hasher.update(&[PART_END]);
        hasher.update(version.as_bytes());
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Self(u128::from_be_bytes(digest))
    }
}

impl fmt::Display for Namespace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Namespace {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 32 || !is_hex {
            return Err(ParseIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Hash of a block and of everything before it.
///
/// 64 bits are enough because a collision costs only a wrong estimate: the
/// engine compares the blocks itself.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for BlockHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 16 || !is_hex {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Size of a cache block, with the approximation from bytes to tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockSize {
    /// Tokens in a block of the engine.
    pub tokens: u32,
    /// Assumed bytes in a token. The router has no tokeniser; a wrong value
    /// shifts the block boundaries but does so equally for equal prefixes.
    pub bytes_per_token: u32,
}

impl Default for BlockSize {
    /// 1,000 tokens, as both deployments use, of 4 bytes, as English text has.
    fn default() -> Self {
        Self {
            tokens: 1_000,
            bytes_per_token: 4,
        }
    }
}

impl BlockSize {
    /// Returns the bytes of a block, at least one.
    ///
    /// ```
    /// use yuccalatch::request::prompt::BlockSize;
    ///
    /// assert_eq!(BlockSize::default().bytes(), 4_000);
    /// ```
    pub fn bytes(self) -> usize {
        let bytes = u64::from(self.tokens) * u64::from(self.bytes_per_token);
        usize::try_from(bytes.max(1)).unwrap_or(usize::MAX)
    }
}

/// A prompt as placement sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HashedPrompt {
    /// Namespace that seeded the hashes.
    pub namespace: Namespace,
    /// Hashes of the complete blocks, from the start of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Approximate tokens of the whole prompt.
    pub tokens: u32,
}

/// Cuts a prompt that arrives in pieces.
///
/// ```
/// use yuccalatch::request::prompt::{BlockSize, Cutter, Namespace};
///
/// let size = BlockSize { tokens: 2, bytes_per_token: 2 };
/// let mut cutter = Cutter::new(Namespace::derive("mill-a", "draft-7"), size);
/// cutter.push(b"abcdef");
/// let prompt = cutter.finish();
/// assert_eq!(prompt.blocks.len(), 1);
/// assert_eq!(prompt.tokens, 3);
/// ```
#[derive(Debug)]
pub struct Cutter {
    size: BlockSize,
    prompt: HashedPrompt,
    hasher: blake3::Hasher,
    room_bytes: usize,
    total_bytes: u64,
}

impl Cutter {
    /// Starts an empty prompt.
    pub fn new(namespace: Namespace, size: BlockSize) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(BLOCK_CONTEXT);
        hasher.update(&namespace.0.to_be_bytes());
        Self {
            size,
            prompt: HashedPrompt {
                namespace,
                blocks: Vec::new(),
                tokens: 0,
            },
            hasher,
            room_bytes: size.bytes(),
            total_bytes: 0,
        }
    }

    /// Appends bytes of the current part.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let (head, tail) = rest.split_at(self.room_bytes.min(rest.len()));
            self.hasher.update(head);
            self.room_bytes -= head.len();
            rest = tail;
            if self.room_bytes == 0 {
                self.close_block();
            }
        }
        self.total_bytes += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    }

    /// Ends the current part, such as one message.
    pub fn end_part(&mut self) {
        self.push(&[PART_END]);
    }

    /// Returns the prompt; an incomplete last block has no hash.
    pub fn finish(mut self) -> HashedPrompt {
        let bytes_per_token = u64::from(self.size.bytes_per_token.max(1));
        let tokens = self.total_bytes.div_ceil(bytes_per_token);
        self.prompt.tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.prompt
    }

    fn close_block(&mut self) {
        // The digest of the open hasher covers the chain so far.
        let mut digest = [0; 8];
        self.hasher.finalize_xof().fill(&mut digest);
        self.prompt
            .blocks
            .push(BlockHash(u64::from_be_bytes(digest)));
        let mut next = blake3::Hasher::new_derive_key(BLOCK_CONTEXT);
        next.update(self.hasher.finalize().as_bytes());
        self.hasher = next;
        self.room_bytes = self.size.bytes();
    }
}

/// Cuts a prompt given as complete parts, such as messages.
///
/// ```
/// use yuccalatch::request::prompt::{hash_prompt, BlockSize, Namespace};
///
/// let namespace = Namespace::derive("mill-a", "draft-7");
/// let size = BlockSize { tokens: 1, bytes_per_token: 4 };
/// let short = hash_prompt(namespace, size, &[b"system", b"hello"]);
/// let long = hash_prompt(namespace, size, &[b"system", b"hello world"]);
/// assert_eq!(short.blocks[..2], long.blocks[..2]);
/// ```
pub fn hash_prompt(namespace: Namespace, size: BlockSize, parts: &[&[u8]]) -> HashedPrompt {
    let mut cutter = Cutter::new(namespace, size);
    for part in parts {
        cutter.push(part);
        cutter.end_part();
    }
    cutter.finish()
}
