#ifndef PARSLEYPLANK_CORE_LOG_HPP
#define PARSLEYPLANK_CORE_LOG_HPP

// Logging by log4cplus. Each part has a logger of its own, whose name is the
// fixed prefix of its lines: "2026-01-01 00:00:00.000 INFO  [quota] ...".
// Messages are short sentences and never hold an API key.

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <string>

namespace parsleyplank
{

// Sends log lines of at least this level ("DEBUG", "INFO", "WARN", "ERROR") to
// standard error. Throws config_error if the level has another name. Call once,
// before the first logger is used.
void start_logging(const std::string& level);

// Returns the logger of a part, e.g. part_logger("quota").
log4cplus::Logger part_logger(const std::string& part);

} // namespace parsleyplank

#endif
