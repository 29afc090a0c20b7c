// Guards load scenarios against settings that are silently ignored or adjusted:
// each wrong one is named with its line, and no API key appears.

#include <parsleyplank/core/error.hpp>
#include <parsleyplank/load/scenario.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace parsleyplank;

namespace
{

const std::string good = R"(name = "small"
duration_s = 10
seed = 1
[[region]]
id = "oslo"
client = "10.110.7.7"
[[customer]]
id = "a"
key = "secret-key"
rate_per_s = 5
[[route]]
id = "read"
method = "GET"
path = "/katalog"
execution = "idempotent"
)";

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = good;
    return text.replace(text.find(from), from.size(), to);
}

std::string problem_of(const std::string& text)
{
    try
    {
        load::parse_scenario("a.toml", text, ".");
    }
    catch (const config_error& e)
    {
        return e.what();
    }
    return "";
}

void assert_problem(const std::string& text, const std::string& line,
                    const std::string& wanted)
{
    const auto problem = problem_of(text);
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find(line) != problem.npos);
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find(wanted) != problem.npos);
    CPPUNIT_ASSERT(problem.find("secret-key") == problem.npos);
}

class load_scenario : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_scenario);
    CPPUNIT_TEST(good_one_is_read);
    CPPUNIT_TEST(wrong_settings_are_named);
    CPPUNIT_TEST(examples_are_valid);
    CPPUNIT_TEST_SUITE_END();

public:
    void good_one_is_read()
    {
        const auto s = load::parse_scenario("a.toml", good, ".");
        CPPUNIT_ASSERT_EQUAL(std::string("secret-key"),
                             s.customers.at(0).api_key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             s.customers.at(0).phases.at(0).weights.size());
        CPPUNIT_ASSERT(s.routes.at(0).kind == load::execution::idempotent);
    }

    void wrong_settings_are_named()
    {
        assert_problem(replaced("seed = 1", "seeds = 1"), "a.toml:3", "seeds");
        assert_problem(replaced("= 10", "= -1"), "a.toml:2", "duration_s");
        assert_problem(replaced("= 10", "= nan"), "a.toml:2", "duration_s");
        assert_problem(replaced("per_s = 5", "per_s = \"5\""), "a.toml:10",
                       "rate_per_s");
        assert_problem(replaced("per_s = 5", "per_s = 5\nrate_limit_per_s = 5"),
                       "a.toml:7", "burst");
        assert_problem(replaced("key = \"secret-key\"\n", ""), "a.toml:7",
                       "key_file");
        assert_problem(replaced("secret-key", "secret-key\\r\\nX: y"),
                       "a.toml:9", "visible");
        assert_problem(replaced("\"idempotent\"", "\"twice\""), "a.toml:15",
                       "execution");
        assert_problem(
            replaced("\"idempotent\"", "\"once\"\nrepeat_probability = 0.5"),
            "a.toml:16", "at_most_once");
        assert_problem(replaced("[[route]]",
                                "[[customer.phase]]\nshare = { bergen = 1 }\n"
                                "[[route]]"),
                       "a.toml:12", "bergen");
        assert_problem(replaced("[[route]]", "[[route"), "a.toml:11", "");
        assert_problem(good + "[[fault]]\nat_s = 11\nurl = \"http://a\"\n",
                       "a.toml:17", "at_s");
        assert_problem(good + "[[region]]\nid = \"oslo\"\nclient = \"b\"\n",
                       "a.toml", "given twice");
    }

    void examples_are_valid()
    {
        const std::filesystem::path folder =
            std::filesystem::path(PARSLEYPLANK_GOLDEN_DIR) /
            "../../examples/load";
        for (const auto* name :
             {"skuffedel.toml", "tokachi.toml", "skuffedel-overload.toml"})
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{8},
                load::read_scenario(folder / name).customers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_scenario);

} // namespace
