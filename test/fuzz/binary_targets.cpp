#include "targets.hpp"
#include <parsleyplank/claims/message.hpp>
#include <parsleyplank/claims/segment.hpp>
#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/entry/quota_agent.hpp>
#include <parsleyplank/entry/rollout_agent.hpp>
#include <parsleyplank/entry/state_feed.hpp>
#include <parsleyplank/quota/loan.hpp>
#include <parsleyplank/quota/share_table.hpp>
#include <parsleyplank/quota/slot_pool.hpp>
#include <parsleyplank/store/store_protocol.hpp>

#include <support/sample_bundle.hpp>

#include <algorithm>
#include <cmath>

namespace parsleyplank::fuzz
{

namespace
{

// Runs a decoder that may throw codec_error only.
template <typename Decoder>
target codec_target(std::string name, std::vector<std::string> samples,
                    Decoder decode)
{
    return {std::move(name), std::move(samples),
            [decode](std::string_view input)
            {
                try
                {
                    decode(input);
                }
                catch (const codec_error&)
                {
                }
            }};
}

template <typename Body>
target body_target(std::string name, const Body& sample)
{
    return codec_target(std::move(name), {pack_value(sample)},
                        [](std::string_view input)
                        { unpack_value<Body>(input, "peer"); });
}

const claims::attempt_id sample_attempt{instance_id("entry-1"), incarnation(3),
                                        7};

claims::claim_batch sample_batch()
{
    const hash128_value key{1, 2};
    const claims::stored_response kept{200, false, "stored"};
    return {{{sample_attempt, 5, key, 9}},
            {{sample_attempt, claims::claim_outcome::replay, kept}},
            {{sample_attempt, 5, key, claims::claim_state::completed, kept}},
            {{sample_attempt, 5, key}},
            {{sample_attempt, 5, key, claims::attempt_phase::completed, kept}}};
}

std::string sample_head()
{
    claims::bucket_head head;
    head.sealed = {{1, revision(5), revision(6), 77, 88}};
    head.retired = head.sealed;
    head.current = {2,
                    false,
                    {{{1, 2},
                      9,
                      sample_attempt,
                      claims::claim_state::completed,
                      1'000,
                      {200, false, "stored"}}}};
    return claims::encode_head(head);
}

void require(bool holds, const char* contract)
{
    if (!holds)
        throw broken_contract(contract);
}

// An undefined state that is written to the store would make its whole bucket
// unreadable.
void decode_batch(std::string_view input)
{
    const auto batch = unpack_value<claims::claim_batch>(input, "peer");
    const bool defined =
        std::ranges::all_of(batch.finishes,
                            [](const auto& it) {
                                return it.state <= claims::claim_state::unknown;
                            }) &&
        std::ranges::all_of(
            batch.replies, [](const auto& it)
            { return it.outcome <= claims::claim_outcome::recorded; }) &&
        std::ranges::all_of(
            batch.states, [](const auto& it)
            { return it.phase <= claims::attempt_phase::not_found; });
    require(defined, "undefined state of a claim");
}

void decode_record(std::string_view input)
{
    const auto record = unpack_value<rollout::rollout_record>(input, "peer");
    require(record.state <= rollout::phase::rolled_back,
            "undefined state of a rollout");
}

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

// One NaN in a pool would stay there, and a pool without bound breaks the
// customer's limit.
void check_amounts(const quota::message_body& body)
{
    const auto sound = [](const auto& item)
    {
        return is_amount(item.rate) && is_amount(item.burst) &&
               is_amount(item.level);
    };
    if (const auto* grant = std::get_if<quota::loan_grant>(&body))
        require(std::ranges::all_of(grant->loans, sound),
                "terms of a loan that are no amounts");
    if (const auto* given = std::get_if<quota::loan_return>(&body))
        require(std::ranges::all_of(given->items, sound),
                "terms of a return that are no amounts");
}

target quota_target(std::string name, peer::message_kind kind,
                    const quota::message_body& sample)
{
    return codec_target(std::move(name), {quota::pack_body(sample)},
                        [kind](std::string_view input)
                        {
                            check_amounts(entry::unpack_body(
                                {instance_id("peer"), incarnation(1), 1, kind,
                                 std::string(input)}));
                        });
}

// Input: the number of a section, then the bytes of its root part. The digest
// is made to match, since a damaged part under its old digest is refused
// before it is decoded.
void adopt_part(const config::encoded_bundle& encoded, std::string_view input)
{
    if (input.empty())
        return;
    config::adoption adopted{.with_client_blocks = false};
    config::manifest description{{{epoch(1), "fuzz", "1"}}, encoded.sections};
    auto parts = encoded.parts;
    auto& section =
        description.sections[static_cast<unsigned char>(input.front()) %
                             description.sections.size()];
    section.root = sha256_hex(input.substr(1));
    parts[section.root] = input.substr(1);
    try
    {
        config::offer_manifest(adopted, description);
        config::offer_parts(adopted, parts);
        if (config::try_adopt(adopted))
            entry::build_tables(adopted, nullptr);
    }
    catch (const codec_error&)
    {
    }
    catch (const config_error&)
    {
    }
}

std::vector<target> config_targets()
{
    const auto encoded = config::encode_bundle(test::sample_bundle());
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < encoded.sections.size(); ++i)
        parts.push_back(std::string(1, static_cast<char>(i)) +
                        encoded.parts.at(encoded.sections[i].root));
    const config::manifest description{{{epoch(1), "fuzz", "1"}},
                                       encoded.sections};
    return {codec_target("manifest", {config::encode_manifest(description)},
                         [](std::string_view input)
                         { config::decode_manifest(input); }),
            target{"configuration part", parts,
                   [encoded](std::string_view input)
                   {
                       adopt_part(encoded, input);
                   }},
            body_target("config_reply",
                        entry::config_reply{"m", "s", encoded.parts}),
            body_target("config_request",
                        entry::config_request{{epoch(1), epoch(2)},
                                              {std::string(64, 'a')}})};
}

std::vector<target> quota_targets()
{
    const quota::member who{instance_id("entry-1"), incarnation(3)};
    auto table = quota::create_share_table(who);
    table.holders.push_back({{instance_id("entry-2"), incarnation(1)}});
    const auto decode_table = [](std::string_view input)
    {
        quota::unpack_share_table(input);
    };
    return {codec_target("share table", {quota::pack_share_table(table)},
                         decode_table),
            quota_target("demand", peer::message_kind::demand,
                         quota::demand{4, {{1, 20, 30}}}),
            quota_target("loan_request", peer::message_kind::loan_request,
                         quota::loan_request{4, {{1, 20}}}),
            quota_target("loan_grant", peer::message_kind::loan_grant,
                         quota::loan_grant{incarnation(3),
                                           true,
                                           4,
                                           2'000,
                                           {{1, 2, 3.5F, 4.5F, 5.5F}},
                                           {{1, {2, 3}}}}),
            quota_target("loan_return", peer::message_kind::loan_return,
                         quota::loan_return{incarnation(3), {{2, 1, 1, 1}}})};
}

std::vector<target> rollout_targets()
{
    const rollout::rollout_order what{upstream_id("katalog"), version_id("1"),
                                      version_id("2"), epoch(4)};
    const rollout::rollout_record record{
        what, rollout::phase::running, share_ppm{10'000}, 3, 5, false, "none"};
    return {codec_target("rollout_record", {pack_value(record)}, decode_record),
            body_target("rollout_brake", entry::rollout_brake{what, "slow"}),
            body_target("rollout_report",
                        entry::rollout_report{what, {{route_id("read"), {}}}})};
}

std::vector<target> store_targets()
{
    using namespace store::protocol;
    return {body_target("store entries",
                        entries_response{revision(4),
                                         {{"state/config", "v", revision(3)}}}),
            body_target("store write",
                        write_response{revision(4), true, revision(4)}),
            body_target("store lease", lease_response{revision(4), 2})};
}

} // namespace

std::vector<target> binary_targets()
{
    const auto decode_envelope = [](std::string_view input)
    {
        peer::decode_envelope(input, "peer");
    };
    const peer::envelope message{instance_id("entry-1"), incarnation(3), 9,
                                 peer::message_kind::ping, pack_value(1)};
    std::vector<target> all{
        codec_target("envelope", {peer::encode_envelope(message)},
                     decode_envelope),
        body_target("ping", entry::ping{4}),
        body_target("pong", entry::pong{4, epoch(1), epoch(2), 30, true}),
        codec_target("claim_batch", {pack_value(sample_batch())}, decode_batch),
        codec_target("claim head", {sample_head()},
                     [](std::string_view input)
                     { claims::decode_head(input, "claims/5/head"); }),
        codec_target(
            "claim segment",
            {claims::encode_sealed({2, false, {}}),
             claims::encode_sealed({3, true, {{{1, 2}, 9, sample_attempt}}})},
            [](std::string_view input)
            { claims::decode_sealed(input, "claims/5/2.7"); })};
    for (auto more : {config_targets(), quota_targets(), rollout_targets(),
                      store_targets()})
        all.insert(all.end(), more.begin(), more.end());
    return all;
}

} // namespace parsleyplank::fuzz
