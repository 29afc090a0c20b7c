// Guards against damaged bytes of a peer or the store that a decoder took, or
// that made it allocate gigabytes. The inputs were found by test/fuzz.

#include <parsleyplank/claims/message.hpp>
#include <parsleyplank/config/section_tree.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/hash.hpp>
#include <parsleyplank/entry/quota_agent.hpp>
#include <parsleyplank/rollout/rollout.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

using namespace parsleyplank;

namespace
{

class outside_bytes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outside_bytes);
    CPPUNIT_TEST(part_allocates_no_more_than_its_size_allows);
    CPPUNIT_TEST(undefined_states_do_not_decode);
    CPPUNIT_TEST(loan_terms_are_amounts);
    CPPUNIT_TEST_SUITE_END();

    static void decode_part(const std::string& bytes)
    {
        const auto digest = sha256_hex(bytes);
        config::for_each_item(digest, {{digest, bytes}},
                              [](const msgpack::object& /*item*/) {});
    }

public:
    void part_allocates_no_more_than_its_size_allows()
    {
        using namespace std::string_literals;
        for (const auto& bytes :
             {"\x92\xdf\x7f\xff\xff\xff\xff"s,
              "\x92\x00\xdd\xff\xff\xff\xff\x2e"s, "\x92\x00\x90\x00"s})
            CPPUNIT_ASSERT_THROW(decode_part(bytes), codec_error);
        decode_part("\x92\x00\x90"s);
    }

    // A writer would store the undefined state, and from then on no instance
    // could read the bucket.
    void undefined_states_do_not_decode()
    {
        claims::claim_batch batch;
        batch.finishes.resize(1);
        unpack_value<claims::claim_batch>(pack_value(batch), "peer");
        batch.finishes[0].state = static_cast<claims::claim_state>(4);
        CPPUNIT_ASSERT_THROW(
            unpack_value<claims::claim_batch>(pack_value(batch), "peer"),
            codec_error);
        rollout::rollout_record record;
        unpack_value<rollout::rollout_record>(pack_value(record), "peer");
        record.state = static_cast<rollout::phase>(3);
        CPPUNIT_ASSERT_THROW(
            unpack_value<rollout::rollout_record>(pack_value(record), "peer"),
            codec_error);
    }

    // NaN in a return would stay in the lender's pool, and a grant without
    // bound would break the customer's limit.
    void loan_terms_are_amounts()
    {
        const auto decode =
            [](peer::message_kind kind, const quota::message_body& body)
        {
            entry::unpack_body({instance_id("b"), incarnation(1), 1, kind,
                                quota::pack_body(body)});
        };
        const auto huge = std::numeric_limits<float>::infinity();
        decode(peer::message_kind::loan_grant,
               quota::loan_grant{.loans = {{1, 2, 3, 4, 5}}});
        for (const auto bad : {std::nanf(""), huge, -1.0F})
        {
            CPPUNIT_ASSERT_THROW(
                decode(peer::message_kind::loan_grant,
                       quota::loan_grant{.loans = {{1, 2, bad, 4, 5}}}),
                codec_error);
            CPPUNIT_ASSERT_THROW(
                decode(peer::message_kind::loan_return,
                       quota::loan_return{.items = {{2, 0, 0, bad}}}),
                codec_error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outside_bytes);

} // namespace
