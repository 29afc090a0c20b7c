#include <parsleyplank/core/socket_queue.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>

namespace parsleyplank
{

namespace
{

std::size_t queue_size(int descriptor, unsigned long request)
{
    int bytes = 0;
    if (::ioctl(descriptor, request, &bytes) != 0 || bytes < 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

} // namespace

std::size_t unacknowledged_bytes(int descriptor)
{
    return queue_size(descriptor, SIOCOUTQ);
}

std::size_t unread_bytes(int descriptor)
{
    return queue_size(descriptor, SIOCINQ);
}

void discard_unread(int descriptor)
{
    constexpr int max_reads = 64;
    std::array<char, 16'384> buf{};
    for (int i = 0; i < max_reads; ++i)
        if (::recv(descriptor, buf.data(), buf.size(), MSG_DONTWAIT) <= 0)
            return;
}

} // namespace parsleyplank
