#ifndef PARSLEYPLANK_PEER_MESSAGE_HPP
#define PARSLEYPLANK_PEER_MESSAGE_HPP

// The envelope of a message between instances. The body is opaque here: its
// struct belongs to the library that uses the message.

#include <parsleyplank/core/codec.hpp>
#include <parsleyplank/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyplank::peer
{

// The numbers are part of the protocol: add, never reuse.
enum class message_kind : std::uint8_t
{
    ping = 1,
    pong = 2,
    config_request = 3,
    config_reply = 4,
    demand = 5,
    loan_request = 6,
    loan_grant = 7,
    loan_return = 8,
    claim_batch = 9,
    rollout_brake = 10,
    rollout_report = 11,
    rollout_record = 12,
    slot_request = 13,
    slot_grant = 14,
    slot_return = 15
};

// Returns the name used in logs and metrics, e.g. "loan_grant".
std::string_view to_string(message_kind kind);

struct envelope
{
    instance_id from;
    incarnation life;
    // Grows by one per message of the sender; starts at 1.
    std::uint64_t sequence = 0;
    message_kind kind = message_kind::ping;
    std::string body;

    bool operator==(const envelope&) const = default;
};

// Returns the bytes of an envelope.
std::string encode_envelope(const envelope& message);

// Returns the envelope that the bytes hold. The source tells where they came
// from. Throws codec_error, which holds the source, if the bytes are damaged,
// the sender has no name or the kind is unknown.
envelope decode_envelope(std::string_view bytes, std::string_view source);

} // namespace parsleyplank::peer

#endif
