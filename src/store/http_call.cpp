#include <parsleyplank/store/http_call.hpp>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string_view>
#include <utility>

namespace parsleyplank::store
{

namespace
{

// Largest size of the header and trailers of a response, in bytes. libcurl
// bounds each line, and the header, but keeps any number of trailers.
constexpr std::size_t max_header_bytes = 300'000;

struct received_response
{
    std::string body;
    std::size_t max_body_bytes = 0;
    std::size_t header_bytes = 0;
    // Name of the header to keep, and its value.
    std::string kept_name;
    std::string kept_value;
};

// Returns fewer bytes than given, which ends the transfer, above the limit.
std::size_t append_body(const char* data, std::size_t size, std::size_t n,
                        void* target)
{
    auto& response = *static_cast<received_response*>(target);
    if (response.body.size() + size * n > response.max_body_bytes)
        return 0;
    response.body.append(data, size * n);
    return size * n;
}

// Returns the value of the header line if it has this name, without regard to
// case and without surrounding spaces.
std::optional<std::string> header_value(std::string_view line,
                                        std::string_view name)
{
    const auto to_lower = [](char c)
    {
        return std::tolower(static_cast<unsigned char>(c));
    };
    const bool matches = line.size() > name.size() &&
                         line[name.size()] == ':' &&
                         std::ranges::equal(line.substr(0, name.size()), name,
                                            {}, to_lower, to_lower);
    if (!matches)
        return std::nullopt;
    constexpr std::string_view spaces = " \t\r\n";
    auto value = line.substr(name.size() + 1);
    value.remove_prefix(
        std::min(value.find_first_not_of(spaces), value.size()));
    value = value.substr(0, value.find_last_not_of(spaces) + 1);
    return std::string(value);
}

// Counts a line of the header or of the trailers, and keeps the value of the
// wanted one. Returns 0, which ends the transfer, above the limit.
std::size_t take_header(const char* data, std::size_t size, std::size_t n,
                        void* target)
{
    auto& response = *static_cast<received_response*>(target);
    response.header_bytes += size * n;
    if (!response.kept_name.empty())
        if (auto value = header_value({data, size * n}, response.kept_name))
            response.kept_value = *std::move(value);
    return response.header_bytes > max_header_bytes ? 0 : size * n;
}

int set_user_timeout(void* data, curl_socket_t socket, curlsocktype /*use*/)
{
    const auto& settings = *static_cast<const http_settings*>(data);
    const auto ms = static_cast<unsigned int>(settings.silence_timeout.count());
    const bool set =
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms) == 0;
    return set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

void start_libcurl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK)
        throw error(std::string("libcurl can't be set up: ") +
                    curl_easy_strerror(code));
}

std::string format_authority(const http_settings& settings)
{
    const bool v6 = settings.address.find(':') != std::string::npos;
    return (v6 ? "[" + settings.address + "]" : settings.address) + ":" +
           std::to_string(settings.port);
}

// The request is surely unsent if not even its header has left libcurl.
bool may_be_sent(CURL* easy)
{
    long n = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &n);
    return n > 0;
}

} // namespace

struct http_call::state
{
    explicit state(http_settings chosen)
        : settings(std::move(chosen)), authority(format_authority(settings))
    {
    }

