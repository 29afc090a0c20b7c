#ifndef PARSLEYPLANK_CORE_SOCKET_QUEUE_HPP
#define PARSLEYPLANK_CORE_SOCKET_QUEUE_HPP

// What the kernel holds of a TCP connection: bytes that were written and not
// yet received at the other end, and received bytes that were not yet read. A
// socket that is closed with unread bytes, or that receives bytes after it was
// closed, is reset, and the kernel drops what the other end has not received.

#include <cstddef>

namespace parsleyplank
{

// Returns the number of written bytes that the other end has not acknowledged,
// including the end of the stream if it was sent; 0 if it can't be determined.
std::size_t unacknowledged_bytes(int descriptor);

// Returns the number of received bytes that have not been read; 0 if it can't
// be determined.
std::size_t unread_bytes(int descriptor);

// Reads and discards what has been received, without waiting, up to a bound
// that callers do not reach unless they ignore that the other end has stopped
// to read.
void discard_unread(int descriptor);

} // namespace parsleyplank

#endif
