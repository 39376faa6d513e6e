//! Prompt blocks and their chained hashes.
//!
//! The hash of a block covers the cache namespace, all earlier blocks and the block
//! itself. Two prompts therefore share a hash only when they share the
//! organisation, the version and the whole prefix.

use std::fmt;

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

use crate::names::ParseIdError;

/// Contexts of the BLAKE3 key derivation. Changing one changes all namespaces or
/// block hashes, which all instances of a fleet have to compute alike.
const NAMESPACE_CONTEXT: &str = "yuccalatch 2026 cache namespace";
const BLOCK_CONTEXT: &str = "yuccalatch 2026 prompt block";

/// Ends a part of a prompt. The byte never occurs in UTF-8, so that content cannot
/// contain it.
const PART_END: u8 = 0xff;

/// Cache namespace of one organisation and one version.
///
/// It is a 128-bit BLAKE3 digest, so that no organisation can choose names whose
/// namespace is that of another organisation.
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

/// Hash of a block, all earlier blocks and the namespace.
///
/// 64 bits are enough: a collision only leads to a wrong estimate of the cached
/// blocks, because the engine compares the blocks itself.
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

/// Size of a cache block, with the ratio by which tokens are estimated from bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockSize {
    /// Tokens in a block of the engine.
    pub tokens: u32,
    /// Assumed bytes per token, as the router has no tokeniser. A wrong value shifts
    /// the block boundaries, but equally for equal prefixes.
    pub bytes_per_token: u32,
}

impl Default for BlockSize {
    /// Returns blocks of 1,000 tokens, as in both deployments, with 4 bytes per
    /// token, as in English text.
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

/// Block hashes and approximate length of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HashedPrompt {
    /// Namespace that the hashes cover.
    pub namespace: Namespace,
    /// Hashes of the complete blocks, from the start of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Approximate tokens of the whole prompt.
    pub tokens: u32,
}

/// Splits a prompt that is passed in pieces into blocks and hashes them.
///
/// ```
/// use yuccalatch::request::prompt::{BlockSize, Namespace, PromptHasher};
///
/// let size = BlockSize { tokens: 2, bytes_per_token: 2 };
/// let mut prompt_hasher = PromptHasher::new(Namespace::derive("mill-a", "draft-7"), size);
/// prompt_hasher.push(b"abcdef");
/// let prompt = prompt_hasher.finish();
/// assert_eq!(prompt.blocks.len(), 1);
/// assert_eq!(prompt.tokens, 3);
/// ```
#[derive(Debug)]
pub struct PromptHasher {
    size: BlockSize,
    prompt: HashedPrompt,
    hasher: blake3::Hasher,
    remaining_bytes: usize,
    total_bytes: u64,
}

impl PromptHasher {
    /// Starts with an empty prompt.
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
            remaining_bytes: size.bytes(),
            total_bytes: 0,
        }
    }

    /// Appends bytes to the current part.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let (head, tail) = rest.split_at(self.remaining_bytes.min(rest.len()));
            self.hasher.update(head);
            self.remaining_bytes -= head.len();
            rest = tail;
            if self.remaining_bytes == 0 {
                self.finish_block();
            }
        }
        self.total_bytes += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    }

    /// Ends the current part, such as one message.
    pub fn end_part(&mut self) {
        self.push(&[PART_END]);
    }

    /// Returns the hashes of all complete blocks and the approximate length.
    pub fn finish(mut self) -> HashedPrompt {
        let bytes_per_token = u64::from(self.size.bytes_per_token.max(1));
        let tokens = self.total_bytes.div_ceil(bytes_per_token);
        self.prompt.tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.prompt
    }

    fn finish_block(&mut self) {
        // The hasher started with the namespace or the digest of the previous block,
        // so that its digest covers the chain so far.
        let mut digest = [0; 8];
        self.hasher.finalize_xof().fill(&mut digest);
        self.prompt
            .blocks
            .push(BlockHash(u64::from_be_bytes(digest)));
        let mut next_hasher = blake3::Hasher::new_derive_key(BLOCK_CONTEXT);
        next_hasher.update(self.hasher.finalize().as_bytes());
        self.hasher = next_hasher;
        self.remaining_bytes = self.size.bytes();
    }
}

/// Hashes the blocks of a prompt that is passed as complete parts, such as
/// messages.
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
    let mut prompt_hasher = PromptHasher::new(namespace, size);
    for part in parts {
        prompt_hasher.push(part);
        prompt_hasher.end_part();
    }
    prompt_hasher.finish()
}
