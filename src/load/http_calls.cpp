#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/http_calls.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <string_view>
#include <utility>

namespace parsleyplank::load
{

namespace
{

// Open connections of one run; further calls wait for one of them.
constexpr long most_connections = 2'000;
constexpr long kept_connections = 256;
constexpr std::size_t most_body_bytes = 1'000'000;

struct list_deleter
{
    void operator()(curl_slist* list) const
    {
        curl_slist_free_all(list);
    }
};

std::size_t append_body(const char* data, std::size_t size, std::size_t n,
                        void* target)
{
    auto& body = *static_cast<std::string*>(target);
    // The rest is read and dropped: the call itself succeeds.
    if (body.size() < most_body_bytes)
        body.append(data, size * n);
    return size * n;
}

std::size_t add_header(const char* data, std::size_t size, std::size_t n,
                       void* target)
{
    const std::string_view line(data, size * n);
    const auto colon = line.find(':');
    if (colon == line.npos)
        return size * n;
    std::string name;
    std::ranges::transform(line.substr(0, colon), std::back_inserter(name),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    auto& headers = *static_cast<std::map<std::string, std::string>*>(target);
    headers[name] = first == line.npos || last < first
                        ? ""
                        : std::string(line.substr(first, last - first + 1));
    return size * n;
}

bool was_sent(CURL* handle)
{
    curl_off_t sent_at = 0;
    curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &sent_at);
    return sent_at > 0;
}

} // namespace

struct http_calls::transfer
{
    http_call call;
    handler done;
    http_answer answer;
    std::unique_ptr<curl_slist, list_deleter> headers;
};

struct http_calls::state
{
    CURLM* multi = nullptr;
    std::map<CURL*, std::unique_ptr<transfer>> running;
};

http_calls::http_calls() : calls(std::make_unique<state>())
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    calls->multi = code == CURLE_OK ? curl_multi_init() : nullptr;
    if (calls->multi == nullptr)
        throw error("libcurl can't be set up");
    curl_multi_setopt(calls->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      most_connections);
    curl_multi_setopt(calls->multi, CURLMOPT_MAXCONNECTS, kept_connections);
    // A shared HTTP/2 connection is of no use to plain HTTP/1.1.
    curl_multi_setopt(calls->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

http_calls::~http_calls()
{
    std::ranges::for_each(calls->running,
                          [&](const auto& item)
                          {
                              curl_multi_remove_handle(calls->multi,
                                                       item.first);
                              curl_easy_cleanup(item.first);
                          });
    curl_multi_cleanup(calls->multi);
}

void http_calls::start(http_call call, handler done)
{
    CURL* const handle = curl_easy_init();
    if (handle == nullptr)
        throw error("libcurl can't make another handle");
    auto item = std::make_unique<transfer>();
    item->call = std::move(call);
    item->done = std::move(done);
    auto& c = item->call;
    // Pistache keeps the connection only if asked to, and never answers
    // "Expect: 100-continue".
    c.headers.emplace_back("Connection: keep-alive");
    c.headers.emplace_back("Expect:");
    std::ranges::for_each(c.headers,
                          [&](const std::string& line)
                          {
                              auto* const old = item->headers.release();
                              item->headers.reset(
                                  curl_slist_append(old, line.c_str()));
                          });
    curl_easy_setopt(handle, CURLOPT_URL, c.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, item->headers.get());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(c.timeout.count()));
    if (c.method == "HEAD")
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    else if (c.method != "GET")
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(c.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, c.body.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, c.method.c_str());
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, c.may_resend ? 0L : 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, c.may_resend ? 0L : 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &item->answer.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &add_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &item->answer.headers);
    calls->running.emplace(handle, std::move(item));
    curl_multi_add_handle(calls->multi, handle);
}

void http_calls::poll(milliseconds limit)
{
    int n = 0;
    curl_multi_perform(calls->multi, &n);
    curl_multi_poll(calls->multi, nullptr, 0, static_cast<int>(limit.count()),
                    nullptr);
    curl_multi_perform(calls->multi, &n);
    std::vector<std::pair<CURL*, CURLcode>> ended;
    while (const CURLMsg* message = curl_multi_info_read(calls->multi, &n))
        if (message->msg == CURLMSG_DONE)
            ended.emplace_back(message->easy_handle, message->data.result);
    std::ranges::for_each(ended, [&](const auto& item)
                          { complete(item.first, item.second); });
}

void http_calls::complete(void* handle, int code)
{
    const auto it = calls->running.find(handle);
    const auto item = std::move(it->second);
    calls->running.erase(it);
    auto& answer = item->answer;
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    answer.answered = code == CURLE_OK;
    answer.sent = answer.answered || was_sent(handle);
    if (!answer.answered)
        answer.problem = curl_easy_strerror(static_cast<CURLcode>(code));
    curl_multi_remove_handle(calls->multi, handle);
    curl_easy_cleanup(handle);
    item->done(answer);
}

} // namespace parsleyplank::load
