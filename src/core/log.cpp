#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <memory>

namespace parsleyplank
{

namespace
{

log4cplus::LogLevel parse_level(const std::string& level)
{
    const auto parsed = log4cplus::getLogLevelManager().fromString(level);
    if (parsed == log4cplus::NOT_SET_LOG_LEVEL)
        throw config_error("log level '" + level +
                           "' is not one of DEBUG, INFO, WARN, ERROR");
    return parsed;
}

} // namespace

void start_logging(const std::string& level)
{
    static const log4cplus::Initializer initializer;
    const auto threshold = parse_level(level);
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%d %H:%M:%S.%q} %-5p [%c] %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(threshold);
}

log4cplus::Logger part_logger(const std::string& part)
{
    return log4cplus::Logger::getInstance(part);
}

} // namespace parsleyplank
