#ifndef PARSLEYPLANK_CORE_CRASH_REPORT_HPP
#define PARSLEYPLANK_CORE_CRASH_REPORT_HPP

// Reports where the process was when a fatal signal ends it.

namespace parsleyplank
{

// Writes a line event=crash with the signal and the address that caused it, and
// the call stack below it, to standard error if SIGSEGV, SIGBUS, SIGFPE, SIGILL
// or SIGABRT ends the process. The exit status stays that of the signal. A
// stack overflow is reported for the calling thread only. Addresses are offsets
// into the program, as addr2line takes them. Call before other threads start.
void install_crash_report();

} // namespace parsleyplank

#endif
