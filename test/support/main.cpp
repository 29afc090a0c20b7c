// Runs all registered CppUnit tests, or those whose name contains the first
// argument. Prints the name of each test that failed on a line of its own, then
// the plain count that CI reads.

#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

namespace
{

void run_matching(CppUnit::Test& test, CppUnit::TestResult& result,
                  const std::string& pattern)
{
    if (test.getChildTestCount() == 0)
    {
        if (test.getName().find(pattern) != std::string::npos)
            test.run(&result);
        return;
    }
    for (int i = 0; i < test.getChildTestCount(); ++i)
        run_matching(*test.getChildTestAt(i), result, pattern);
}

// Returns the name of the test without that of the anonymous namespace.
std::string plain_name(const CppUnit::TestFailure& failure)
{
    const std::string prefix = "(anonymous namespace)::";
    const auto name = failure.failedTestName();
    return name.compare(0, prefix.size(), prefix) == 0
               ? name.substr(prefix.size())
               : name;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string pattern = argc > 1 ? argv[1] : "";
    const std::unique_ptr<CppUnit::Test> suite(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    result.addListener(&collector);
    run_matching(*suite, result, pattern);
    CppUnit::TextOutputter(&collector, std::cerr).write();
    for (const auto* it : collector.failures())
        std::cout << "failed: " << plain_name(*it) << '\n';
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed
              << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
