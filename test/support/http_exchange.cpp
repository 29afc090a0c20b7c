#include "support/http_exchange.hpp"

#include <curl/curl.h>

#include <memory>
#include <stdexcept>

namespace parsleyplank::test
{

namespace
{

std::size_t append_body(const char* data, std::size_t size, std::size_t n,
                        void* target)
{
    static_cast<std::string*>(target)->append(data, size * n);
    return size * n;
}

} // namespace

exchange_result http_exchange(std::uint16_t port, const std::string& method,
                              const std::string& path, const std::string& body)
{
    constexpr long timeout_s = 20;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
        curl_easy_init(), &curl_easy_cleanup);
    const auto url = "http://127.0.0.1:" + std::to_string(port) + path;
    exchange_result result;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT, timeout_s);
    if (method != "GET")
    {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &result.body);
    const auto code = curl_easy_perform(easy.get());
    if (code != CURLE_OK)
        throw std::runtime_error(url + ": " + curl_easy_strerror(code));
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    return result;
}

} // namespace parsleyplank::test
