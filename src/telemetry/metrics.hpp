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

#include <chrono>
#include <map>
#include <string>

namespace parsleyplank::telemetry
{

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

    // Counts a change of the learned limit of a backend server.
    void count_limit_change(bool lowered);

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
    prometheus::Counter& lookups;
    prometheus::Counter& callers_gone;
    prometheus::Counter& unknown_values;
};

} // namespace parsleyplank::telemetry

#endif
