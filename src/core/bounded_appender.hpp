#ifndef PARSLEYPLANK_CORE_BOUNDED_APPENDER_HPP
#define PARSLEYPLANK_CORE_BOUNDED_APPENDER_HPP

// A log4cplus appender that never blocks: lines go into a bounded buffer, and a
// thread writes them to standard output in batches. Lines beyond the rate or
// the buffer are dropped and counted; the count is written as a line.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <log4cplus/appender.h>
#include <mutex>
#include <string>
#include <thread>

namespace parsleyplank
{

class bounded_appender final : public log4cplus::Appender
{
public:
    // Writes to the descriptor at most this many lines per second.
    bounded_appender(int descriptor, std::int64_t lines_per_s);
    ~bounded_appender() override;

    bounded_appender(const bounded_appender&) = delete;
    bounded_appender& operator=(const bounded_appender&) = delete;

    // Writes what is buffered and ends the thread.
    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    void run();
    bool admit();
    std::string take_buffered();
    void write_all(const std::string& text) const;

    int descriptor;
    double lines_per_s;
    std::mutex buffer_mutex;
    std::condition_variable wake;
    std::string buffer;
    double available_lines;
    std::chrono::steady_clock::time_point last_refill;
    std::uint64_t dropped = 0;
    bool stopping = false;
    std::thread writer;
};

} // namespace parsleyplank

#endif
