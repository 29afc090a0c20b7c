// End of the graceful shutdown of an entry instance.

#include <parsleyplank/entry/drain_end.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace parsleyplank;
using namespace parsleyplank::entry;

namespace
{

class entry_drain_end : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_drain_end);
    CPPUNIT_TEST(it_ends_when_no_request_is_open);
    CPPUNIT_TEST(open_requests_are_answered_first);
    CPPUNIT_TEST_SUITE_END();

    static constexpr time_point phase_ends{milliseconds(5'000)};

public:
    void it_ends_when_no_request_is_open()
    {
        CPPUNIT_ASSERT(closing_has_ended(phase_ends, {}, time_point{}));
    }

    // Failure scenario: requests whose deadline was later than the limit of the
    // last phase were cut off at that limit.
    void open_requests_are_answered_first()
    {
        constexpr std::array deadlines{time_point(milliseconds(3'000)),
                                       time_point(milliseconds(12'000)),
                                       time_point(milliseconds(7'000))};
        const auto ended = [&](milliseconds at)
        {
            return closing_has_ended(phase_ends, deadlines, time_point(at));
        };
        CPPUNIT_ASSERT(!ended(milliseconds(5'000)));
        CPPUNIT_ASSERT(!ended(milliseconds(12'000)));
        CPPUNIT_ASSERT(ended(milliseconds(14'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_drain_end);

} // namespace
