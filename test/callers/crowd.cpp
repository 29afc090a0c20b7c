#include "crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>

namespace callers
{

namespace
{

// Keeps the system from taking much more than what a caller reads.
constexpr int receive_buffer_bytes = 4'096;
// Bytes that one caller may send in one turn.
constexpr std::size_t turn_bytes = 262'144;
constexpr milliseconds turn_interval{2};

class crowd_caller
{
public:
    explicit crowd_caller(caller_plan what) : plan(std::move(what))
    {
    }

    ~crowd_caller()
    {
        close();
    }

    crowd_caller(const crowd_caller&) = delete;
    crowd_caller& operator=(const crowd_caller&) = delete;

    void act(clock::time_point now)
    {
        if (now < next_turn)
            return;
        next_turn = now + plan.interval;
        if (fd < 0)
            connect();
        if (fd >= 0)
            send();
        if (fd >= 0)
            receive();
    }

private:
    void connect()
    {
        if (left == 0)
            return;
        --left;
        sent = 0;
        fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof receive_buffer_bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(plan.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) != 0 &&
            errno != EINPROGRESS)
            close();
    }

    void send()
    {
        const auto& bytes = *plan.bytes;
        const auto most = std::min(
            sent + (plan.interval > milliseconds(0) ? plan.piece : turn_bytes),
            bytes.size());
        while (sent < most)
        {
            const auto n =
                ::send(fd, bytes.data() + sent,
                       std::min(plan.piece, most - sent), MSG_NOSIGNAL);
            if (n <= 0)
            {
                close_if_failed();
                return;
            }
            sent += static_cast<std::size_t>(n);
        }
    }

    // Notices a close also when nothing is read.
    void receive()
    {
        std::array<char, 4'096> part{};
        const bool reads = plan.read_piece > 0;
        const auto n = ::recv(
            fd, part.data(), reads ? std::min(plan.read_piece, part.size()) : 1,
            reads ? 0 : MSG_PEEK);
        if (n == 0)
            close();
        else if (n < 0)
            close_if_failed();
    }

    void close_if_failed()
    {
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN)
            close();
    }

    void close()
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }

    const caller_plan plan;
    int left = 1 + plan.returns;
    int fd = -1;
    std::size_t sent = 0;
    clock::time_point next_turn{};
};

} // namespace

void run_crowd(const std::vector<caller_plan>& plans,
               const std::function<bool()>& done)
{
    std::vector<std::unique_ptr<crowd_caller>> all;
    std::ranges::transform(plans, std::back_inserter(all),
                           [](const caller_plan& it)
                           { return std::make_unique<crowd_caller>(it); });
    while (!done())
    {
        for (const auto& it : all)
            it->act(clock::now());
        std::this_thread::sleep_for(turn_interval);
    }
}

} // namespace callers
