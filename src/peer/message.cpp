#include <parsleyplank/peer/message.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace parsleyplank::peer
{

namespace
{

constexpr std::array kind_names{
    std::pair(message_kind::ping, "ping"),
    std::pair(message_kind::pong, "pong"),
    std::pair(message_kind::config_request, "config_request"),
    std::pair(message_kind::config_reply, "config_reply"),
    std::pair(message_kind::demand, "demand"),
    std::pair(message_kind::loan_request, "loan_request"),
    std::pair(message_kind::loan_grant, "loan_grant"),
    std::pair(message_kind::loan_return, "loan_return"),
    std::pair(message_kind::claim_batch, "claim_batch"),
    std::pair(message_kind::rollout_brake, "rollout_brake"),
    std::pair(message_kind::rollout_report, "rollout_report"),
    std::pair(message_kind::rollout_record, "rollout_record"),
    std::pair(message_kind::slot_request, "slot_request"),
    std::pair(message_kind::slot_grant, "slot_grant"),
    std::pair(message_kind::slot_return, "slot_return")};

constexpr std::string_view unknown_kind = "unknown_kind";

struct wire_envelope
{
    instance_id from;
    incarnation life;
    std::uint64_t sequence = 0;
    std::uint8_t kind = 0;
    std::string body;

    MSGPACK_DEFINE_ARRAY(from, life, sequence, kind, body)
};

} // namespace

std::string_view to_string(message_kind kind)
{
    const auto* const it = std::ranges::find(
        kind_names, kind, [](const auto& row) { return row.first; });
    return it == kind_names.end() ? unknown_kind : it->second;
}

std::string encode_envelope(const envelope& message)
{
    return pack_value(
        wire_envelope{message.from, message.life, message.sequence,
                      static_cast<std::uint8_t>(message.kind), message.body});
}

envelope decode_envelope(std::string_view bytes, std::string_view source)
{
    auto wire = unpack_value<wire_envelope>(bytes, source);
    const auto kind = static_cast<message_kind>(wire.kind);
    if (to_string(kind) == unknown_kind)
        throw codec_error(std::string(source) + ": message kind " +
                          std::to_string(wire.kind) + " is unknown");
    if (wire.from.value.empty())
        throw codec_error(std::string(source) + ": the sender has no name");
    return {std::move(wire.from), wire.life, wire.sequence, kind,
            std::move(wire.body)};
}

} // namespace parsleyplank::peer
