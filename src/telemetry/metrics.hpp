#ifndef PARSLEYPLANK_TELEMETRY_METRICS_HPP
#define PARSLEYPLANK_TELEMETRY_METRICS_HPP

// Metrics of a process in the Prometheus text format. Labels never hold
// an API key or an idempotency key.

#include <parsleyplank/core/ids.hpp>
#include <parsleyplank/core/reason.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace parsleyplank::telemetry
{

// Kinds of messages that an instance sends to its peers.
enum class peer_message
{
    // The regular digest to all peers.
    digest,
    // A digest out of turn: to a peer that has just registered, or to the
    // instances that watch the store.
    greeting,
    notice,
    // Datagrams that move tokens of customers' rates.
    tokens,
    // Datagrams that hand counts of usage to the holder of the duty.
    usage,
    // Changes of the store, passed on over the tree of relays.
    relayed_changes
};

constexpr int enum_size(peer_message /*kind*/)
{
    return static_cast<int>(peer_message::relayed_changes) + 1;
}

// Any thread may call.
class metrics
{
public:
    metrics();

    void count_refusal(refusal_reason reason);
    void count_retry(retry_reason reason);
    void count_lookup();

    // Counts a request that was ended because its caller had disconnected.
    void count_caller_gone();

    // Counts a value of the platform's records that this version does not know.
    void count_unknown_value();

    // Counts messages to peers of one kind, and their payload bytes.
    void count_sent(peer_message kind, std::size_t messages, std::size_t bytes);

    // Returns what was sent to peers since the start as "KIND=MESSAGES/BYTES"
    // of each kind, for the log.
    std::string describe_sent() const;

    // Counts a change of the learned limit of a backend server.
    void count_limit_change(bool lowered);

    // Counts a message of a backend server that is no response, by what it
    // lacks.
    void count_response_fault(std::string_view fault);

    // Counts a finished request of a route by outcome, with its duration.
    void count_request(const route_id& route, run_outcome outcome,
                       std::chrono::microseconds duration);

    // Counts a request refused to a customer, for the view per customer.
    void count_customer_refusal(const customer_id& customer,
                                refusal_reason reason);

    // Sets a gauge "parsleyplank_NAME" with one label; the label may be empty.
    void set(const std::string& name, const std::string& label,
             const std::string& label_value, double value);

    // Returns all metrics as text.
    std::string to_text() const;

private:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& customer_refusals;
    prometheus::Family<prometheus::Histogram>& durations;
    prometheus::Family<prometheus::Counter>& limit_changes;
    prometheus::Family<prometheus::Counter>& response_faults;
    prometheus::Counter& lookups;
    prometheus::Counter& callers_gone;
    prometheus::Counter& unknown_values;
    // Messages and bytes of each peer_message.
    struct sent_counters
    {
        prometheus::Counter* messages = nullptr;
        prometheus::Counter* bytes = nullptr;
    };
    std::array<sent_counters, enum_size(peer_message())> sent;
};

} // namespace parsleyplank::telemetry

#endif
