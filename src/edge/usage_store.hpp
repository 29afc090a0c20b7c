#ifndef PARSLEYPLANK_EDGE_USAGE_STORE_HPP
#define PARSLEYPLANK_EDGE_USAGE_STORE_HPP

// The records of usage accounting in the store: the holder of the duty, the
// highest fencing token, and the reports that were written before they were
// sent. The calls block, and belong on the thread that calls the store.

#include <parsleyplank/store/lease_store.hpp>
#include <parsleyplank/usage/duty.hpp>
#include <parsleyplank/usage/report_ledger.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyplank::edge
{

// Prefix of the keys.
inline constexpr std::string_view usage_prefix = "steer/usage/";

std::string usage_holder_key();

// The records in a listing of the keys.
struct usage_keys
{
    std::optional<usage::holder_record> holder;
    revision holder_revision;
    usage::fence_token highest_token;
    revision fence_revision;
    std::map<usage::window_id, usage::window_report> reports;
    // Sums of the holder before this one; empty if it has left none.
    usage::sums_record left;
};

// Throws codec_error if a record is malformed.
usage_keys read_usage_keys(const store::list_result& keys);

// Writes the record of this process as the holder if there is no other one,
// under the lease. Returns a listing of the keys that was read after that, and
// that has the record of this process exactly if it holds the duty: no earlier
// holder can write a report any more then. Throws store_unavailable,
// store_outcome_unknown or codec_error.
store::list_result claim_duty(store::lease_store& store, store::lease_id lease,
                              const usage::duty_state& duty,
                              usage::unix_time now);

// Removes the record of this process as the holder and leaves its sums to the
// next one. Does nothing if the record is not that of this revision. Throws as
// claim_duty does.
void leave_duty(store::lease_store& store, revision holder_revision,
                const usage::sums_record& sums);

// Writes the report at its place if the record of the holder has this revision.
// Returns the report that lies there then, which an earlier holder may have
// written; nullopt if nothing was written. Throws as claim_duty does.
std::optional<usage::window_report>
store_report(store::lease_store& store, std::uint64_t place,
             revision holder_revision, const usage::window_report& report);

} // namespace parsleyplank::edge

#endif
