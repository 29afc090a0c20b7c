#include <parsleyplank/core/error.hpp>
#include <parsleyplank/dataplane/curl_transfer.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

namespace parsleyplank::dataplane
{

namespace
{

// Largest size of the headers and trailers of a response, those of interim
// responses included, in bytes. libcurl bounds each line, and the headers, but
// keeps any number of trailers.
constexpr std::size_t max_header_bytes = 300'000;

bool is_control(unsigned char c)
{
    return c < 0x20 || c == 0x7F;
}

void check_text(std::string_view text, const char* what)
{
    if (std::ranges::any_of(text, is_control))
        throw error(std::string("control character in the ") + what +
                    " of a backend call");
}

void check_call(const backend_call& call)
{
    check_text(call.method, "method");
    check_text(call.target, "target");
    check_text(call.id.value, "request id");
    for (const auto& field : call.headers)
    {
        check_text(field.name, "header name");
        check_text(field.value, "header value");
    }
    if (!call.target.starts_with('/') ||
        call.target.find(' ') != std::string::npos)
        throw error("the target of a backend call is not a path");
}

std::string make_url(const backend_call& call)
{
    const bool ipv6 = call.address.find(':') != std::string::npos;
    const auto host = ipv6 ? '[' + call.address + ']' : call.address;
    return "http://" + host + ':' + std::to_string(call.port) + '/';
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool has_body(const backend_call& call)
{
    return call.body && !call.body->empty();
}

} // namespace

curl_transfer::curl_transfer() : easy(curl_easy_init())
{
    if (easy == nullptr)
        throw error("libcurl has no memory for a handle");
}

curl_transfer::~curl_transfer()
{
    curl_easy_cleanup(easy);
    curl_slist_free_all(lines);
}

void curl_transfer::prepare(const backend_call& call,
                            const client_options& options,
                            bool fresh_connection, time_point now)
{
    check_call(call);
    current = &call;
    max_bytes = options.max_response_bytes;
    headers.clear();
    body.clear();
    got_bytes = false;
    header_bytes = 0;
    too_large = false;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, make_url(call).c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    // No proxy from the environment.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(options.idle_connection_age.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    if (fresh_connection)
    {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_method(call);
    set_headers(call, now);
}

void curl_transfer::set_method(const backend_call& call)
{
    if (call.method == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool always_has_length =
        call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
    if (has_body(call) || always_has_length)
    {
        const auto size = call.body ? call.body->size() : 0;
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(size));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         call.body ? call.body->data() : "");
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
}

void curl_transfer::set_headers(const backend_call& call, time_point now)
{
    curl_slist_free_all(lines);
    lines = nullptr;
    // An empty value removes the header that libcurl adds by itself.
    // "Expect: 100-continue" would cost a round trip or a second.
    add_line("Expect:");
    if (find_header(call.headers, "accept") == nullptr)
        add_line("Accept:");
    if (find_header(call.headers, "content-type") == nullptr)
        add_line("Content-Type:");
    for (const auto& field : call.headers)
    {
        // With ';' libcurl sends a header with an empty value.
        add_line(field.value.empty() ? field.name + ';'
                                     : field.name + ": " + field.value);
    }
    const auto left =
        std::max(milliseconds(0),
                 std::chrono::duration_cast<milliseconds>(call.deadline - now));
    add_line("X-Request-Id: " + call.id.value);
    add_line("X-Deadline-Ms: " + std::to_string(left.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
}

void curl_transfer::add_line(const std::string& line)
{
    auto* longer = curl_slist_append(lines, line.c_str());
    if (longer == nullptr)
        throw error("libcurl has no memory for a header");
    lines = longer;
}

bool curl_transfer::maybe_sent() const
{
    long bytes = 0;
    // Counts bytes handed to the socket, summed over libcurl's own retries.
    if (curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes) != CURLE_OK)
        return true;
    return bytes > 0;
}

size_t curl_transfer::take_header(char* data, size_t size, size_t n, void* self)
{
    auto& it = *static_cast<curl_transfer*>(self);
    it.got_bytes = true;
    it.header_bytes += size * n;
    it.too_large = it.too_large || it.header_bytes > max_header_bytes;
    it.add_header_line({data, size * n});
    return it.too_large ? 0 : size * n;
}

void curl_transfer::add_header_line(std::string_view line)
{
    if (line.starts_with("HTTP/"))
    {
        // Headers of an interim response (1xx) are not those of the response.
        headers.clear();
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    std::string name(trim(line.substr(0, colon)));
    std::ranges::transform(name, name.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    headers.push_back(
        {std::move(name), std::string(trim(line.substr(colon + 1)))});
    // Far above what any backend server sends; bounds the memory.
    constexpr std::size_t most_headers = 256;
    too_large = too_large || headers.size() > most_headers;
}

size_t curl_transfer::take_body(char* data, size_t size, size_t n, void* self)
{
    auto& it = *static_cast<curl_transfer*>(self);
    it.got_bytes = true;
    if (it.body.size() + size * n > it.max_bytes)
    {
        it.too_large = true;
        return 0;
    }
    it.body.append(data, size * n);
    return size * n;
}

// Returns why a response that libcurl takes for complete is not accepted, or an
// empty text.
std::string curl_transfer::find_fault(long status) const
{
    if (status < 200 || status > 599)
        return "status " + std::to_string(status);
    const auto foreign = std::ranges::any_of(
        headers, [&](const header_field& it)
        { return it.name == "x-request-id" && it.value != current->id.value; });
    if (foreign)
        return "response carries another X-Request-Id";
    if (current->method == "HEAD" || status == 204 || status == 304)
        return {};
    const auto* length = find_header(headers, "content-length");
    const bool chunked = find_header(headers, "transfer-encoding") != nullptr;
    // The end of the connection proves nothing about the end of the body.
    if (length == nullptr && !chunked)
        return "response without a length";
    const auto differs = std::ranges::any_of(
        headers, [&](const header_field& it)
        { return it.name == "content-length" && it.value != *length; });
    if (length != nullptr && !chunked &&
        (differs || *length != std::to_string(body.size())))
        return "Content-Length differs from the body";
    return {};
}

call_result curl_transfer::finish(CURLcode code)
{
    call_result result;
    result.maybe_sent = maybe_sent();
    long connects = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
    result.new_connection = connects > 0;
    if (code != CURLE_OK)
    {
        result.outcome =
            result.maybe_sent ? call_outcome::lost : call_outcome::not_sent;
        result.detail =
            too_large ? "response too large" : curl_easy_strerror(code);
        return result;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    result.detail = find_fault(status);
    if (!result.detail.empty())
    {
        result.outcome = call_outcome::lost;
        return result;
    }
    result.outcome = call_outcome::response;
    result.maybe_sent = true;
    result.status = static_cast<int>(status);
    result.headers = std::move(headers);
    result.body = std::move(body);
    return result;
}

} // namespace parsleyplank::dataplane
