// Guards the start of an instance on the users' platform: a deployment that
// lacks a figure, or writes it in another form, must not keep it from starting.

#include "support/template_text.hpp"
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/edge/settings.hpp>
#include <parsleyplank/settings/table_reader.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace parsleyplank;
using namespace parsleyplank::edge;
using nlohmann::json;

namespace
{

class edge_settings_template : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(edge_settings_template);
    CPPUNIT_TEST(each_figure_reaches_the_settings);
    CPPUNIT_TEST(an_instance_starts_without_any_one_figure);
    CPPUNIT_TEST(an_instance_starts_without_bounds_and_limits);
    CPPUNIT_TEST(an_absent_figure_keeps_its_default);
    CPPUNIT_TEST(a_figure_of_zero_is_not_taken_for_absent);
    CPPUNIT_TEST(whole_numbers_may_be_written_as_fractions);
    CPPUNIT_TEST(an_absent_address_is_named);
    CPPUNIT_TEST_SUITE_END();

    const std::string text = settings_file::read_text(
        std::string(PARSLEYPLANK_DEPLOY_DIR) + "/settings.toml.in");

    // Every bound differs from its default.
    const json all = json::parse(R"({
        "nodeName": "edge-1", "region": "oslo", "zone": "oslo-a",
        "ip": "127.0.0.1", "portRange": [7740, 7755],
        "limits": {"memoryMb": 160, "maxFds": 4100, "linkMbps": 200.0},
        "listen": {"frontend": "127.0.0.1:8001", "ready": "127.0.0.1:8002",
                   "directory": "127.0.0.1:8003", "control": "127.0.0.1:8004"},
        "platform": {"address": "127.0.0.1:8005"},
        "zones": {"oslo-a": "oslo", "bergen-a": "bergen"},
        "bounds": {"contact": "3000ms", "drain": "3500ms", "grace": "7s",
                   "ttl_max": "4s", "retryBudgetRatio": 0.1, "budgetSlack": 60,
                   "maxShift": 0.3, "revoke": "6000ms", "strictRevoke": true,
                   "reportWindow": "6s", "usageLate": "9s", "lease_time": "2s",
                   "thaw": "200ms"},
        "cloudApi": {"address": "127.0.0.1:8006", "duties": "usage,other"}
    })");

    [[nodiscard]] settings parse(const json& fields) const
    {
        return parse_settings(test::render_template(text, fields),
                              "settings.toml");
    }

    [[nodiscard]] json without(const char* table, const std::string& name) const
    {
        auto fields = all;
        fields[table].erase(name);
        return fields;
    }

    [[nodiscard]] json with(const char* table, const char* name,
                            const json& value) const
    {
        auto fields = all;
        fields[table][name] = value;
        return fields;
    }

    void each_figure_reaches_the_settings()
    {
        const auto s = parse(all);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(160), s.memory_mb);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4'100), s.max_descriptors);
        CPPUNIT_ASSERT_EQUAL(200.0, s.link_mbps);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8'004), s.admin.port);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(7'740), s.peer_port);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), s.regions.size());
        CPPUNIT_ASSERT(s.bounds.contact == milliseconds(3'000));
        CPPUNIT_ASSERT(s.bounds.drain == milliseconds(3'500));
        CPPUNIT_ASSERT(s.bounds.grace == milliseconds(7'000));
        CPPUNIT_ASSERT(s.bounds.directory_ttl == milliseconds(4'000));
        CPPUNIT_ASSERT_EQUAL(0.1, s.bounds.retry_ratio);
        CPPUNIT_ASSERT_EQUAL(60.0, s.bounds.retry_slack);
        CPPUNIT_ASSERT_EQUAL(0.3, s.bounds.shift_cap);
        CPPUNIT_ASSERT(s.bounds.revoke == milliseconds(6'000));
        CPPUNIT_ASSERT(s.bounds.strict_keys);
        CPPUNIT_ASSERT(s.usage.window == milliseconds(6'000));
        CPPUNIT_ASSERT(s.usage.late == milliseconds(9'000));
        CPPUNIT_ASSERT(s.usage.lease == milliseconds(2'000));
        CPPUNIT_ASSERT(s.usage.thaw == milliseconds(200));
        CPPUNIT_ASSERT(has_duty(s.usage, "usage"));
    }

    // Failure scenario: a deployment names no cap on shifts between regions.
    // "shift_cap = " is no TOML, and every process ended with status 2 at each
    // start.
    void an_instance_starts_without_any_one_figure()
    {
        for (const auto* table : {"bounds", "limits", "cloudApi"})
            for (const auto& [name, value] : all[table].items())
                CPPUNIT_ASSERT_NO_THROW_MESSAGE(
                    std::string(table) + "." + name,
                    (void)parse(without(table, name)));
    }

    void an_instance_starts_without_bounds_and_limits()
    {
        auto fields = all;
        for (const auto* table : {"bounds", "limits", "cloudApi", "zones"})
            fields.erase(table);
        fields["listen"].erase("control");
        CPPUNIT_ASSERT_NO_THROW((void)parse(fields));
    }

    void an_absent_figure_keeps_its_default()
    {
        const settings defaults;
        CPPUNIT_ASSERT_EQUAL(
            defaults.bounds.shift_cap,
            parse(without("bounds", "maxShift")).bounds.shift_cap);
        CPPUNIT_ASSERT_EQUAL(
            defaults.bounds.retry_ratio,
            parse(without("bounds", "retryBudgetRatio")).bounds.retry_ratio);
        CPPUNIT_ASSERT(defaults.bounds.contact ==
                       parse(without("bounds", "contact")).bounds.contact);
        CPPUNIT_ASSERT(
            !parse(without("bounds", "strictRevoke")).bounds.strict_keys);
        CPPUNIT_ASSERT_EQUAL(defaults.memory_mb,
                             parse(without("limits", "memoryMb")).memory_mb);
        CPPUNIT_ASSERT_EQUAL(
            defaults.max_descriptors,
            parse(without("limits", "maxFds")).max_descriptors);
    }

    void a_figure_of_zero_is_not_taken_for_absent()
    {
        CPPUNIT_ASSERT_EQUAL(
            0.0, parse(with("bounds", "budgetSlack", 0)).bounds.retry_slack);
        CPPUNIT_ASSERT(
            !parse(with("bounds", "strictRevoke", false)).bounds.strict_keys);
    }

    void whole_numbers_may_be_written_as_fractions()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(160),
            parse(with("limits", "memoryMb", 160.0)).memory_mb);
        CPPUNIT_ASSERT_THROW((void)parse(with("limits", "memoryMb", 160.5)),
                             config_error);
    }

    void an_absent_address_is_named()
    {
        const auto problem_of = [&](const json& fields)
        {
            try
            {
                (void)parse(fields);
            }
            catch (const config_error& ec)
            {
                return std::string(ec.what());
            }
            return std::string();
        };
        const auto names = [&](const char* key, const json& fields)
        {
            return problem_of(fields).find(key) != std::string::npos;
        };
        CPPUNIT_ASSERT(names("callers", without("listen", "frontend")));
        CPPUNIT_ASSERT(names("address", without("platform", "address")));
        auto fields = all;
        fields.erase("nodeName");
        CPPUNIT_ASSERT(names("id", fields));
        fields = all;
        fields.erase("portRange");
        CPPUNIT_ASSERT(names("peer_port", fields));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(edge_settings_template);

} // namespace
