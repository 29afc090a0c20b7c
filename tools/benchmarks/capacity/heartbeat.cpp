// Heartbeats: coding of ping and pong, the member table and freshness per pong,
// and what an instance does over all members each 200 ms.

#include "measure.hpp"
#include <parsleyplank/claims/message.hpp>
#include <parsleyplank/entry/peer_contact.hpp>
#include <parsleyplank/lookup/instance_rank.hpp>
#include <parsleyplank/peer/message.hpp>

#include <deque>

namespace parsleyplank::capacity
{

namespace
{

constexpr std::uint32_t claim_buckets = 64;
const time_point start{std::chrono::hours(1)};

store::listed_instance listed(std::size_t n)
{
    return {instance_name(n),
            incarnation(1'760'000'000'000),
            region_id("region-" + std::to_string(n % 24)),
            failure_domain_id("a"),
            "10.0.0.1",
            8'000,
            8'001,
            8'002,
            false};
}

std::string encode(peer::message_kind kind, const std::string& body)
{
    return peer::encode_envelope({instance_name(1),
                                  incarnation(1'760'000'000'000), 100'000, kind,
                                  body});
}

struct fleet
{
    membership::member_table members;
    freshness::state fresh;
    std::vector<store::listed_instance> list;

    explicit fleet(std::size_t n)
    {
        members.self = instance_id("self");
        for (std::size_t i = 0; i < n; ++i)
            list.push_back(listed(i));
        membership::update_from_list(members, list, start);
        freshness::record_instance_list(
            fresh, start,
            membership::listed_in_region(members, region_id("region-0")),
            false);
    }
};

void take_pong(fleet& f, const std::string& bytes, const instance_id& from)
{
    const auto message = peer::decode_envelope(bytes, "peer");
    const auto p = unpack_value<entry::pong>(message.body, message.from.value);
    membership::record_contact(f.members, from, message.life, p.draining,
                               start);
    freshness::record_pong(
        f.fresh, from, start,
        {{p.config, p.shares}, milliseconds(p.age_ms), p.store_reachable});
}

void walk_members(fleet& f)
{
    keep(membership::take_unresponsive(f.members, start));
    for (int n = 0; n < 3; ++n)
        keep(membership::usable_members(f.members, start, true));
    std::vector<lookup::live_instance> live;
    for (const auto& [id, m] : f.members.members)
        live.push_back({id, m.info.region, m.info.address, 8'000});
    keep(lookup::group_by_region(live));
}

void measure(std::size_t n)
{
    const double before = heap_bytes();
    fleet f(n);
    const double memory = heap_bytes() - before;
    const auto pong = pack_value(
        entry::pong{1, epoch(1'000'000), epoch(10'000), 500, true, false});
    const auto ping = pack_value(entry::ping{1'000'000});
    const auto ping_bytes = encode(peer::message_kind::ping, ping);
    const auto pong_bytes = encode(peer::message_kind::pong, pong);
    const double encoding = cpu_us_of(
        [&](std::size_t i) {
            keep(encode(peer::message_kind::ping, pack_value(entry::ping{i})));
        });
    const double answering = cpu_us_of(
        [&](std::size_t)
        {
            const auto message = peer::decode_envelope(ping_bytes, "peer");
            keep(unpack_value<entry::ping>(message.body, "peer"));
            const auto report = freshness::make_report(f.fresh, start);
            keep(encode(
                peer::message_kind::pong,
                pack_value(entry::pong{1, report.held.config,
                                       report.held.shares, 500, true, false})));
        });
    const double taking = cpu_us_of(
        [&](std::size_t i) { take_pong(f, pong_bytes, f.list[i % n].id); });
    const double walking = cpu_us_of([&](std::size_t) { walk_members(f); });
    const double listing = cpu_us_of(
        [&](std::size_t i)
        {
            membership::update_from_list(f.members, f.list,
                                         start + milliseconds(i + 1));
        });
    const auto ids = membership::usable_members(f.members, start, true);
    const double assigning = cpu_us_of(
        [&](std::size_t)
        {
            for (std::uint32_t b = 0; b < claim_buckets; ++b)
                keep(claims::writer_of(b, ids));
        });
    std::printf(
        "%8zu %9.2f %9.2f %9.2f %10.1f %10.1f %10.1f %6zu %6zu %10.0f\n", n,
        encoding, answering, taking, walking, listing, assigning,
        ping_bytes.size(), pong_bytes.size(), memory / static_cast<double>(n));
}

} // namespace

void measure_heartbeat()
{
    std::printf("heartbeat: CPU us (no transport); bytes of the envelope; heap "
                "bytes per member\n");
    std::printf(" members send_ping  answer_p take_pong  walk/tick  list_read "
                "64_writers ping_B pong_B   B/member\n");
    for (const std::size_t n : {10, 32, 100, 1'000, 2'300})
        measure(n);
}

} // namespace parsleyplank::capacity
