#ifndef PARSLEYPLANK_ENTRY_LOOKUP_INSTANCES_HPP
#define PARSLEYPLANK_ENTRY_LOOKUP_INSTANCES_HPP

// The instances that look-up answers may name.

#include <parsleyplank/lookup/instance_rank.hpp>
#include <parsleyplank/membership/member_table.hpp>
#include <parsleyplank/quota/share_table.hpp>

#include <vector>

namespace parsleyplank::entry
{

// Returns this instance and the usable members, each with its share as weight.
// A new instance is in contact before it is given a share; without one it has
// no slots and would refuse what callers send to it. Its weight is 0 while it
// holds less than half of an even share.
std::vector<lookup::live_instance>
lookup_instances(lookup::live_instance self, incarnation life,
                 const membership::member_table& members,
                 const quota::share_table& shares, time_point now);

} // namespace parsleyplank::entry

#endif
