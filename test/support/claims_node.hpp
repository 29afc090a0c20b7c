#ifndef PARSLEYPLANK_TEST_SUPPORT_CLAIMS_NODE_HPP
#define PARSLEYPLANK_TEST_SUPPORT_CLAIMS_NODE_HPP

// Parts of a claims_cluster: its settings, its instances and the requests of
// its callers.

#include "support/claims_store.hpp"
#include <parsleyplank/claims/attempt.hpp>
#include <parsleyplank/claims/bucket_writer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace parsleyplank::test
{

// Faults of the backend server.
enum class backend_fault
{
    none,
    refused,     // X-Not-Run response, or the connection was refused
    lost_before, // connection lost, request not executed
    lost_after   // connection lost, request executed
};

// Settings of a claims_cluster.
struct cluster_settings
{
    std::size_t instances = 3;
    std::uint32_t buckets = 2;
    std::uint64_t seed = 1;
    milliseconds peer_latency{2};
    std::chrono::microseconds store_latency{2'000};
    // Time that the store needs per write; writes are handled one after the
    // other.
    std::chrono::microseconds store_write_time{0};
    milliseconds backend_time{20};
    milliseconds late_effect_delay{4'000};
    milliseconds tick{25};
    // Probabilities per peer message; a slow message takes up to 5 s.
    double loss = 0;
    double duplicate = 0;
    double slow = 0;
    // Smallest size of a response body in bytes; shorter bodies are padded.
    std::size_t response_size = 0;
    claims::attempt_settings attempts;
    claims::writer_settings writer;
};

// One request of a caller and the answer that it received.
struct caller_request
{
    std::string key;
    std::string body;
    time_point sent;
    claims::attempt_id attempt;
    bool answered = false;
    time_point answered_at;
    run_outcome outcome = run_outcome::unknown;
    std::string reason;
    claims::stored_response response;
};

// Records the answer that the caller received.
inline void record_answer(caller_request& it, time_point now,
                          run_outcome outcome, const std::string& reason,
                          const claims::stored_response& response)
{
    it.answered = true;
    it.answered_at = now;
    it.outcome = outcome;
    it.reason = reason;
    it.response = response;
}

// One instance: its attempts, its writer and the actions deferred by a pause.
struct claims_node
{
    instance_id id;
    incarnation life;
    bool paused = false;
    claims::attempt_table table;
    claims::bucket_writer writer;
    // Instances that this one considers live.
    std::vector<instance_id> live;
    std::vector<std::function<void(claims_node&)>> deferred_actions;
    // Index in claims_cluster::requests by attempt number.
    std::map<std::uint64_t, std::size_t> callers;
};

} // namespace parsleyplank::test

#endif
