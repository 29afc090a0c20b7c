#ifndef PARSLEYPLANK_TEST_SUPPORT_RAW_SERVER_HPP
#define PARSLEYPLANK_TEST_SUPPORT_RAW_SERVER_HPP

// An HTTP server down to its bytes: the test decides what is sent for each
// request, also nothing or a part, and when a connection closes.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace parsleyplank::test
{

struct scripted_response
{
    std::string bytes;
    bool close = false;
    // Sent after the pause, in which no other request is answered.
    std::string later;
    std::chrono::milliseconds pause{0};
};

// Returns the bytes of a complete response with this status line and body.
std::string http_text(const std::string& status, const std::string& body);

// Returns a socket that listens on a free port of 127.0.0.1, and stores the
// port. Throws std::runtime_error if it can't listen.
int listen_on_loopback(std::uint16_t& port);

class raw_server
{
public:
    // Called with each complete request, head and body, on one thread.
    using responder =
        std::function<scripted_response(const std::string& request)>;

    // Listens on a free port of 127.0.0.1. Throws std::runtime_error if it
    // can't.
    explicit raw_server(responder respond);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint16_t port() const;

private:
    struct connection
    {
        int socket = -1;
        std::string received;
    };

    void run();
    bool serve(connection& from);

    responder respond;
    // Declared before the socket, whose set-up stores it.
    std::uint16_t bound_port = 0;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::vector<connection> connections;
    std::thread thread;
};

} // namespace parsleyplank::test

#endif
