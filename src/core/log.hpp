#ifndef PARSLEYPLANK_CORE_LOG_HPP
#define PARSLEYPLANK_CORE_LOG_HPP

// Logging by log4cplus. Each part has a logger of its own, whose name is the
// fixed prefix of its lines: "2026-01-01 00:00:00.000 INFO  [quota] ...".
// Messages are short sentences and never contain an API key.

#include <cstdint>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <string>

namespace parsleyplank
{

// Sends log lines of at least this level ("DEBUG", "INFO", "WARN", "ERROR") to
// standard error. Throws config_error if the level has another name. Call once,
// before the first logger is used.
void start_logging(const std::string& level);

// Sends log lines of at least this level to standard output without blocking
// the caller on output. Lines above the rate are dropped and counted. Throws
// config_error if the level has another name. Call once, instead of
// start_logging.
void start_bounded_logging(const std::string& level, std::int64_t lines_per_s);

// Changes the minimum level of the lines that are logged. Throws config_error
// if the level has another name.
void set_log_level(const std::string& level);

// Writes the buffered lines and closes all appenders.
void stop_logging();

// Returns the logger of a component, e.g. component_logger("quota").
log4cplus::Logger component_logger(const std::string& component);

} // namespace parsleyplank

#endif
