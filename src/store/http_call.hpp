#ifndef PARSLEYPLANK_STORE_HTTP_CALL_HPP
#define PARSLEYPLANK_STORE_HTTP_CALL_HPP

// One HTTP client connection to the platform, over libcurl. Shared by the
// adapters of the key-value store and of the instance list.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/error.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace parsleyplank::store
{

// Where the platform listens and how long to wait for it.
struct http_settings
{
    // IP address.
    std::string address;
    std::uint16_t port = 0;
    milliseconds connect_timeout{500};
    // Longest time for one call, connecting included. A watch adds its wait.
    milliseconds call_timeout{2'000};
    // A larger response is an error. Bounds memory against a faulty platform.
    std::size_t max_response_bytes = 64'000'000;
    std::string content_type = "application/octet-stream";
    // Whether responses may be compressed (gzip). max_response_bytes limits
    // what they expand to.
    bool accept_compressed = false;
    // Time without any sign of the platform after which a connection counts as
    // broken, found by keep-alive probes; 0 sends none. A call that waits long
    // would not notice otherwise.
    milliseconds silence_timeout{0};
    // Name of a response header whose value is returned; empty for none.
    std::string returned_header;
};

struct http_response
{
    int status = 0;
    std::string body;
    // Value of http_settings::returned_header; empty if there was none.
    std::string header;
};

// The transfer ended without a complete response.
class transfer_error : public error
{
public:
    transfer_error(const std::string& what, bool sent)
        : error(what), may_be_sent(sent)
    {
    }

    // False if the platform surely has not received the request.
    bool may_be_sent;
};

// Whether libcurl may use an open connection. Over a reused connection that
// the server closes before it responds, libcurl sends the request again by
// itself; a request that must not run twice needs a fresh one.
enum class connection_use
{
    reused,
    fresh
};

class http_call
{
public:
    // Connects on the first call. Throws error if libcurl can't be set up.
    explicit http_call(http_settings settings);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    // Sends the body by POST and returns the response with any status. Waits
    // for the call timeout plus the extra wait. The further headers, each
    // "NAME: VALUE", are sent with this request only. Throws transfer_error.
    http_response post(const std::string& path, const std::string& body,
                       connection_use use, milliseconds extra_wait,
                       const std::vector<std::string>& more_headers = {});

    // Reads a resource by GET, over a reused connection. Waits for the call
    // timeout plus the extra wait. Throws transfer_error.
    http_response get(const std::string& path,
                      milliseconds extra_wait = milliseconds(0));

    // Removes a resource by DELETE, over a fresh connection. Throws
    // transfer_error.
    http_response remove(const std::string& path);

    // Returns "ADDRESS:PORT", for messages.
    const std::string& authority() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace parsleyplank::store

#endif
