#ifndef PARSLEYPLANK_DATAPLANE_FRONT_CONNECTION_HPP
#define PARSLEYPLANK_DATAPLANE_FRONT_CONNECTION_HPP

// One caller's connection: collects a request, hands it out, and sends the one
// response. Pistache names connections by file descriptor in its write queue,
// so nothing is queued after the connection has ended, and what was queued
// before is flushed while the descriptor still belongs to it.

#include <parsleyplank/core/response_backlog.hpp>
#include <parsleyplank/dataplane/http_front.hpp>
#include <parsleyplank/dataplane/request_head.hpp>

#include <pistache/http.h>
#include <pistache/peer.h>
#include <pistache/transport.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace parsleyplank::dataplane
{

class front_connection;

// What the connections of one server share.
struct front_core
{
    front_options options;
    request_handler handler;

    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> bad_requests = 0;
    std::atomic<std::uint64_t> body_memory_refusals = 0;
    std::atomic<std::uint64_t> early_requests = 0;
    std::atomic<std::uint64_t> timeouts = 0;
    std::atomic<std::size_t> body_bytes = 0;

    // Guards the members below.
    std::mutex mutex;
    std::condition_variable changed;
    std::unordered_map<std::size_t, std::shared_ptr<front_connection>>
        connections;
    std::size_t outstanding = 0;
    cut_counts cut;
};

// Adds to a counter that the core's mutex guards.
void add_to(front_core& core, std::size_t front_core::*counter, int n);

class front_connection : public std::enable_shared_from_this<front_connection>
{
public:
    front_connection(std::shared_ptr<front_core> shared_core,
                     const std::shared_ptr<Pistache::Tcp::Peer>& its_peer,
                     Pistache::Tcp::Transport* its_transport);

    // Takes received bytes; on the server thread.
    void take_input(std::string_view data);

    // Sends the response of the outstanding request. Returns false if the
    // connection has ended.
    bool complete(const outbound_response& response);

    // Sets the id of the outstanding request for logs.
    void name_request(const std::string& id);

    // Closes the connection if a timeout of the options has passed.
    void check_timeouts(time_point now);

    // Returns whether the connection can be closed for a stop: nothing of a
    // request has been received, its caller has received all responses, and has
    // had the time to close a connection that was answered for the last time.
    bool is_settled(time_point now);

    // Closes the connection if it is settled.
    void close_if_settled(time_point now);

    // Closes the connection, which is then reported as ended. Logs and counts
    // the requests that this cuts off.
    void close(close_reason reason);

    // Nothing is queued for sending from now on.
    void mark_ended();

    bool ended() const;

private:
    enum class phase
    {
        idle,
        head,
        body,
        outstanding,
        // Answered for the last time; waits for the caller to close.
        finished
    };

    struct queued_write
    {
        Pistache::Async::Promise<ssize_t> sent;
        std::size_t bytes;
        // Close the connection after it.
        bool close;
    };

    bool read_request(std::string_view data);
    void take_head(std::string_view& data);
    void start_body(std::size_t head_size);
    void take_body(std::string_view& data);
    void refuse(int status, const std::string& text);
    void refuse(const outbound_response& response);
    void dispatch();
    queued_write write(const outbound_response& response, bool close);
    void await_write(queued_write response);
    void end_write(std::size_t bytes, bool close);
    // Returns which timeout has passed, if any.
    std::optional<close_reason> exceeded_limit(time_point now);
    // Returns whether the caller has received all that was to be written.
    bool all_received(time_point now);
    // Returns since when a finished connection is expected to be closed by its
    // caller, which may not have read its response while it still sends.
    time_point finished_since() const;
    bool is_settled_locked(time_point now);
    // These expect that the connection hasn't ended.
    void close_locked(close_reason reason);
    void report_cut(close_reason reason);

    const std::shared_ptr<front_core> core;
    const std::weak_ptr<Pistache::Tcp::Peer> peer;
    Pistache::Tcp::Transport* const transport;
    const int fd;

    // Guards the members below.
    mutable std::mutex mutex;
    phase now_in = phase::idle;
    bool has_ended = false;
    // Shut down by this server; the end is not reported yet.
    bool closed = false;
    const time_point connection_start;
    // Close after the response of the outstanding request.
    bool close_after = false;
    // False for HEAD: a body would be taken for the next response.
    bool wants_body = true;
    bool line_checked = false;
    std::string buffer;
    inbound_request request;
    std::uint64_t body_left = 0;
    // Id of the outstanding request, if it has one.
    std::string request_id;
    // Ids of the requests whose responses are queued for writing.
    std::deque<std::string> queued;
    response_backlog backlog;
    // A refusal that was queued and is not awaited yet.
    std::optional<queued_write> refusal_sent;
    time_point phase_start;
    time_point last_input;
    time_point body_limit;
    // Time until which the caller must have received what was written.
    time_point write_limit;
};

} // namespace parsleyplank::dataplane

#endif
