#include <parsleyplank/telemetry/metrics.hpp>

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <sstream>
#include <string_view>

namespace parsleyplank::telemetry
{

namespace
{

const prometheus::Histogram::BucketBoundaries duration_buckets_s{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

// Names of peer_message, in its order.
constexpr std::array<std::string_view, enum_size(peer_message())>
    peer_message_names{"digest", "greeting", "notice",
                       "tokens", "usage",    "relayed_changes"};

prometheus::Family<prometheus::Counter>&
make_counters(prometheus::Registry& registry, const std::string& name,
              const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

metrics::metrics()
    : refusals(make_counters(registry, "parsleyplank_refusals_total",
                             "Requests refused, by reason.")),
      retries(make_counters(registry, "parsleyplank_retries_total",
                            "Attempts repeated, by reason.")),
      requests(make_counters(registry, "parsleyplank_requests_total",
                             "Requests ended, by route and outcome.")),
      customer_refusals(
          make_counters(registry, "parsleyplank_customer_refusals_total",
                        "Requests refused, by customer and reason.")),
      durations(prometheus::BuildHistogram()
                    .Name("parsleyplank_request_duration_seconds")
                    .Help("Time from arrival to response.")
                    .Register(registry)),
      limit_changes(
          make_counters(registry, "parsleyplank_server_limit_changes_total",
                        "Changes of learned server limits, by direction.")),
      response_faults(make_counters(
          registry, "parsleyplank_response_faults_total",
          "Messages of backend servers that are no response, by fault.")),
      lookups(make_counters(registry, "parsleyplank_lookups_total",
                            "Look-ups answered.")
                  .Add({})),
      callers_gone(
          make_counters(registry, "parsleyplank_callers_gone_total",
                        "Requests ended because their caller had disconnected.")
              .Add({})),
      unknown_values(
          make_counters(registry, "parsleyplank_unknown_values_total",
                        "Values of the platform's records that are not known.")
              .Add({}))
{
    // Every reason is shown from the start, so that a rate over it is defined.
    std::ranges::for_each(
        all_refusal_reasons,
        [this](refusal_reason reason) {
            refusals.Add({{"reason", std::string(to_string(reason))}});
        });
    std::ranges::for_each(
        all_retry_reasons,
        [this](retry_reason reason) {
            retries.Add({{"reason", std::string(to_string(reason))}});
        });
    auto& messages =
        make_counters(registry, "parsleyplank_peer_messages_sent_total",
                      "Messages sent to peers, by kind.");
    auto& bytes = make_counters(registry, "parsleyplank_peer_bytes_sent_total",
                                "Payload bytes sent to peers, by kind.");
    std::ranges::transform(
        peer_message_names, sent.begin(),
        [&](std::string_view name)
        {
            const prometheus::Labels kind{{"kind", std::string(name)}};
            return sent_counters{&messages.Add(kind), &bytes.Add(kind)};
        });
}

void metrics::count_sent(peer_message kind, std::size_t messages,
                         std::size_t bytes)
{
    const auto& it = sent[static_cast<std::size_t>(kind)];
    it.messages->Increment(static_cast<double>(messages));
    it.bytes->Increment(static_cast<double>(bytes));
}

std::string metrics::describe_sent() const
{
    std::ostringstream text;
    for (std::size_t n = 0; n < sent.size(); ++n)
        text << (n == 0 ? "" : " ") << peer_message_names[n] << '='
             << static_cast<std::uint64_t>(sent[n].messages->Value()) << '/'
             << static_cast<std::uint64_t>(sent[n].bytes->Value());
    return text.str();
}

void metrics::count_refusal(refusal_reason reason)
{
    refusals.Add({{"reason", std::string(to_string(reason))}}).Increment();
}

void metrics::count_retry(retry_reason reason)
{
    retries.Add({{"reason", std::string(to_string(reason))}}).Increment();
}

void metrics::count_limit_change(bool lowered)
{
    limit_changes.Add({{"direction", lowered ? "down" : "up"}}).Increment();
}

void metrics::count_response_fault(std::string_view fault)
{
    response_faults.Add({{"fault", std::string(fault)}}).Increment();
}

void metrics::count_lookup()
{
    lookups.Increment();
}

void metrics::count_caller_gone()
{
    callers_gone.Increment();
}

void metrics::count_unknown_value()
{
    unknown_values.Increment();
}

void metrics::count_request(const route_id& route, run_outcome outcome,
                            std::chrono::microseconds duration)
{
    requests
        .Add({{"route", route.value},
              {"outcome", std::string(to_string(outcome))}})
        .Increment();
    durations.Add({{"route", route.value}}, duration_buckets_s)
        .Observe(std::chrono::duration<double>(duration).count());
}

void metrics::count_customer_refusal(const customer_id& customer,
                                     refusal_reason reason)
{
    customer_refusals
        .Add({{"customer", customer.value},
              {"reason", std::string(to_string(reason))}})
        .Increment();
}

void metrics::set(const std::string& name, const std::string& label,
                  const std::string& label_value, double value)
{
    auto& family = prometheus::BuildGauge()
                       .Name("parsleyplank_" + name)
                       .Help("State of this instance.")
                       .Register(registry);
    const prometheus::Labels labels =
        label.empty() ? prometheus::Labels{}
                      : prometheus::Labels{{label, label_value}};
    family.Add(labels).Set(value);
}

std::string metrics::to_text() const
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace parsleyplank::telemetry
