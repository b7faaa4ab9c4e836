//! Observes which list revisions a node sends to a proxy.

use crate::links::Tap;
use crate::record::Record;
use std::sync::{Arc, Mutex};

/// The JSON key of a list's revision.
const REVISION_KEY: &[u8] = b"\"generation\":";
/// The maximum number of bytes after the key that belong to the number: the digits of a 64-bit value, and white space.
const MAX_NUMBER_LENGTH: usize = 24;

/// A tap for the link from a list node to `proxy`, which records each revision in the data that passes.
pub(super) fn revision_tap(record: Arc<Record>, proxy: usize) -> Tap {
    let unread = Mutex::new(Vec::<u8>::new());
    Arc::new(move |piece: &[u8]| {
        let mut unread = unread.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        unread.extend_from_slice(piece);
        let mut start = 0;
        while let Some(found) = find(&unread[start..], REVISION_KEY) {
            let digits = start + found + REVISION_KEY.len();
            let count = unread[digits..].iter().take_while(|byte| byte.is_ascii_digit()).count();
            if digits + count == unread.len() {
                break;
            }
            if let Ok(revision) = String::from_utf8_lossy(&unread[digits..digits + count]).parse() {
                record.add_revision(proxy, revision);
            }
            start = digits + count;
        }
        // Retains the bytes that may contain the beginning of the next key and number.
        let retained = unread.len().saturating_sub(start).min(REVISION_KEY.len() + MAX_NUMBER_LENGTH);
        let consumed = unread.len() - retained;
        unread.drain(..consumed);
    })
}

fn find(bytes: &[u8], key: &[u8]) -> Option<usize> {
    bytes.windows(key.len()).position(|window| window == key)
}
