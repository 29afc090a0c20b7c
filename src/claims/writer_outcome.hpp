#ifndef PARSLEYPLANK_CLAIMS_WRITER_OUTCOME_HPP
#define PARSLEYPLANK_CLAIMS_WRITER_OUTCOME_HPP

// Handles the outcomes of the store calls of a bucket writer. Used within this
// library only.

#include <parsleyplank/claims/bucket_writer.hpp>

namespace parsleyplank::claims
{

// Handles the outcome of a read, write or delete. Ignores the outcome of a call
// that is not in flight.
void handle_store_outcome(bucket_writer& writer, const store_outcome& outcome,
                          time_point now);

} // namespace parsleyplank::claims

#endif
