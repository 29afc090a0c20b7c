#ifndef PARSLEYPLANK_DATAPLANE_CURL_TRANSFER_HPP
#define PARSLEYPLANK_DATAPLANE_CURL_TRANSFER_HPP

// One HTTP exchange with libcurl: sets up an easy handle for a call, collects
// the response, and says what is known at the end.

#include <parsleyplank/dataplane/backend_client.hpp>

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace parsleyplank::dataplane
{

class curl_transfer
{
public:
    // Throws error if libcurl has no memory for a handle.
    curl_transfer();
    ~curl_transfer();

    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;

    // Prepares the handle. The call must outlive the transfer. Throws error if
    // the call holds a control character in its method, target or headers.
    void prepare(const backend_call& call, const client_options& options,
                 bool fresh_connection, time_point now);

    CURL* handle() const
    {
        return easy;
    }

    // Returns whether any byte of a response has arrived.
    bool has_response() const
    {
        return got_bytes;
    }

    // Returns whether any byte of the request was sent. Conservative: true if
    // libcurl sent it on more than one connection.
    bool maybe_sent() const;

    // Returns the result of a transfer that libcurl has ended.
    call_result finish(CURLcode code);

private:
    static size_t take_header(char* data, size_t size, size_t n, void* self);
    static size_t take_body(char* data, size_t size, size_t n, void* self);

    void set_method(const backend_call& call);
    void set_headers(const backend_call& call, time_point now);
    void add_line(const std::string& line);
    void add_header_line(std::string_view line);
    std::string find_fault(long status) const;

    CURL* easy;
    curl_slist* lines = nullptr;
    const backend_call* current = nullptr;
    std::size_t max_bytes = 0;
    std::size_t header_bytes = 0;
    header_list headers;
    std::string body;
    bool got_bytes = false;
    bool too_large = false;
};

} // namespace parsleyplank::dataplane

#endif
