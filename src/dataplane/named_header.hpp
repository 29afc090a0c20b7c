#ifndef PARSLEYPLANK_DATAPLANE_NAMED_HEADER_HPP
#define PARSLEYPLANK_DATAPLANE_NAMED_HEADER_HPP

// A response header whose name is known at run time only. Pistache 0.0.5 does
// not send headers that were added by addRaw.

#include <parsleyplank/dataplane/header_filter.hpp>

#include <pistache/http.h>

namespace parsleyplank::dataplane
{

// Adds a header to a response. Leaves out one whose name or value holds a
// control character, since that could split the response.
void add_header(Pistache::Http::ResponseWriter& writer,
                const header_field& field);

} // namespace parsleyplank::dataplane

#endif
