#include <parsleyplank/proxy/socket_state.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace parsleyplank::proxy
{

namespace
{

enum class read_state
{
    drained,
    unread_bytes,
    ended
};

read_state peek(tcp::socket& socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, sizeof byte,
                          MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return read_state::unread_bytes;
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)
               ? read_state::drained
               : read_state::ended;
}

} // namespace

bool is_open_and_drained(tcp::socket& socket)
{
    return peek(socket) == read_state::drained;
}

bool is_closed_by_peer(tcp::socket& socket)
{
    const auto state = peek(socket);
    if (state != read_state::unread_bytes)
        return state == read_state::ended;
    pollfd it{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&it, 1, 0) > 0;
}

bool was_reset(tcp::socket& socket)
{
    // Set when both directions have ended, and this end has closed none.
    pollfd it{socket.native_handle(), 0, 0};
    return ::poll(&it, 1, 0) > 0 && (it.revents & (POLLHUP | POLLERR)) != 0;
}

bool lacks_resources(const error_code& ec)
{
    constexpr std::array local_errors{EMFILE, ENFILE, ENOBUFS, ENOMEM,
                                      EADDRNOTAVAIL};
    return ec.category() == boost::system::system_category() &&
           std::ranges::find(local_errors, ec.value()) != local_errors.end();
}

} // namespace parsleyplank::proxy
