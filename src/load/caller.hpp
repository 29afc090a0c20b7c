#ifndef PARSLEYPLANK_LOAD_CALLER_HPP
#define PARSLEYPLANK_LOAD_CALLER_HPP

// How a caller chooses instances and what it does after each attempt. It never
// repeats a request that may have run, except with the same idempotency key.

#include <parsleyplank/core/reason.hpp>
#include <parsleyplank/load/scenario.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyplank::load
{

struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
    double weight = 1;
};

struct lookup_answer
{
    std::string region;
    milliseconds ttl{0};
    std::vector<endpoint> instances;
};

// Returns the answer in the body of a look-up response. Throws codec_error that
// names what is wrong.
lookup_answer parse_lookup_answer(std::string_view body);

// Returns the instances in the order to try: the first by weight, then the
// others in the order of the answer.
std::vector<endpoint> order_to_try(const lookup_answer& answer,
                                   std::mt19937_64& random);

struct attempt_result
{
    // False if no byte of the request was sent, e.g. on a refused connection.
    bool sent = true;
    // False if no complete response came.
    bool answered = false;
    int status = 0;
    run_outcome outcome = run_outcome::unknown;
    std::string reason;
    bool replayed = false;
};

enum class next_step
{
    finish,        // with the outcome of this attempt
    next_instance, // now
    repeat,        // with the same key, after a pause
    give_up        // the outcome stays unknown
};

// What is known of a request from its attempts so far.
struct request_progress
{
    execution kind = execution::idempotent;
    // An earlier attempt may have run, so that a later "not run" says nothing
    // about the request as a whole.
    bool may_have_run = false;
    std::size_t untried_instances = 0;
    int repeats_left = 0;
};

next_step decide(const request_progress& progress,
                 const attempt_result& result);

} // namespace parsleyplank::load

#endif
