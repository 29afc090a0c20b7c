#ifndef PARSLEYPLANK_REVIEW_PIPELINING_CLIENT_HPP
#define PARSLEYPLANK_REVIEW_PIPELINING_CLIENT_HPP

// A client that sends idempotent requests on one kept connection without
// waiting for the responses to the earlier ones.

#include "http_server.hpp"
#include "record.hpp"

#include <condition_variable>
#include <deque>

namespace review
{

struct sent_request
{
    std::string id;
    clock::time_point sent;
    // Status of the complete response; 0 if there is none.
    unsigned status = 0;
    // Time of the response, or of the end of the connection.
    clock::time_point ended;
};

class pipelining_client
{
public:
    // Sends a request each interval until stop(), a response with "Connection:
    // close" or the end of the connection.
    pipelining_client(const std::string& name, std::uint16_t port,
                      const std::string& path, milliseconds interval,
                      milliseconds deadline, record& log);
    ~pipelining_client();

    pipelining_client(const pipelining_client&) = delete;
    pipelining_client& operator=(const pipelining_client&) = delete;

    // Sends no more requests and waits for the responses.
    void stop();

    // The requests that have been sent; to be called after stop().
    const std::vector<sent_request>& requests() const
    {
        return sent;
    }

private:
    void send_requests();
    void read_responses();

    std::string name;
    std::string path;
    milliseconds interval;
    milliseconds deadline;
    record& log;
    asio::io_context io;
    tcp::socket socket;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool ended = false;
    std::vector<sent_request> sent;
    std::size_t answered = 0;
    std::thread writer;
    std::thread reader;
};

} // namespace review

#endif
