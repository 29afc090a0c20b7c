#ifndef PARSLEYPLANK_STEERING_SERVER_NOTICE_HPP
#define PARSLEYPLANK_STEERING_SERVER_NOTICE_HPP

// What backend servers ask of their callers in their responses: a limit on the
// requests of the whole fleet, no new requests because the server is leaving,
// or a pause for the instance that received the response.

#include <parsleyplank/core/clock.hpp>
#include <parsleyplank/core/units.hpp>
#include <parsleyplank/quota/token_bucket.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleyplank::steering
{

// What one response asks for.
struct server_notice
{
    // Requests per second that the server takes from all instances together.
    std::optional<token_rate> limit;
    // Whether a response without a limit shows that the server has none. A
    // response that the server did not complete as usual shows nothing, nor
    // does one whose limit can't be read.
    bool tells_limit = true;
    bool leaving = false;
    // Time in which this instance should send nothing.
    std::optional<milliseconds> pause;
};

// A limit as this instance knows it, from its own responses or from peers.
struct server_limit
{
    // Whether the server is in this instance's region. The peers then reckon
    // with its requests until it tells them that it has none.
    bool in_own_region = false;
    bool in_force = false;
    token_rate rate;
    // Time of the newest response that the state is based on.
    time_point heard{};
    // Last time this instance had a request for the server, and since when it
    // has had some without a long pause; unset if the peers have reckoned with
    // its requests since the limit came into force.
    time_point wanted{};
    time_point wanted_since{};
    // This instance's part of the limit; unset until it is first used.
    quota::token_bucket budget;
};

// What the current process of one backend server has asked for.
struct notice_state
{
    // Start of the server's process. A later process has asked for nothing.
    std::int64_t started_ms = 0;
    server_limit limit;
    bool leaving = false;
    time_point paused_until{};
    // Time of the last response of the server to this instance.
    time_point answered{};
};

// Parses a number of requests per second: a decimal number that is not
// negative. Values beyond the range of numbers count as the largest one.
// Returns nullopt for any other text.
std::optional<token_rate> parse_rate(std::string_view text);

// Parses a time in seconds, which may have a fraction, up to a day. Returns
// nullopt for any other text.
std::optional<milliseconds> parse_pause(std::string_view text);

// Replaces the state of a limit by what a response at the given time has
// shown; nullopt: the server has no limit. An instance in the region of the
// server claims a part of a new limit at once.
void set_limit(server_limit& limit, std::optional<token_rate> rate,
               time_point heard, time_point now);

// Records that this instance has a request for the server. A claim to a part of
// the limit begins with the first request after a pause of claim_time.
void claim_limit(server_limit& limit, milliseconds claim_time, time_point now);

// Returns whether this instance claims a part of the limit, and has done so for
// at least min_age.
bool has_claim(const server_limit& limit, milliseconds claim_time,
               milliseconds min_age, time_point now);

// Returns when this instance's part of the limit allows the next request; a
// time in the past if there is no limit or this instance has no part in it.
time_point next_token(const server_limit& limit, time_point now);

// Applies what a response asks for to a request that was sent at the given
// time. A response without a limit ends the limit only if its request was sent
// after the limit was heard of, since responses may overtake each other.
void record_notice(notice_state& state, const server_notice& notice,
                   time_point sent, time_point now);

} // namespace parsleyplank::steering

#endif
