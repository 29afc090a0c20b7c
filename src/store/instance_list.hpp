#ifndef PARSLEYPLANK_STORE_INSTANCE_LIST_HPP
#define PARSLEYPLANK_STORE_INSTANCE_LIST_HPP

// The platform's list of live and leaving instances. It lags: an instance that
// died or started seconds ago may be shown wrongly.

#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyplank::store
{

struct listed_instance
{
    instance_id id;
    incarnation life;
    region_id region;
    failure_domain_id domain;
    std::string address;
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t peer_port = 0;
    bool leaving = false;

    bool operator==(const listed_instance&) const = default;
};

class instance_list
{
public:
    virtual ~instance_list() = default;

    // Reads the list. Throws store_unavailable.
    virtual std::vector<listed_instance> read() = 0;
};

} // namespace parsleyplank::store

#endif
