//! The ring buffer between a socket and its reader or writer.

use coordinator::net::ring_buffer::RingBuffer;

/// A ring that lost or reordered bytes at its seam would corrupt requests that cross it.
#[test]
fn ring_when_bytes_wrap_then_they_stay_in_order_and_a_full_one_takes_no_more() {
    let (mut ring, mut next, mut expect) = (RingBuffer::new(7), 0u8, 0u8);
    for step in 1..40usize {
        let bytes: Vec<u8> = (0..step % 9).map(|i| next.wrapping_add(i as u8)).collect();
        let taken = ring.put(&bytes);
        assert!(ring.len() <= 7 && (taken == bytes.len() || ring.free() == 0));
        next = next.wrapping_add(taken as u8);
        let n = ring.len().min(step % 4);
        let got = ring.contiguous()[..n].to_vec();
        assert_eq!(
            got,
            (0..n)
                .map(|i| expect.wrapping_add(i as u8))
                .collect::<Vec<_>>()
        );
        ring.consume(n);
        expect = expect.wrapping_add(n as u8);
        ring.release_memory();
    }
}
