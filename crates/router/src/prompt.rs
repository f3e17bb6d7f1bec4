//! The request headers that name the model and describe the prompt.

/// The value of `X-Pathbank-Model`: a model, optionally with an adapter after a slash.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelName {
    /// The model; empty: the request names none.
    pub model: String,
    /// The adapter; empty: none.
    pub adapter: String,
}

impl ModelName {
    /// Parses the header's value.
    pub fn parse(value: &str) -> ModelName {
        let (model, adapter) = value.trim().split_once('/').unwrap_or((value.trim(), ""));
        ModelName { model: model.to_owned(), adapter: adapter.to_owned() }
    }
}

/// The value of `X-Pathbank-Token-Count`: prompt tokens and the limit of output tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Prompt tokens.
    pub input: u64,
    /// The limit of output tokens.
    pub output: u64,
}

impl TokenCount {
    /// Parses the header's value; `None`: it is malformed.
    pub fn parse(value: &str) -> Option<TokenCount> {
        let (input, output) = value.split_once(',')?;
        Some(TokenCount { input: input.trim().parse().ok()?, output: output.trim().parse().ok()? })
    }
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part: all prompts with this part at this position have the same id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// Parses `X-Pathbank-Prompt-Prefix`; a malformed part ends the list.
pub fn parse_parts(value: &str) -> Vec<PromptPart> {
    let part = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    value.split(',').map_while(part).collect()
}
