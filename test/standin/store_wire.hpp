#ifndef PARSLEYPLANK_TEST_STANDIN_STORE_WIRE_HPP
#define PARSLEYPLANK_TEST_STANDIN_STORE_WIRE_HPP

// Response bodies and parameters of the stand-in store.

#include "standin/store_core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyplank::standin
{

// Return the MessagePack body of a response to a store call.
std::string to_bytes(const store::list_result& result);
std::string to_bytes(const store::read_result& result);
std::string to_bytes(const store::write_result& result);

// Return the JSON body of the counts and of the instance list.
std::string to_text(const arrival_counts& counts);
std::string to_text(const std::vector<store::listed_instance>& instances);

// Returns the number that a query parameter holds. Throws error, which holds
// the text, if it is not a number.
std::uint64_t parse_number(const std::string& text);

} // namespace parsleyplank::standin

#endif
