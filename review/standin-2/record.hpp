#ifndef PARSLEYPLANK_REVIEW_2_RECORD_HPP
#define PARSLEYPLANK_REVIEW_2_RECORD_HPP

// What was sent, answered and run, one line each with the time in seconds.

#include "net.hpp"

#include <fstream>
#include <mutex>

namespace review2
{

// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

class record
{
public:
    explicit record(const std::string& file);

    void add(const std::string& line);

private:
    const clock::time_point start = clock::now();
    std::mutex guard;
    std::ofstream out;
};

// Returns the bytes on one line, cut off if they are many.
std::string printable(std::string_view bytes);

// Returns whether the case runs with its disruption: not if the environment
// variable TROUBLE is 0.
bool has_trouble();

} // namespace review2

#endif
