// Guards against wrong results of the longest prefix match: the block table
// must agree with a linear search over the prefixes.

#include "support/sample_bundle.hpp"
#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/lookup/block_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace parsleyplank;
using namespace parsleyplank::lookup;
using config::ip_address;
using config::ip_prefix;

namespace
{

// Reference implementation of the longest prefix match.
region_index find_linear(const std::vector<block>& blocks,
                         const ip_address& address)
{
    region_index found = no_region;
    unsigned longest = 0;
    for (const block& v : blocks)
        if (config::contains(v.prefix, address) && v.prefix.length >= longest)
        {
            longest = v.prefix.length;
            found = v.region;
        }
    return found;
}

// Returns an address in which only a few bits vary, so that prefixes often nest
// or are equal.
ip_address random_address(std::mt19937_64& random, bool v6)
{
    const auto few_bits = [&]
    {
        return random() & random() & 0xC00000F1'C00000F1ULL;
    };
    return v6 ? ip_address{true, few_bits(), few_bits()}
              : ip_address{false, 0, few_bits() & 0xFFFFFFFFU};
}

// Returns the prefix of this length that contains the address.
ip_prefix prefix_of(const ip_address& address, unsigned length)
{
    ip_prefix prefix{address, length};
    prefix.first.high = 0;
    prefix.first.low = 0;
    // Copies the bits of the address that the prefix covers.
    const unsigned bits = address.v6 ? 128 : 32;
    for (unsigned n = bits - length; n < bits; ++n)
    {
        auto& half = n >= 64 ? prefix.first.high : prefix.first.low;
        const auto from = n >= 64 ? address.high : address.low;
        half |= from & (std::uint64_t{1} << (n % 64));
    }
    return prefix;
}

class lookup_blocks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lookup_blocks);
    CPPUNIT_TEST(ipv4_agrees_with_linear_search);
    CPPUNIT_TEST(short_ipv6_prefixes_agree_with_linear_search);
    CPPUNIT_TEST(long_ipv6_prefixes_agree_with_linear_search);
    CPPUNIT_TEST(ends_of_the_address_space_are_covered);
    CPPUNIT_TEST(prefixes_are_parsed_strictly);
    CPPUNIT_TEST(parts_give_the_same_table_as_the_bundle);
    CPPUNIT_TEST_SUITE_END();

    static void compare_with_linear(bool v6, unsigned longest)
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
        {
            std::mt19937_64 random(seed);
            std::vector<block> blocks;
            for (std::uint64_t n = 1 + random() % 60; n > 0; --n)
                blocks.push_back(
                    {prefix_of(random_address(random, v6),
                               static_cast<unsigned>(random() % (longest + 1))),
                     static_cast<region_index>(random() % 5)});
            const block_table table(blocks);
            for (int i = 0; i < 200; ++i)
            {
                auto address = random_address(random, v6);
                // Also tests addresses next to the boundaries of blocks.
                address.low += random() % 3 - 1;
                address.low &= v6 ? ~0ULL : 0xFFFFFFFFULL;
                CPPUNIT_ASSERT_EQUAL(find_linear(blocks, address),
                                     table.find(address));
            }
        }
    }

public:
    void ipv4_agrees_with_linear_search()
    {
        compare_with_linear(false, 32);
    }

    void short_ipv6_prefixes_agree_with_linear_search()
    {
        compare_with_linear(true, 64);
    }

    void long_ipv6_prefixes_agree_with_linear_search()
    {
        compare_with_linear(true, 128);
    }

    void ends_of_the_address_space_are_covered()
    {
        const auto block_of = [](const char* prefix, region_index region)
        {
            return block{config::parse_prefix(prefix), region};
        };
        const block_table table(
            {block_of("0.0.0.0/0", 1), block_of("255.255.255.255/32", 2),
             block_of("0.0.0.0/32", 3), block_of("ffff::/16", 4)});
        const auto find = [&](const char* address)
        {
            return table.find(config::parse_address(address));
        };
        CPPUNIT_ASSERT_EQUAL(region_index{3}, find("0.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(region_index{1}, find("0.0.0.1"));
        CPPUNIT_ASSERT_EQUAL(region_index{1}, find("255.255.255.254"));
        CPPUNIT_ASSERT_EQUAL(region_index{2}, find("255.255.255.255"));
        CPPUNIT_ASSERT_EQUAL(region_index{1}, find("::ffff:10.0.0.1"));
        CPPUNIT_ASSERT_EQUAL(region_index{4}, find("ffff:ffff::1"));
        CPPUNIT_ASSERT_EQUAL(no_region, find("::1"));
        CPPUNIT_ASSERT_EQUAL(no_region,
                             block_table().find(ip_address{false, 0, 1}));
    }

    void prefixes_are_parsed_strictly()
    {
        for (const char* wrong :
             {"", "10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/-1",
              "10.0.0.0/8x", "10.0.0/8", "10.0.0.1/8", "::1/127", "::/129",
              "::ffff:10.0.0.0/104"})
            CPPUNIT_ASSERT_THROW(config::parse_prefix(wrong), config_error);
        CPPUNIT_ASSERT_THROW(
            config::parse_address(std::string_view("10.0.0.1\0x", 10)),
            config_error);
    }

    // An instance keeps the client blocks in the parts only, not in the bundle.
    void parts_give_the_same_table_as_the_bundle()
    {
        auto content = test::sample_bundle();
        content.client_blocks = test::sample_blocks(1'000);
        const auto encoded = config::encode_bundle(content);
        config::adoption state;
        state.with_client_blocks = false;
        offer_manifest(state, {{{epoch(1), "", ""}}, encoded.sections});
        offer_parts(state, encoded.parts);
        CPPUNIT_ASSERT(try_adopt(state));
        CPPUNIT_ASSERT(state.held->client_blocks.empty());
        const auto table =
            make_block_table(*state.held, state.held_manifest, state.parts);
        const auto expected = make_block_table(content);
        for (std::uint64_t at = 0; at < 1'100; ++at)
        {
            const ip_address address{false, 0, (16U << 24U) + (at << 8U)};
            CPPUNIT_ASSERT_EQUAL(expected.find(address), table.find(address));
        }
        auto other = state.held_manifest;
        CPPUNIT_ASSERT(config::same_client_blocks(other, state.held_manifest));
        content.client_blocks.pop_back();
        other.sections = config::encode_bundle(content).sections;
        CPPUNIT_ASSERT(!config::same_client_blocks(other, state.held_manifest));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lookup_blocks);

} // namespace
