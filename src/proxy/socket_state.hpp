#ifndef PARSLEYPLANK_PROXY_SOCKET_STATE_HPP
#define PARSLEYPLANK_PROXY_SOCKET_STATE_HPP

// What the system already knows of a connected socket, asked without blocking
// and without waiting for it: an event loop learns the same later, in the
// order of its events. Also tells which errors are not the other end's.

#include <parsleyplank/proxy/messages.hpp>

namespace parsleyplank::proxy
{

// Returns whether the connection is open and has no unread bytes.
bool is_open_and_drained(tcp::socket& socket);

// Returns whether the other end has closed the connection or its sending side,
// or the connection has failed, also if unread bytes precede that.
bool is_closed_by_peer(tcp::socket& socket);

// Returns whether the other end has reset the connection. Also after a write
// has taken the error from the socket, so that a read sees an orderly end.
bool was_reset(tcp::socket& socket);

// Returns whether a socket could not be opened, accepted or connected because
// of a limit of this process or machine.
bool lacks_resources(const error_code& ec);

} // namespace parsleyplank::proxy

#endif
