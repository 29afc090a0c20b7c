// Guards the answers that callers of an at-most-once route receive over a whole
// session: an order, its repetition through another instance, a reused key, a
// lost response, a duplicate in flight, an owner that was replaced and a store
// outage.

#include "support/claims_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace parsleyplank;
using namespace parsleyplank::test;

namespace
{

class claims_session : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_session);
    CPPUNIT_TEST(session_matches_golden_file);
    CPPUNIT_TEST_SUITE_END();

    std::ostringstream session;

    // Sends a request, waits 3 s and writes its answer to the session.
    void request(claims_cluster& cluster, std::size_t node,
                 const std::string& key, const std::string& body)
    {
        const auto n = cluster.submit(node, key, body);
        cluster.run_for(milliseconds(3'000));
        describe(cluster, n);
    }

    // Writes one line about a request, its answer and its number of executions.
    void describe(const claims_cluster& cluster, std::size_t n)
    {
        const auto& it = cluster.requests[n];
        const std::chrono::duration<double, std::milli> wait =
            it.answered_at - it.sent;
        session << it.attempt.instance.value << " " << it.key << " [" << it.body
                << "] -> ";
        if (it.answered)
            session << to_string(it.outcome)
                    << (it.reason.empty() ? "" : " " + it.reason)
                    << (it.response.body.empty() ? "" : ": " + it.response.body)
                    << " after " << wait.count() << " ms";
        else
            session << "no answer";
        session << "; runs: " << cluster.runs(it.key) << "\n";
    }

    void title(const std::string& text)
    {
        session << "# " << text << "\n";
    }

    void run_session(claims_cluster& cluster)
    {
        title("an order and its repeat through another instance");
        request(cluster, 0, "order-1", "2 bolts");
        request(cluster, 1, "order-1", "2 bolts");
        title("the key again with another body");
        request(cluster, 2, "order-1", "9 bolts");
        title("the backend server's answer is lost after the order ran");
        cluster.fault_of_backend = [](const std::string&)
        {
            return backend_fault::lost_after;
        };
        request(cluster, 0, "order-2", "1 nut");
        cluster.fault_of_backend = nullptr;
        request(cluster, 1, "order-2", "1 nut");
        title("every backend server refused; a repeat runs");
        cluster.fault_of_backend = [](const std::string&)
        {
            return backend_fault::refused;
        };
        request(cluster, 0, "order-3", "1 nut");
        cluster.fault_of_backend = nullptr;
        request(cluster, 1, "order-3", "1 nut");
        title("a duplicate while the first is in flight");
        cluster.settings.backend_time = milliseconds(1'000);
        const auto first = cluster.submit(0, "order-4", "1 nut");
        cluster.run_for(milliseconds(100));
        request(cluster, 1, "order-4", "1 nut");
        describe(cluster, first);
        title("the owner is replaced while the order runs");
        const auto lost = cluster.submit(0, "order-5", "1 nut");
        cluster.run_for(milliseconds(100));
        cluster.restart(0);
        request(cluster, 1, "order-5", "1 nut");
        describe(cluster, lost);
        cluster.settings.backend_time = milliseconds(20);
        title("the store is down, then back");
        cluster.fault_of_call = [](const claims::store_call&)
        {
            return store_fault::unavailable;
        };
        request(cluster, 2, "order-6", "1 nut");
        cluster.fault_of_call = nullptr;
        request(cluster, 1, "order-6", "1 nut");
        title("the store's answer is lost after the claim was written");
        cluster.fault_of_call = [&](const claims::store_call& call)
        {
            return call.type == claims::store_call::kind::write
                       ? store_fault::lost_response
                       : store_fault::none;
        };
        request(cluster, 2, "order-7", "1 nut");
    }

public:
    void session_matches_golden_file()
    {
        cluster_settings settings;
        settings.tick = milliseconds(10);
        claims_cluster cluster(settings);
        run_session(cluster);
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.violation());
        std::ifstream file(PARSLEYPLANK_GOLDEN_DIR "/claims_session.txt");
        const std::string expected{std::istreambuf_iterator<char>(file), {}};
        CPPUNIT_ASSERT_EQUAL(expected, session.str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_session);

} // namespace
