#ifndef PARSLEYPLANK_CORE_BOUNDED_APPENDER_HPP
#define PARSLEYPLANK_CORE_BOUNDED_APPENDER_HPP

// A log4cplus appender that never blocks on output: append() adds the line to a
// bounded buffer, and a thread writes the buffer to a file descriptor in
// batches. Lines above the rate limit, or that arrive while the buffer is full,
// are dropped and counted; the next batch ends with a line that holds the
// count.

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
    // Starts the writer thread. At most this many lines per second are written
    // to the file descriptor, which must stay open until close().
    bounded_appender(int descriptor, std::int64_t lines_per_s);
    ~bounded_appender() override;

    bounded_appender(const bounded_appender&) = delete;
    bounded_appender& operator=(const bounded_appender&) = delete;

    // Writes the buffered lines and joins the writer thread. Later lines are
    // ignored.
    void close() override;

protected:
    // Formats the event and buffers its line, or counts it as dropped.
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    // Writes the buffered lines in batches until close() is called.
    void run();

    // Takes one line from the rate limit's token bucket. Returns false, and
    // counts the line as dropped, if the bucket is empty, if only its reserve
    // for warnings is left and the line is none, or if the buffer is full.
    // Assumes that the mutex is held.
    bool admit(bool warning);

    // Empties the buffer and returns its lines, with a line that holds the
    // number of dropped lines if there are any. Assumes that the mutex is held.
    std::string take_buffered();

    // Writes the whole text to the file descriptor. Gives up on an error other
    // than EINTR.
    void write_all(const std::string& text) const;

    int descriptor;
    double lines_per_s;
    std::mutex buffer_mutex;
    std::condition_variable wake;
    std::string buffer;
    // Tokens in the bucket, at most those of one second.
    double available_lines;
    std::chrono::steady_clock::time_point last_refill;
    // Lines dropped since the last line that reported their number.
    std::uint64_t dropped = 0;
    bool stopping = false;
    std::thread writer;
};

} // namespace parsleyplank

#endif