    ~state()
    {
        curl_slist_free_all(headers);
        curl_slist_free_all(all_headers);
        curl_easy_cleanup(easy);
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    static void append(curl_slist*& to, const char* line)
    {
        auto* list = curl_slist_append(to, line);
        if (list == nullptr)
            throw error("libcurl has no memory for a header");
        to = list;
    }

    void add_header(const char* line)
    {
        append(headers, line);
    }

    // Sends these headers beside those of all requests.
    void set_headers(const std::vector<std::string>& more)
    {
        if (more.empty() && all_headers == nullptr)
            return;
        curl_slist_free_all(std::exchange(all_headers, nullptr));
        for (const auto* it = headers; it != nullptr; it = it->next)
            append(all_headers, it->data);
        for (const auto& it : more)
            append(all_headers, it.c_str());
        set(CURLOPT_HTTPHEADER, all_headers);
    }

    template <typename Value>
    void set(CURLoption option, Value value)
    {
        const auto code = curl_easy_setopt(easy, option, value);
        if (code != CURLE_OK)
            throw error("libcurl option " + std::to_string(option) + ": " +
                        curl_easy_strerror(code));
    }

    void set_common_options();
    // Also restores the method that a removal has replaced.
    void set_connection_use(connection_use use);
    http_response perform(const std::string& path, milliseconds timeout);

    http_settings settings;
    std::string authority;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    // The headers of the last request with further ones; null before the first.
    curl_slist* all_headers = nullptr;
    received_response response;
    std::array<char, CURL_ERROR_SIZE> message{};
};

void http_call::state::set_common_options()
{
    // The platform is reached directly, whatever the environment says.
    set(CURLOPT_PROXY, "");
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_PROTOCOLS_STR, "http");
    set(CURLOPT_FOLLOWLOCATION, 0L);
    set(CURLOPT_TCP_NODELAY, 1L);
    set(CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(settings.connect_timeout.count()));
    set(CURLOPT_WRITEFUNCTION, &append_body);
    set(CURLOPT_WRITEDATA, static_cast<void*>(&response));
    set(CURLOPT_HEADERFUNCTION, &take_header);
    set(CURLOPT_HEADERDATA, static_cast<void*>(&response));
    set(CURLOPT_ERRORBUFFER, message.data());
    if (settings.accept_compressed)
        set(CURLOPT_ACCEPT_ENCODING, "gzip");
    add_header(("Content-Type: " + settings.content_type).c_str());
    if (settings.silence_timeout > milliseconds(0))
    {
        // One probe a second; the connection breaks when none is answered.
        set(CURLOPT_TCP_KEEPALIVE, 1L);
        set(CURLOPT_TCP_KEEPIDLE, 1L);
        set(CURLOPT_TCP_KEEPINTVL, 1L);
        set(CURLOPT_SOCKOPTFUNCTION, &set_user_timeout);
        set(CURLOPT_SOCKOPTDATA, static_cast<void*>(&settings));
    }
    // Without this header Pistache responds with "Connection: Close".
    add_header("Connection: keep-alive");
    // Pistache does not respond to this header, so libcurl would wait 1 s.
    add_header("Expect:");
    set(CURLOPT_HTTPHEADER, headers);
}

void http_call::state::set_connection_use(connection_use use)
{
    const long fresh = use == connection_use::fresh ? 1 : 0;
    set(CURLOPT_FRESH_CONNECT, fresh);
    set(CURLOPT_FORBID_REUSE, fresh);
    set(CURLOPT_CUSTOMREQUEST, static_cast<const char*>(nullptr));
}

http_response http_call::state::perform(const std::string& path,
                                        milliseconds timeout)
{
    const auto url = "http://" + authority + path;
    set(CURLOPT_URL, url.c_str());
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    response.body.clear();
    response.header_bytes = 0;
    response.kept_name = settings.returned_header;
    response.kept_value.clear();
    response.max_body_bytes = settings.max_response_bytes;
    message.front() = '\0';
    const auto code = curl_easy_perform(easy);
    if (code != CURLE_OK)
    {
        const auto* reason =
            message.front() != '\0' ? message.data() : curl_easy_strerror(code);
        throw transfer_error(url + ": " + reason, may_be_sent(easy));
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return {static_cast<int>(status), std::move(response.body),
            std::move(response.kept_value)};
}

http_call::http_call(http_settings settings)
{
    start_libcurl();
    self = std::make_unique<state>(std::move(settings));
    self->easy = curl_easy_init();
    if (self->easy == nullptr)
        throw error("libcurl can't create a handle");
    self->set_common_options();
}

http_call::~http_call() = default;

http_response http_call::post(const std::string& path, const std::string& body,
                              connection_use use, milliseconds extra_wait,
                              const std::vector<std::string>& more_headers)
{
    self->set_headers(more_headers);
    self->set_connection_use(use);
    self->set(CURLOPT_POST, 1L);
    self->set(CURLOPT_POSTFIELDSIZE_LARGE,
              static_cast<curl_off_t>(body.size()));
    self->set(CURLOPT_POSTFIELDS, body.data());
    return self->perform(path, self->settings.call_timeout + extra_wait);
}

http_response http_call::get(const std::string& path, milliseconds extra_wait)
{
    self->set_connection_use(connection_use::reused);
    self->set(CURLOPT_HTTPGET, 1L);
    return self->perform(path, self->settings.call_timeout + extra_wait);
}

http_response http_call::remove(const std::string& path)
{
    self->set_connection_use(connection_use::fresh);
    self->set(CURLOPT_HTTPGET, 1L);
    self->set(CURLOPT_CUSTOMREQUEST, "DELETE");
    return self->perform(path, self->settings.call_timeout);
}

const std::string& http_call::authority() const
{
    return self->authority;
}

} // namespace parsleyplank::store
