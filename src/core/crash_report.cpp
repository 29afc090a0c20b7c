#include <parsleyplank/core/crash_report.hpp>

#include <execinfo.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <string_view>

namespace parsleyplank
{

namespace
{

constexpr int max_frames = 48;
constexpr std::size_t handler_stack_bytes = 65'536;

// A line that is built without allocation.
struct signal_safe_line
{
    std::array<char, 128> text{};
    std::size_t size = 0;
};

void append(signal_safe_line& line, std::string_view text)
{
    const auto n = std::min(text.size(), line.text.size() - line.size);
    std::copy_n(text.begin(), n, line.text.begin() + line.size);
    line.size += n;
}

void append_number(signal_safe_line& line, std::uintptr_t number, int base)
{
    const auto end =
        std::to_chars(line.text.data() + line.size,
                      line.text.data() + line.text.size(), number, base);
    line.size = static_cast<std::size_t>(end.ptr - line.text.data());
}

void report_crash(int number, siginfo_t* info, void* /*context*/)
{
    signal_safe_line line;
    append(line, "event=crash signal=");
    append_number(line, static_cast<std::uintptr_t>(number), 10);
    append(line, " address=0x");
    append_number(line, reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    append(line, "\n");
    const auto written = ::write(STDERR_FILENO, line.text.data(), line.size);
    std::array<void*, max_frames> frames{};
    if (written > 0)
        ::backtrace_symbols_fd(frames.data(),
                               ::backtrace(frames.data(), max_frames),
                               STDERR_FILENO);
    // The handler is reset by now, so the signal ends the process.
    ::raise(number);
}

} // namespace

void install_crash_report()
{
    // The first call loads a library, which a signal handler must not do.
    std::array<void*, 1> frame{};
    ::backtrace(frame.data(), static_cast<int>(frame.size()));
    static std::array<char, handler_stack_bytes> handler_stack;
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action
    {
    };
    action.sa_sigaction = report_crash;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
    for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
        ::sigaction(number, &action, nullptr);
}

} // namespace parsleyplank
