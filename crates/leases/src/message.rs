//! Messages between holders and grantors: a request, and at most one response to it. Each message may be
//! lost, duplicated, delayed or reordered.

use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::epoch::MemberId;
use crate::resource::{Micros, ResourceId};
use crate::LeaseError;

/// Maximum bytes of a message, so that it fits in one datagram on any path.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// Maximum bytes of a request before its share requests: five numbers.
pub const MAX_HEADER_BYTES: usize = 48;

/// What a node requests of one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The resource.
    #[serde(rename = "whole")]
    pub resource: ResourceId,
    /// Units wanted beyond the safe share.
    #[serde(rename = "want")]
    pub wanted: u64,
    /// Maximum units used beyond the safe share, from the sending of this request until a later grant is
    /// accepted.
    pub held: u64,
    /// How many requests ago the request was sent whose grant was accepted last; 0 for none.
    #[serde(rename = "ago")]
    pub grant_age: u64,
}

impl ShareRequest {
    /// Bytes of this request in an encoded message.
    pub fn bytes(&self) -> usize {
        let of = |number: u64| (64 - number.max(1).leading_zeros() as usize).div_ceil(7);
        of(u64::from(self.resource)) + of(self.wanted) + of(self.held) + of(self.grant_age)
    }
}

/// A node's request to a grantor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The epoch that the node uses.
    pub epoch: u64,
    /// The revision of the resources that the node uses.
    pub revision: u64,
    /// The requesting member.
    pub from: MemberId,
    /// The run of the requesting process.
    #[serde(rename = "life")]
    pub run: u64,
    /// Sequence number of the request within its process.
    pub seq: u64,
    /// What it requests of each resource.
    #[serde(rename = "wants")]
    pub requests: Vec<ShareRequest>,
}

/// A share that a node is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantedShare {
    /// The resource.
    #[serde(rename = "whole")]
    pub resource: ResourceId,
    /// Units granted beyond the safe share.
    #[serde(rename = "part")]
    pub share: u64,
}

/// Content of a grantor's response to a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Grants shares, which count from the sending of the request.
    Grant {
        /// How long they last, by the holder's clock less its possible drift.
        term: Micros,
        /// The granted shares.
        #[serde(rename = "parts")]
        shares: Vec<GrantedShare>,
    },
    /// The request's epoch is over: the holder has to read the document again.
    #[serde(rename = "Newer")]
    NewerEpoch,
}

/// A grantor's response to a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The grantor's epoch.
    pub epoch: u64,
    /// The grantor.
    pub from: MemberId,
    /// The member that sent the request.
    pub to: MemberId,
    /// The run of the process that sent the request.
    #[serde(rename = "life")]
    pub run: u64,
    /// Sequence number of the request.
    pub seq: u64,
    /// Content of the response.
    #[serde(rename = "says")]
    pub body: ResponseBody,
}

/// Encodes a message into the buffer and returns its length.
///
/// # Errors
/// The message is longer than [`MAX_MESSAGE_BYTES`]; no message of this crate is.
pub fn encode<T: Serialize>(message: &T, buffer: &mut [u8; MAX_MESSAGE_BYTES]) -> Result<usize, LeaseError> {
    let written =
        postcard::to_slice(message, buffer).map_err(|_| LeaseError::InvalidMessage(MAX_MESSAGE_BYTES + 1))?;
    Ok(written.len())
}

/// Decodes a message.
///
/// # Errors
/// The bytes are too long, or are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LeaseError> {
    let garbled = LeaseError::InvalidMessage(bytes.len());
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(garbled);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(garbled),
    }
}
