// Guards what an operator sees for a wrong settings file: every problem at once
// with file and line.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/entry/settings.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace parsleyplank;

namespace
{

std::string read_text(const std::string& name)
{
    std::ifstream in(std::filesystem::path(PARSLEYPLANK_GOLDEN_DIR) / name);
    return {std::istreambuf_iterator<char>(in), {}};
}

class entry_settings : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_settings);
    CPPUNIT_TEST(all_problems_are_reported_with_their_lines);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_problems_are_reported_with_their_lines()
    {
        std::string text;
        for (const std::string name : {"values.toml", "syntax.toml"})
            try
            {
                entry::parse_settings(read_text("entry_settings/" + name),
                                      name);
                text += name + ": accepted\n";
            }
            catch (const config_error& ec)
            {
                text += std::string(ec.what()) + "\n";
            }
        CPPUNIT_ASSERT_EQUAL(read_text("entry_settings.txt"), text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_settings);

} // namespace
