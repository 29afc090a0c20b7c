#ifndef PARSLEYPLANK_REVIEW_RECORD_HPP
#define PARSLEYPLANK_REVIEW_RECORD_HPP

// The record of a case: one line for each event, with the time since the start.

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class record
{
public:
    explicit record(const std::string& file) : out(file), start(clock::now())
    {
    }

    void add(const std::string& line)
    {
        const std::lock_guard lock(mutex);
        out << ms_since_start(clock::now()) << " ms  " << line << std::endl;
    }

    long ms_since_start(clock::time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - start).count();
    }

private:
    std::mutex mutex;
    std::ofstream out;
    clock::time_point start;
};

} // namespace review

#endif
