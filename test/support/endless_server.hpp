#ifndef PARSLEYPLANK_TEST_SUPPORT_ENDLESS_SERVER_HPP
#define PARSLEYPLANK_TEST_SUPPORT_ENDLESS_SERVER_HPP

// An HTTP server whose response never ends: after the first bytes, it repeats
// others until the caller closes the connection.

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace parsleyplank::test
{

// What the server sends after each request. REQUEST-ID in the first bytes
// stands for the id of the request.
struct endless_response
{
    std::string first;
    std::string repeated;
};

class endless_server
{
public:
    // Listens on a free port of 127.0.0.1. Throws std::runtime_error if it
    // can't.
    explicit endless_server(endless_response response);
    // Closes all connections.
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::uint16_t port() const;

    // Returns the number of requests received, and of connections that the
    // caller has closed while the response went on.
    int requests() const;
    int closed_by_caller() const;

private:
    void accept_connections();
    void serve(int socket);

    endless_response response;
    // Declared before the socket, whose set-up stores it.
    std::uint16_t bound_port = 0;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::atomic<int> received{0};
    std::atomic<int> closed{0};
    std::mutex guard;
    std::vector<std::thread> connections;
    std::thread acceptor;
};

} // namespace parsleyplank::test

#endif
