// Guards what operators see for wrong files: every problem at once, each with
// file, line, cause and remedy, and no part of what may be an API key.

#include <parsleyplank/config/service_file.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace parsleyplank::config;

namespace
{

// Returns the contents of a file below the folder of golden files.
std::string read_text(const std::string& name)
{
    std::ifstream in(std::filesystem::path(PARSLEYPLANK_GOLDEN_DIR) / name);
    return {std::istreambuf_iterator<char>(in), {}};
}

class config_errors : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_errors);
    CPPUNIT_TEST(all_problems_are_reported_with_their_lines);
    CPPUNIT_TEST(incomplete_files_hide_no_cause);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_problems_are_reported_with_their_lines()
    {
        collected_files files;
        for (const std::string name : {"fleet.toml", "desk/service.toml"})
            add_file(files, name, read_text("config_errors/" + name));
        const auto text = to_string(check_files(files));
        CPPUNIT_ASSERT(text.find("sesame") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(read_text("config_errors.txt"), text);
    }

    // A file that does not parse must not bury its error under complaints
    // about the items that are missing with it.
    void incomplete_files_hide_no_cause()
    {
        collected_files files;
        add_file(files, "a.toml", "[fleet]\nname = \"x");
        add_file(files, "b.toml", "[server]\n");
        add_file(files, "service.toml", "service = 3\n");
        CPPUNIT_ASSERT_EQUAL(
            std::string("a.toml:2: Error while parsing string: encountered "
                        "end-of-file; correct the TOML syntax\n"
                        "b.toml: has neither a [fleet] nor a [service] table; "
                        "add [service] with id = \"...\"\n"
                        "service.toml:1: service file: service must be given "
                        "as a [service] table\n"),
            to_string(check_files(files)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_errors);

} // namespace
