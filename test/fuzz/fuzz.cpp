// Guards against outside bytes that crash a parser, make it allocate without
// bound or let out an exception that its callers don't expect: a peer, the
// store or a caller could end the process with one message.
//
// test_fuzz [SEED [ITERATIONS [TARGET]]] gives each target this number of
// mutated samples.

#include "mutation.hpp"
#include "targets.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <iterator>

using namespace parsleyplank::fuzz;

namespace
{

// More than 1,000 times the longest input and the program itself.
constexpr rlim_t memory_limit = 400'000'000;

// Far longer than any input takes; ends a parser that loops.
constexpr unsigned hang_limit_s = 60;

// Where the run is, for the signal handler.
std::array<char, 200> position{};

void report_signal(int number)
{
    [[maybe_unused]] const auto n =
        ::write(STDERR_FILENO, position.data(),
                std::char_traits<char>::length(position.data()));
    std::signal(number, SIG_DFL);
    std::raise(number);
}

std::string to_hex(std::string_view bytes)
{
    constexpr auto digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char c : bytes)
        (text += digits[c >> 4U]) += digits[c & 15U];
    return text;
}

// Returns whether the parser took the input as documented.
bool accepts(const target& t, const std::string& input)
{
    try
    {
        t.parse(input);
        return true;
    }
    catch (const std::exception& ec)
    {
        std::cerr << position.data() << ec.what() << "\n  input "
                  << to_hex(input) << "\n";
        return false;
    }
}

bool run(const target& t, std::uint64_t seed, std::uint64_t iterations)
{
    constexpr int most_faults = 3;
    std::mt19937_64 rng(seed);
    int faults = 0;
    for (std::uint64_t i = 0; i < iterations && faults < most_faults; ++i)
    {
        std::snprintf(position.data(), position.size(),
                      "%s, seed %llu, iteration %llu: ", t.name.c_str(),
                      static_cast<unsigned long long>(seed),
                      static_cast<unsigned long long>(i));
        ::alarm(hang_limit_s);
        // The first inputs are the samples as they are.
        const auto input =
            i < t.samples.size() ? t.samples[i] : mutate(t.samples, rng);
        faults += accepts(t, input) ? 0 : 1;
    }
    return faults == 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int i, std::uint64_t absent)
    {
        return argc > i ? std::strtoull(argv[i], nullptr, 10) : absent;
    };
    const auto seed = argument(1, 1);
    const auto iterations = argument(2, 3'000);
    const std::string only = argc > 3 ? argv[3] : "";
    const rlimit limit{memory_limit, memory_limit};
    ::setrlimit(RLIMIT_AS, &limit);
    for (const int number : {SIGSEGV, SIGABRT, SIGFPE, SIGBUS, SIGALRM})
        std::signal(number, report_signal);

    auto targets = binary_targets();
    std::ranges::move(text_targets(), std::back_inserter(targets));
    int passed = 0;
    int failed = 0;
    for (const auto& t : targets)
        if (t.name.find(only) != std::string::npos)
        {
            const bool sound = run(t, seed, iterations);
            ++(sound ? passed : failed);
            if (!sound)
                std::cout << "failed: " << t.name << '\n';
        }
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
