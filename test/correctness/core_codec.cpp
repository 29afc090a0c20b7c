// Guards the encoding of ids and quantities, and the rejection of malformed
// bytes, which a peer or the store may send.

#include <parsleyplank/core/codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;

namespace
{

struct sample
{
    instance_id sender;
    epoch number;
    tokens spare;
    hash128_value key;

    MSGPACK_DEFINE_ARRAY(sender, number, spare, key)
};

class core_codec : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(core_codec);
    CPPUNIT_TEST(struct_survives_round_trip);
    CPPUNIT_TEST(damaged_bytes_are_rejected_with_their_source);
    CPPUNIT_TEST(claimed_sizes_beyond_the_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    const sample original{
        instance_id("entry-1"), epoch(7), tokens(2.5), {1, 2}};

public:
    void struct_survives_round_trip()
    {
        const auto copy =
            unpack_value<sample>(pack_value(original), "test message");
        CPPUNIT_ASSERT(copy.sender == original.sender);
        CPPUNIT_ASSERT(copy.number == original.number);
        CPPUNIT_ASSERT(copy.spare == original.spare);
        CPPUNIT_ASSERT(copy.key == original.key);
    }

    void damaged_bytes_are_rejected_with_their_source()
    {
        const auto bytes = pack_value(original);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CPPUNIT_ASSERT_THROW(
                unpack_value<sample>(bytes.substr(0, n), "peer entry-2"),
                codec_error);
        CPPUNIT_ASSERT_THROW(unpack_value<sample>(bytes + "x", "peer entry-2"),
                             codec_error);
        CPPUNIT_ASSERT_THROW(unpack_value<sample>(pack_value(3), "peer"),
                             codec_error);
    }

    void claimed_sizes_beyond_the_bytes_are_rejected()
    {
        const std::string huge_array("\xdd\xff\xff\xff\xff", 5);
        const std::string huge_map("\xdf\xff\xff\xff\xff", 5);
        const std::string deep(1'000, '\x91');
        CPPUNIT_ASSERT_THROW(unpack_value<sample>(huge_array, "peer"),
                             codec_error);
        CPPUNIT_ASSERT_THROW(unpack_value<sample>(huge_map, "peer"),
                             codec_error);
        CPPUNIT_ASSERT_THROW(unpack_value<sample>(deep, "peer"), codec_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_codec);

} // namespace
