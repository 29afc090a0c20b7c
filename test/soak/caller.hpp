#ifndef PARSLEYPLANK_TEST_SOAK_CALLER_HPP
#define PARSLEYPLANK_TEST_SOAK_CALLER_HPP

// A caller of one of several habits, on a thread of its own. Keeps using a
// connection until a response closes it or it ends, then opens another one to
// an instance that accepts it.

#include "backend.hpp"

#include <functional>
#include <random>

namespace soak
{

struct caller_habit
{
    std::string name;
    std::string route = "read";
    work_order order;
    // What requests ask for that are sent behind another one, if it differs.
    std::optional<work_order> order_behind;
    // Number of requests that are sent before the first is answered.
    int depth = 1;
    // Interval at which further requests are sent.
    milliseconds interval{100};
    // Bytes per second at which responses are read; 0 if as fast as possible.
    std::size_t read_rate = 0;
    // Size of the request's body, and bytes per second at which it is sent.
    std::size_t request_bytes = 0;
    std::size_t send_rate = 0;
    milliseconds deadline{2'000};
    // Closes the connection after each response.
    bool reconnects = false;
    // Sends bodies in chunks.
    bool chunked = false;
    // Sends the body after an interim response, or after a second.
    bool expects = false;
    // Time after a refusal for which the body is still sent.
    milliseconds persistence{0};
    // Time after which the caller leaves, for some of the connections.
    std::optional<milliseconds> patience;
};

enum class request_end
{
    // No whole response before the connection ended or the caller stopped.
    none,
    // A whole response of a backend server.
    served,
    // The response of a backend server that has stopped at its deadline.
    timed_out,
    // A response of the instance.
    refused,
    // A response that is not the one of this request.
    wrong,
    // The caller left.
    left
};

struct sent_request
{
    std::string id;
    std::string instance;
    // Port of the caller's connection.
    std::uint16_t port = 0;
    clock::time_point head_sent{};
    // When the last byte was sent.
    clock::time_point sent{};
    clock::time_point ended{};
    request_end end = request_end::none;
    unsigned status = 0;
    // Bytes of the response that were received.
    std::size_t received = 0;
    // Another request was pending on the connection when this one was sent.
    bool behind_another = false;
    std::size_t response_bytes = 0;
    // The request was sent to its last byte.
    bool whole = false;
};

// An instance that callers may use.
struct target
{
    std::string instance;
    std::uint16_t port = 0;
};

// An answer of the directory.
struct directory_answer
{
    std::string instance;
    clock::time_point at;
    std::string body;
};

class caller
{
public:
    // Calls choose() for each new connection; it returns no target if there is
    // none.
    // `receive_buffer` is that of its sockets in bytes, 0 for the system's.
    caller(std::string name, caller_habit habit,
           std::function<std::optional<target>(std::mt19937&)> choose,
           unsigned seed, int receive_buffer);
    ~caller();

    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    // Sends nothing further; the thread ends once nothing is pending.
    void stop();

    // Waits until the thread has ended.
    void join();

    // To be called after join().
    const std::vector<sent_request>& requests() const
    {
        return sent;
    }

    const std::vector<directory_answer>& directory_answers() const
    {
        return answers;
    }

    const caller_habit& habits() const
    {
        return habit;
    }

private:
    struct link;

    void run();
    void use(link& it);
    void add_request(link& it);
    bool send_part(link& it);
    bool receive_part(link& it);
    // Takes whole responses from what was received. Returns false after a
    // response that closes the connection.
    bool take_responses(link& it);
    void take_response(link& it, const std::string& head,
                       const std::string& body);

    const std::string name;
    const caller_habit habit;
    const std::function<std::optional<target>(std::mt19937&)> choose;
    std::mt19937 rng;
    const int receive_buffer;
    std::atomic<bool> stopping{false};
    std::vector<sent_request> sent;
    std::vector<directory_answer> answers;
    int next_number = 1;
    std::thread thread;
};

} // namespace soak

#endif
