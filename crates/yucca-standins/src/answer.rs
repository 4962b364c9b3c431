//! Deterministic answers and prefix hashes, with which a client can verify each token of a stream.

use std::ops::Range;

use blake3::Hasher;

/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: usize = 64;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];
const SYLLABLES_PER_WORD: usize = 3;

/// Prompt that the engine processes: the contents of a chat's messages, joined by newlines.
pub fn prompt<'a>(contents: impl IntoIterator<Item = &'a str>) -> String {
    contents.into_iter().collect::<Vec<_>>().join("\n")
}

/// Number of tokens in a text; a token is a word delimited by whitespace.
pub fn count_tokens(text: &str) -> usize {
    text.split_whitespace().count()
}

/// Word that an engine generates as token `index` of the answer to `prompt`.
pub fn token(model: &str, version: &str, prompt: &str, index: usize) -> String {
    Answer::new(model, version, prompt).token(index)
}

/// Text of the answer's tokens in `range`, with a space before each token except token 0.
pub fn text(model: &str, version: &str, prompt: &str, range: Range<usize>) -> String {
    let answer = Answer::new(model, version, prompt);
    range.map(|index| answer.chunk(index)).collect()
}

/// Unbounded sequence of answer tokens for one prompt. Hashes the prompt once, on creation.
#[derive(Debug, Clone)]
pub struct Answer {
    seed: Hasher,
}

impl Answer {
    /// Answer of `version` of `model` to `prompt`.
    pub fn new(model: &str, version: &str, prompt: &str) -> Self {
        let mut seed = Hasher::new();
        // The length prefixes give ("ab", "c") and ("a", "bc") different hashes.
        for part in [model, version, prompt] {
            seed.update(&(part.len() as u64).to_le_bytes());
            seed.update(part.as_bytes());
        }
        Self { seed }
    }

    /// Word of token `index`.
    pub fn token(&self, index: usize) -> String {
        let mut hasher = self.seed.clone();
        hasher.update(&(index as u64).to_le_bytes());
        let hash = hasher.finalize();
        hash.as_bytes()[..SYLLABLES_PER_WORD]
            .iter()
            .map(|byte| SYLLABLES[usize::from(byte % 16)])
            .collect()
    }

    /// Text of token `index` in the stream: the word, preceded by a space unless `index` is 0.
    pub fn chunk(&self, index: usize) -> String {
        let separator = if index == 0 { "" } else { " " };
        format!("{separator}{}", self.token(index))
    }
}

/// Hashes of the first 64, 128, ... words of `prompt`, joined by single spaces; each is 16 hex
/// digits long.
pub fn prefix_hashes(prompt: &str) -> Vec<String> {
    let mut hasher = Hasher::new();
    let mut hashes = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        if index > 0 {
            hasher.update(b" ");
        }
        hasher.update(word.as_bytes());
        if (index + 1) % BLOCK_TOKENS == 0 {
            hashes.push(hasher.finalize().to_hex()[..16].to_owned());
        }
    }
    hashes
}
