//! What a request says of its model and prompt, in its headers.

/// `X-Pathbank-Model`: a model, and after a slash an adapter of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelName {
    /// The model; empty: the request names none.
    pub model: String,
    /// The adapter; empty: none.
    pub adapter: String,
}

impl ModelName {
    /// Reads the header's value.
    pub fn parse(value: &str) -> ModelName {
        let (model, adapter) = value.trim().split_once('/').unwrap_or((value.trim(), ""));
        ModelName { model: model.to_owned(), adapter: adapter.to_owned() }
    }
}

/// `X-Pathbank-Token-Count`: tokens of the prompt, and the most that are put out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub input: u64,
    /// The most tokens put out.
    pub output: u64,
}

/// A token put out counts as so many of the prompt (the users' measure of a generation's worth).
const OUTPUT_WEIGHT: u64 = 10;

impl TokenCount {
    /// Reads the header's value; `None` where it is malformed.
    pub fn parse(value: &str) -> Option<TokenCount> {
        let (input, output) = value.split_once(',')?;
        Some(TokenCount { input: input.trim().parse().ok()?, output: output.trim().parse().ok()? })
    }

    /// The told size.
    pub fn size(self) -> u64 {
        self.input + OUTPUT_WEIGHT * self.output
    }
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The same in every prompt that has this part at this place.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// Reads `X-Pathbank-Prompt-Prefix`; what is malformed ends the list.
pub fn parse_parts(value: &str) -> Vec<PromptPart> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    value.split(',').map_while(part).collect()
}
