//! Frames of the files on disk: `length: u32 LE | CRC-32 of the body: u32 LE | body`.

use thiserror::Error;

/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 8;

/// Why bytes cannot be read as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The body is longer than allowed.
    #[error("a record of {length} bytes exceeds the maximum of {max}")]
    TooLong {
        /// The length of the body, in bytes.
        length: usize,
        /// The maximum length of the body, in bytes.
        max: usize,
    },
    /// The body does not match its checksum.
    #[error("the checksum of a record does not match")]
    Checksum,
    /// The bytes end before the frame does.
    #[error("a record is truncated")]
    Truncated,
}

/// Appends a frame around `body` to `buffer`.
pub fn append(buffer: &mut Vec<u8>, body: &[u8]) {
    buffer.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    buffer.extend_from_slice(body);
}

/// Returns the body of the frame at the start of `bytes`, or `None` if the frame is incomplete.
///
/// # Errors
/// `TooLong` if the body would exceed `max_body_bytes`, `Checksum` if it does not match its checksum.
pub fn read(bytes: &[u8], max_body_bytes: usize) -> Result<Option<&[u8]>, FrameError> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let Some((checksum, rest)) = rest.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > max_body_bytes {
        return Err(FrameError::TooLong { length, max: max_body_bytes });
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    match crc32fast::hash(body) == u32::from_le_bytes(*checksum) {
        true => Ok(Some(body)),
        false => Err(FrameError::Checksum),
    }
}

/// Returns the body of the frame at the start of `bytes`, which must contain the complete frame.
///
/// # Errors
/// As [`read`]; `Truncated` if the frame is incomplete.
pub fn read_complete(bytes: &[u8], max_body_bytes: usize) -> Result<&[u8], FrameError> {
    read(bytes, max_body_bytes)?.ok_or(FrameError::Truncated)
}
