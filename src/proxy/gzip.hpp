#ifndef PARSLEYPLANK_PROXY_GZIP_HPP
#define PARSLEYPLANK_PROXY_GZIP_HPP

// Compression of HTTP bodies (content coding "gzip", RFC 1952).

#include <parsleyplank/proxy/messages.hpp>

#include <string>
#include <string_view>

namespace parsleyplank::proxy
{

// Returns the data as one gzip member. Favours speed over size.
std::string gzip(std::string_view data);

// Returns whether the header fields of a request name the content coding
// "gzip". Weights are not evaluated: only peers, which name it without one, are
// asked.
bool accepts_gzip(const http::fields& fields);

} // namespace parsleyplank::proxy

#endif
