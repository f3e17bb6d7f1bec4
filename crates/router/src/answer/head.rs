//! Whether the head of an answer is one of the model server that was asked, to the request that it was sent.

use thiserror::Error;

/// The media type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

/// What an answer's head says.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHead<'a> {
    /// The status.
    pub status: u16,
    /// The id of the request that is answered.
    pub request_id: Option<&'a [u8]>,
    /// Whether the model server signed the answer.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_executed: bool,
    /// Whether it says where the body ends: by a length or by chunks, not by the end of the connection.
    pub framed: bool,
    /// Whether the body has a content coding.
    pub encoded: bool,
    /// The media type of the body.
    pub content_type: Option<&'a str>,
    /// The version of the model's weights that answers.
    pub version: Option<u64>,
}

/// What the request was.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Its id.
    pub id: Option<&'a [u8]>,
    /// Whether its route's answers are streams.
    pub streaming: bool,
    /// Whether it accepts content codings.
    pub accepts_encoding: bool,
    /// The version of the model's weights that has to answer; `None`: any.
    pub version: Option<u64>,
}

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request did not run: another instance or a server without the model was asked.
    Misdirected,
    /// The request did not run.
    NotRun,
    /// The body is a stream of events, which goes to the client as it arrives.
    Stream,
    /// The body goes to the client once it is complete.
    Whole,
}

/// Why a head is not that of an answer to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// It answers another request, or does not say which.
    #[error("the answer does not name the request")]
    OtherRequest,
    /// A success without the model server's signature.
    #[error("the answer has no signature")]
    Unsigned,
    /// A success of another version of the model's weights than was asked for.
    #[error("the answer is of another version")]
    OtherVersion,
    /// A stream that the end of its connection ends: nothing tells an early end from the proper one.
    #[error("nothing says where the stream ends")]
    Unframed,
    /// The body has a content coding that the client does not accept, or that hides the events of a stream.
    #[error("the answer has a content coding")]
    Encoded,
}

impl HeadError {
    /// The error's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            HeadError::OtherRequest => "other_request",
            HeadError::Unsigned => "unsigned",
            HeadError::OtherVersion => "other_version",
            HeadError::Unframed => "unframed",
            HeadError::Encoded => "encoded",
        }
    }
}

const MISDIRECTED_REQUEST: u16 = 421;

impl AnswerHead<'_> {
    /// What the answer is to this request. Nothing of an answer is believed before this.
    ///
    /// # Errors
    ///
    /// It is no answer to the request.
    pub fn check(&self, request: SentRequest<'_>) -> Result<AnswerKind, HeadError> {
        if self.request_id != request.id {
            return Err(HeadError::OtherRequest);
        }
        // In a buffered answer without a length, a reset shows that it is incomplete.
        if request.streaming && !self.framed {
            return Err(HeadError::Unframed);
        }
        if self.is_success() && !self.signed {
            return Err(HeadError::Unsigned);
        }
        if self.is_success() && self.is_of_other_version(request.version) {
            return Err(HeadError::OtherVersion);
        }
        if self.status == MISDIRECTED_REQUEST {
            return Ok(AnswerKind::Misdirected);
        }
        if self.not_executed {
            return Ok(AnswerKind::NotRun);
        }
        let is_stream = request.streaming && self.is_success() && self.may_be_event_stream();
        if self.is_success() && self.encoded && (is_stream || !request.accepts_encoding) {
            return Err(HeadError::Encoded);
        }
        Ok(if is_stream { AnswerKind::Stream } else { AnswerKind::Whole })
    }

    /// Whether the status is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the answer names another version than the one that was asked for.
    fn is_of_other_version(&self, expected: Option<u64>) -> bool {
        matches!((expected, self.version), (Some(expected), Some(told)) if expected != told)
    }

    /// Whether the body is a stream by its media type, which a model server may leave out.
    fn may_be_event_stream(&self) -> bool {
        let media_type = self.content_type.and_then(|text| text.split(';').next());
        media_type.is_none_or(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
    }
}
