#include "store_access.hpp"

#include <parsleyplank/config/ip_prefix.hpp>
#include <parsleyplank/core/error.hpp>

#include <charconv>
#include <cstdint>
#include <string_view>

#ifdef PARSLEYPLANK_HTTP_STORE
#include <parsleyplank/store/http_kv_store.hpp>
#endif

namespace parsleyplank::publish_app
{

namespace
{

struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

// Parses "http://ADDRESS:PORT", an IPv6 address in brackets.
endpoint parse_url(std::string_view url)
{
    const config_error wrong("store URL \"" + std::string(url) +
                             "\" must have the form http://ADDRESS:PORT with "
                             "an IP address");
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme))
        throw wrong;
    url.remove_prefix(scheme.size());
    if (url.ends_with('/'))
        url.remove_suffix(1);
    const auto colon = url.rfind(':');
    if (colon == url.npos)
        throw wrong;
    endpoint place{std::string(url.substr(0, colon)), 0};
    const auto digits = url.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    const auto [it, ec] = std::from_chars(digits.data(), end, place.port);
    if (ec != std::errc() || it != end || place.port == 0)
        throw wrong;
    if (place.address.starts_with('[') && place.address.ends_with(']'))
        place.address = place.address.substr(1, place.address.size() - 2);
    config::parse_address(place.address);
    return place;
}

} // namespace

std::unique_ptr<store::kv_store> open_store(const std::string& url)
{
    const endpoint place = parse_url(url);
#ifdef PARSLEYPLANK_HTTP_STORE
    store::http_settings settings;
    settings.address = place.address;
    settings.port = place.port;
    return std::make_unique<store::http_kv_store>(settings);
#else
    throw error("can't reach " + place.address +
                ": this program was built without the HTTP store adapter");
#endif
}

} // namespace parsleyplank::publish_app
