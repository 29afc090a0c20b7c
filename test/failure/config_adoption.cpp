// Guards adoption: whatever arrives in whatever order, the epoch held never
// goes back, and nothing incomplete or damaged is adopted.

#include "support/sample_bundle.hpp"
#include <parsleyplank/config/adoption.hpp>
#include <parsleyplank/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace parsleyplank;
using namespace parsleyplank::config;

namespace
{

// A configuration of an epoch; the rate of a customer tells epochs apart.
struct version
{
    manifest description;
    part_map parts;
};

version make_version(std::uint64_t n, const std::string& change_id = "c")
{
    bundle v = test::sample_bundle();
    v.customers[0].rate = token_rate(static_cast<double>(n));
    auto encoded = encode_bundle(v);
    return {{{{epoch(n), "anna", change_id}}, encoded.sections}, encoded.parts};
}

bool deliver(adoption& state, const version& v)
{
    offer_manifest(state, v.description);
    offer_parts(state, v.parts);
    return try_adopt(state);
}

class config_adoption : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_adoption);
    CPPUNIT_TEST(epoch_never_goes_back_in_any_order_of_delivery);
    CPPUNIT_TEST(late_older_configuration_is_ignored);
    CPPUNIT_TEST(other_change_of_the_same_epoch_is_ignored);
    CPPUNIT_TEST(incomplete_configuration_is_not_adopted);
    CPPUNIT_TEST(newer_configuration_replaces_an_incomplete_one);
    CPPUNIT_TEST(damaged_part_is_rejected_and_state_kept);
    CPPUNIT_TEST(parts_that_do_not_decode_are_forgotten);
    CPPUNIT_TEST_SUITE_END();

    adoption state;

public:
    void epoch_never_goes_back_in_any_order_of_delivery()
    {
        std::vector<version> versions;
        for (std::uint64_t n = 1; n <= 20; ++n)
            versions.push_back(make_version(n));
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            std::mt19937_64 random(seed);
            state = {};
            epoch before;
            // Manifests, parts and attempts to adopt mix in any order.
            for (int i = 0; i < 200; ++i)
            {
                const version& v = versions[random() % versions.size()];
                if (random() % 2 == 0)
                    offer_manifest(state, v.description);
                if (random() % 2 == 0)
                    offer_parts(state, v.parts);
                if (try_adopt(state))
                    CPPUNIT_ASSERT_EQUAL(
                        static_cast<double>(state.held->epoch.value),
                        state.held->customers[0].rate.value);
                CPPUNIT_ASSERT(held_epoch(state) >= before);
                before = held_epoch(state);
            }
            CPPUNIT_ASSERT(before > epoch());
        }
    }

    void late_older_configuration_is_ignored()
    {
        CPPUNIT_ASSERT(deliver(state, make_version(5)));
        const auto old = make_version(4);
        CPPUNIT_ASSERT(offer_manifest(state, old.description) ==
                       offer_verdict::older);
        CPPUNIT_ASSERT(!deliver(state, old));
        CPPUNIT_ASSERT(held_epoch(state) == epoch(5));
        CPPUNIT_ASSERT(offer_manifest(state, make_version(5).description) ==
                       offer_verdict::known);
    }

    void other_change_of_the_same_epoch_is_ignored()
    {
        CPPUNIT_ASSERT(deliver(state, make_version(5)));
        CPPUNIT_ASSERT(
            offer_manifest(state, make_version(5, "other").description) ==
            offer_verdict::conflicting);
        CPPUNIT_ASSERT(missing_parts(state).empty());
    }

    void incomplete_configuration_is_not_adopted()
    {
        CPPUNIT_ASSERT(deliver(state, make_version(5)));
        const auto next = make_version(6);
        offer_manifest(state, next.description);
        // Only the part that differs is asked for.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, missing_parts(state).size());
        CPPUNIT_ASSERT(!try_adopt(state));
        CPPUNIT_ASSERT(held_epoch(state) == epoch(5));
        CPPUNIT_ASSERT(deliver(state, next));
        CPPUNIT_ASSERT(state.parts == next.parts);
    }

    void newer_configuration_replaces_an_incomplete_one()
    {
        offer_manifest(state, make_version(5).description);
        CPPUNIT_ASSERT(deliver(state, make_version(6)));
        CPPUNIT_ASSERT(!deliver(state, make_version(5)));
        CPPUNIT_ASSERT(held_epoch(state) == epoch(6));
    }

    void damaged_part_is_rejected_and_state_kept()
    {
        CPPUNIT_ASSERT(deliver(state, make_version(5)));
        auto next = make_version(6);
        offer_manifest(state, next.description);
        const auto digest = missing_parts(state).front();
        next.parts[digest] += "x";
        CPPUNIT_ASSERT_THROW(offer_parts(state, next.parts), codec_error);
        CPPUNIT_ASSERT(!try_adopt(state));
        CPPUNIT_ASSERT(held_epoch(state) == epoch(5));
    }

    void parts_that_do_not_decode_are_forgotten()
    {
        CPPUNIT_ASSERT(deliver(state, make_version(5)));
        // The digests are right, but the customers are regions.
        auto next = make_version(6);
        next.description.sections[3].root = next.description.sections[1].root;
        offer_manifest(state, next.description);
        offer_parts(state, next.parts);
        CPPUNIT_ASSERT_THROW(try_adopt(state), codec_error);
        CPPUNIT_ASSERT(held_epoch(state) == epoch(5));
        CPPUNIT_ASSERT(state.held->epoch == epoch(5));
        CPPUNIT_ASSERT(deliver(state, make_version(7)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_adoption);

} // namespace
