#include <parsleyplank/core/bounded_appender.hpp>

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <utility>

namespace parsleyplank
{

namespace
{

constexpr std::size_t max_buffered_bytes = 256'000;
// Fraction of the rate that is kept for warnings and errors, so that the lines
// of requests under load do not displace them.
constexpr double warning_reserve = 0.1;
// Largest write to the output. A pipe takes this many bytes at once, so that
// the lines of another writer do not come between them.
constexpr std::size_t max_write_bytes = 4'096;
// Longest time that a line waits in the buffer before the writer thread writes
// it.
constexpr std::chrono::milliseconds write_interval{200};

} // namespace

bounded_appender::bounded_appender(int output, std::int64_t rate)
    : descriptor(output), lines_per_s(static_cast<double>(rate)),
      available_lines(static_cast<double>(rate)),
      last_refill(std::chrono::steady_clock::now()), writer([this] { run(); })
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::close()
{
    {
        const std::lock_guard lock(buffer_mutex);
        stopping = true;
    }
    wake.notify_one();
    if (writer.joinable())
        writer.join();
    closed = true;
}

bool bounded_appender::admit(bool warning)
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> span = now - last_refill;
    last_refill = now;
    available_lines =
        std::min(lines_per_s, available_lines + span.count() * lines_per_s);
    const double reserve = warning ? 0 : lines_per_s * warning_reserve;
    if (available_lines < 1 + reserve || buffer.size() > max_buffered_bytes)
    {
        ++dropped;
        return false;
    }
    available_lines -= 1;
    return true;
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    const std::lock_guard lock(buffer_mutex);
    if (stopping || !admit(event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL))
        return;
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    const bool first = buffer.empty();
    buffer += line.str();
    if (first)
        wake.notify_one();
}

std::string bounded_appender::take_buffered()
{
    auto text = std::exchange(buffer, {});
    if (dropped > 0)
        text += "event=log_lines_dropped count=" +
                std::to_string(std::exchange(dropped, 0)) + "\n";
    return text;
}

void bounded_appender::write_all(const std::string& text) const
{
    std::size_t done = 0;
    while (done < text.size())
    {
        const auto n = ::write(descriptor, text.data() + done,
                               std::min(max_write_bytes, text.size() - done));
        if (n < 0 && errno != EINTR)
            return; // Without its output, the log can't report the error.
        done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
}

void bounded_appender::run()
{
    std::unique_lock lock(buffer_mutex);
    while (!stopping)
    {
        wake.wait(lock, [this] { return stopping || !buffer.empty(); });
        // Batches the lines of one interval into one write.
        wake.wait_for(lock, write_interval, [this] { return stopping; });
        const auto text = take_buffered();
        lock.unlock();
        write_all(text);
        lock.lock();
    }
    write_all(take_buffered());
}

} // namespace parsleyplank
