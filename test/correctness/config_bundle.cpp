// Guards the stored form of the configuration: what is published is what
// instances adopt, damage is noticed, and a small change stays small.

#include "support/sample_bundle.hpp"
#include <parsleyplank/config/bundle.hpp>
#include <parsleyplank/config/compare.hpp>
#include <parsleyplank/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace parsleyplank;
using namespace parsleyplank::config;

namespace
{

manifest make_manifest(const encoded_bundle& encoded)
{
    return {{{epoch(7), "anna", "c1"}}, encoded.sections};
}

std::size_t count_new(const part_map& before, const part_map& after)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        after, [&](const auto& part) { return !before.contains(part.first); }));
}

bundle many_blocks()
{
    bundle v = test::sample_bundle();
    v.client_blocks = test::sample_blocks(20'000);
    return v;
}

class config_bundle : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_bundle);
    CPPUNIT_TEST(bundle_survives_round_trip);
    CPPUNIT_TEST(order_of_items_does_not_change_parts);
    CPPUNIT_TEST(one_changed_block_rewrites_one_leaf_and_its_pages);
    CPPUNIT_TEST(added_block_does_not_shift_other_parts);
    CPPUNIT_TEST(large_items_are_split_below_the_part_limit);
    CPPUNIT_TEST(damaged_and_missing_parts_are_rejected);
    CPPUNIT_TEST(damaged_manifest_is_rejected);
    CPPUNIT_TEST(missing_parts_are_found_level_by_level);
    CPPUNIT_TEST_SUITE_END();

    const bundle original = test::sample_bundle();

public:
    void bundle_survives_round_trip()
    {
        bundle full = original;
        full.rollouts = {
            {upstream_id("desk"), version_id("1"), version_id("2")}};
        full.routes[1].when_stale = stale_policy::serve;
        full.routes[1].deadline = milliseconds(1'234);
        full.upstreams[0].servers[1].leaving = true;
        const auto encoded = encode_bundle(full);
        const auto description = make_manifest(encoded);
        const auto copy = decode_bundle(
            decode_manifest(encode_manifest(description)), encoded.parts);
        CPPUNIT_ASSERT(copy.epoch == epoch(7));
        CPPUNIT_ASSERT(compare(full, copy).empty());
        // compare uses the same coding, so members are looked at, too.
        CPPUNIT_ASSERT(copy.routes[1].when_stale == stale_policy::serve);
        CPPUNIT_ASSERT(copy.routes[1].deadline == milliseconds(1'234));
        CPPUNIT_ASSERT(copy.routes[1].customers == full.routes[1].customers);
        CPPUNIT_ASSERT(copy.upstreams[0].servers[1].leaving);
        CPPUNIT_ASSERT(copy.rollouts[0].first_share.value == 10'000);
    }

    void order_of_items_does_not_change_parts()
    {
        bundle other = many_blocks();
        const auto before = encode_bundle(other).parts;
        std::ranges::reverse(other.client_blocks);
        std::ranges::reverse(other.keys);
        std::ranges::reverse(other.upstreams[0].servers);
        CPPUNIT_ASSERT(before == encode_bundle(other).parts);
    }

    void one_changed_block_rewrites_one_leaf_and_its_pages()
    {
        bundle v = many_blocks();
        const auto before = encode_bundle(v);
        for (const std::size_t at : {0UL, 7'777UL, 19'999UL})
        {
            bundle changed = v;
            auto& region = changed.client_blocks[at].region;
            region = region_id(region.value == "north" ? "south" : "north");
            const auto after = encode_bundle(changed);
            // 20,000 blocks make 3 levels of pages at most above a leaf.
            CPPUNIT_ASSERT(count_new(before.parts, after.parts) <= 4);
            CPPUNIT_ASSERT_EQUAL(before.parts.size(), after.parts.size());
        }
    }

    void added_block_does_not_shift_other_parts()
    {
        bundle v = many_blocks();
        const auto before = encode_bundle(v);
        // Sorts into the middle. If it ends a part, this part splits in two.
        v.client_blocks.push_back({"16.30.1.128/25", region_id("south")});
        const auto after = encode_bundle(v);
        CPPUNIT_ASSERT(count_new(before.parts, after.parts) <= 8);
    }

    void large_items_are_split_below_the_part_limit()
    {
        bundle v = original;
        for (int i = 0; i < 40; ++i)
        {
            route large = v.routes[0];
            large.id = route_id("large-" + std::to_string(i));
            large.path_prefix = "/" + std::string(90'000, 'x');
            v.routes.push_back(large);
        }
        const auto encoded = encode_bundle(v);
        for (const auto& [digest, bytes] : encoded.parts)
            CPPUNIT_ASSERT(bytes.size() <= max_part_bytes);
        CPPUNIT_ASSERT(
            compare(v, decode_bundle(make_manifest(encoded), encoded.parts))
                .empty());
        v.routes[0].path_prefix = "/" + std::string(max_part_bytes, 'x');
        CPPUNIT_ASSERT_THROW(encode_bundle(v), config_error);
    }

    void damaged_and_missing_parts_are_rejected()
    {
        const auto encoded = encode_bundle(original);
        const auto description = make_manifest(encoded);
        for (const auto& [digest, bytes] : encoded.parts)
        {
            part_map damaged = encoded.parts;
            damaged[digest].back() =
                static_cast<char>(damaged[digest].back() ^ 1);
            CPPUNIT_ASSERT_THROW(decode_bundle(description, damaged),
                                 codec_error);
            damaged[digest].clear();
            CPPUNIT_ASSERT_THROW(decode_bundle(description, damaged),
                                 codec_error);
            damaged.erase(digest);
            CPPUNIT_ASSERT_THROW(decode_bundle(description, damaged),
                                 codec_error);
        }
    }

    void damaged_manifest_is_rejected()
    {
        const auto bytes = encode_manifest(make_manifest(encode_bundle({})));
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CPPUNIT_ASSERT_THROW(decode_manifest(bytes.substr(0, n)),
                                 codec_error);
        auto newer = bytes;
        newer[1] = 2;
        CPPUNIT_ASSERT_THROW(decode_manifest(newer), codec_error);
    }

    void missing_parts_are_found_level_by_level()
    {
        const auto encoded = encode_bundle(many_blocks());
        const auto description = make_manifest(encoded);
        part_map held;
        int rounds = 0;
        for (auto missing = missing_parts(description, held); !missing.empty();
             missing = missing_parts(description, held))
        {
            CPPUNIT_ASSERT(++rounds < 10);
            for (const auto& digest : missing)
                held.emplace(digest, encoded.parts.at(digest));
        }
        CPPUNIT_ASSERT(held == encoded.parts);
        CPPUNIT_ASSERT(named_parts(description, held).size() == held.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_bundle);

} // namespace
