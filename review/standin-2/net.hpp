#ifndef PARSLEYPLANK_REVIEW_2_NET_HPP
#define PARSLEYPLANK_REVIEW_2_NET_HPP

// Loopback sockets and HTTP/1.1 messages of the stand-ins.

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review2
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Owns a socket.
class connection
{
public:
    explicit connection(int descriptor = -1);
    ~connection();
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int fd() const;
    bool send_all(std::string_view bytes) const;
    void set_receive_timeout(milliseconds limit) const;
    // Appends what has arrived to `received`. Returns false at the end of the
    // connection, after an error or when the time is over.
    bool receive();
    // Removes a line or a number of bytes from the front of what arrives.
    std::optional<std::string> take_line();
    std::optional<std::string> take_bytes(std::size_t n);

    std::string received;

private:
    int descriptor;
};

connection connect_to(std::uint16_t port);

// Listens on a free port of the loopback address.
connection listen_on_free_port(std::uint16_t& port);

// Serves each connection to a free port on a thread of its own. The destructor
// closes all connections and waits for the threads.
class server_loop
{
public:
    explicit server_loop(std::function<void(connection&)> serve);
    ~server_loop();
    server_loop(const server_loop&) = delete;
    server_loop& operator=(const server_loop&) = delete;

    std::uint16_t port() const;

private:
    struct worker
    {
        connection caller;
        std::thread thread;
    };

    void accept_connections();

    std::function<void(connection&)> handler;
    std::uint16_t listen_port = 0;
    connection listener;
    std::list<worker> workers;
    std::thread acceptor;
};

// Returns a port that is free for TCP and UDP, as is the next one.
std::uint16_t find_free_ports();

struct message
{
    std::string start_line;
    // Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& lower_case_name) const;
};

// Reads a request with a length or without a body.
std::optional<message> read_request(connection& from);

// Reads the response to a request with this method: one to HEAD has no body.
// Returns nothing if the bytes are no HTTP/1.1 response; they stay in
// `from.received`.
std::optional<message> read_response(connection& from, std::string_view method);

} // namespace review2

#endif
