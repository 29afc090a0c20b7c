#ifndef PARSLEYPLANK_USAGE_HAND_OVER_HPP
#define PARSLEYPLANK_USAGE_HAND_OVER_HPP

// Hands counts from instance to instance up to the holder of the duty to report
// them. An acknowledged batch belongs to its receiver, except that what the
// holder has acknowledged is kept and told again to the next holder. Batches
// hold changes, so an instance has one sum for each customer, whatever the
// number of instances below it.

#include <parsleyplank/usage/window.hpp>

#include <map>
#include <optional>
#include <vector>

namespace parsleyplank::usage
{

// Fencing token of a holder; 0 means none.
using fence_token = number_id<struct fence_token_tag>;
using fence_tokens = std::vector<fence_token>;

// Change of the count of one customer in one window.
struct count_change
{
    window_id window;
    customer_id customer;
    std::int64_t change = 0;

    bool operator==(const count_change&) const = default;

    MSGPACK_DEFINE_ARRAY(window, customer, change)
};

// One datagram between two instances. An acknowledgement repeats the number of
// the batch; its token is that of the receiver if it is the holder.
struct usage_message
{
    instance_id sender;
    // Start time of the sender's process in Unix milliseconds.
    std::uint64_t started_ms = 0;
    std::uint64_t number = 0;
    bool is_acknowledgement = false;
    fence_token token;
    std::vector<count_change> changes;

    bool operator==(const usage_message&) const = default;

    MSGPACK_DEFINE_ARRAY(sender, started_ms, number, is_acknowledgement, token,
                         changes)
};

struct hand_over_options
{
    // Largest encoded size of the changes of one batch, in bytes. A datagram of
    // this size fits into one packet.
    std::size_t max_batch_bytes = 1'200;
    // Time after which a batch without acknowledgement is sent again.
    milliseconds resend_interval{400};
};

// A batch that is sent and not acknowledged.
struct open_batch
{
    instance_id to;
    std::uint64_t number = 0;
    std::vector<count_change> changes;
    time_point sent_at{};
    // Whether it was full, so that the next one is due at its acknowledgement.
    bool has_more = false;
};

// The sending part of an instance.
struct count_sender
{
    hand_over_options options;
    // Counts that belong to this instance and are not in the open batch.
    window_counts pending;
    std::optional<open_batch> open;
    std::uint64_t last_number = 0;
    // Counts that the holder with this token has taken.
    window_counts told;
    fence_token told_token;
    // The former holders whose counts that holder has taken over.
    fence_tokens inherited_tokens;
};

// Returns the changes that fit into one batch, and removes them from the
// counts.
std::vector<count_change> take_batch(window_counts& counts,
                                     std::size_t max_bytes);

// Returns the batch to send now: an open one that has waited for the resend
// interval, or a new one to `to`; nullptr if none is due. A batch whose
// receiver is gone is opened anew for `to`. `to` may be empty: nobody is known
// to hand counts to.
const open_batch* next_batch(count_sender& sender,
                             const std::optional<instance_id>& to,
                             bool receiver_gone, time_point now);

// Applies an acknowledgement by the instance. Returns whether it was that of
// the open batch.
bool acknowledge(count_sender& sender, const instance_id& from,
                 std::uint64_t number, fence_token token);

// Records the token of the holder. What a former one was told becomes pending
// again, unless the holder has taken over its sums: `inherits` has its token.
// Ignores a token that is not higher than the known one.
void set_holder(count_sender& sender, fence_token token,
                const fence_tokens& inherits = {});

// Moves the pending counts of the holder itself to those told, and returns
// them.
window_counts tell_self(count_sender& sender);

// Forgets the windows before this one.
void forget_before(count_sender& sender, window_id first);

// The receiving part of an instance.
struct count_receiver
{
    struct last_batch
    {
        std::uint64_t started_ms = 0;
        std::uint64_t number = 0;
        // Token that the acknowledgement bore.
        fence_token token;
        time_point received_at{};
    };

    std::map<instance_id, last_batch> senders;
};

// Returns the acknowledgement if the batch was received before.
std::optional<fence_token> find_received(const count_receiver& receiver,
                                         const usage_message& batch);

// Records that a batch was taken under a token. Returns false if it is older
// than one that was taken, and must be ignored.
bool record_received(count_receiver& receiver, const usage_message& batch,
                     fence_token token, time_point now);

// Forgets senders that have sent nothing for the retention.
void forget_senders(count_receiver& receiver, milliseconds retention,
                    time_point now);

} // namespace parsleyplank::usage

#endif
