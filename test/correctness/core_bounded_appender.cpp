// The log of a process under load: the rate of lines is limited, and warnings
// are not displaced by the lines of requests.

#include <parsleyplank/core/bounded_appender.hpp>
#include <parsleyplank/core/log.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <log4cplus/layout.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <string>

using namespace parsleyplank;

namespace
{

class core_bounded_appender : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(core_bounded_appender);
    CPPUNIT_TEST(a_warning_is_written_though_request_lines_use_up_the_rate);
    CPPUNIT_TEST_SUITE_END();

    static void append(bounded_appender& appender, log4cplus::LogLevel level,
                       const std::string& text)
    {
        appender.doAppend(log4cplus::spi::InternalLoggingEvent(
            "traffic", level, text, __FILE__, __LINE__));
    }

    static std::string read_all(int descriptor)
    {
        std::string text;
        std::array<char, 4'096> buf{};
        for (auto n = ::read(descriptor, buf.data(), buf.size()); n > 0;
             n = ::read(descriptor, buf.data(), buf.size()))
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

public:
    void a_warning_is_written_though_request_lines_use_up_the_rate()
    {
        constexpr int lines_per_s = 100;
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        bounded_appender appender(ends[1], lines_per_s);
        appender.setLayout(std::make_unique<log4cplus::SimpleLayout>());
        for (int i = 0; i < 3 * lines_per_s; ++i)
            append(appender, log4cplus::INFO_LOG_LEVEL, "request");
        append(appender, log4cplus::WARN_LOG_LEVEL, "accept failed");
        appender.close();
        ::close(ends[1]);
        const auto text = read_all(ends[0]);
        ::close(ends[0]);
        CPPUNIT_ASSERT(text.find("accept failed") != std::string::npos);
        CPPUNIT_ASSERT(text.find("event=log_lines_dropped") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_bounded_appender);

} // namespace
