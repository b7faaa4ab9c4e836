//! A buffer whose memory is reserved in a pool.

use super::INITIAL_BUFFER_BYTES;
use super::pool::Reservation;
use bytes::Bytes;

/// A growing buffer that holds the reservation of its memory for as long as any of its bytes are referenced. Its first
/// [`INITIAL_BUFFER_BYTES`] need no reservation, so that short messages never wait behind long ones.
#[derive(Default)]
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl ReservedBuffer {
    /// The number of reserved bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, Reservation::bytes)
    }

    /// The number of bytes that have to be reserved before `bytes` are appended.
    pub fn missing_bytes(&self, bytes: usize) -> usize {
        (self.bytes.len() + bytes).saturating_sub(INITIAL_BUFFER_BYTES + self.reserved_bytes())
    }

    /// Adds a reservation, so that the buffer may grow further.
    pub fn add(&mut self, reservation: Reservation) {
        match &mut self.reservation {
            Some(reserved) => reserved.add(reservation),
            None => self.reservation = Some(reservation),
        }
    }

    /// Appends bytes, for which memory has been reserved.
    pub fn extend(&mut self, data: &[u8]) {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.bytes.capacity() {
            let allowed_bytes = (INITIAL_BUFFER_BYTES + self.reserved_bytes()).max(needed_bytes);
            let capacity = (2 * self.bytes.capacity()).clamp(needed_bytes, allowed_bytes);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
    }

    /// The bytes. What was reserved for more is released at once, the rest when the last reference is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(self.bytes.len().saturating_sub(INITIAL_BUFFER_BYTES));
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
