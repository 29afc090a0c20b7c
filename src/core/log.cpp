#include <parsleyplank/core/bounded_appender.hpp>
#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>

#include <unistd.h>

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

// Adds the appender that make() returns to the root logger and sets the level.
// Throws config_error if the level has another name.
template <typename Make>
void install_appender(const std::string& level, Make make)
{
    static const log4cplus::Initializer initializer;
    const auto threshold = parse_level(level);
    log4cplus::SharedAppenderPtr appender(make());
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%d %H:%M:%S.%q} %-5p [%c] %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(threshold);
}

} // namespace

void start_logging(const std::string& level)
{
    install_appender(level,
                     [] { return new log4cplus::ConsoleAppender(true, true); });
}

void start_bounded_logging(const std::string& level, std::int64_t lines_per_s)
{
    install_appender(
        level,
        [&] { return new bounded_appender(STDOUT_FILENO, lines_per_s); });
}

void set_log_level(const std::string& level)
{
    log4cplus::Logger::getRoot().setLogLevel(parse_level(level));
}

void stop_logging()
{
    log4cplus::Logger::getRoot().closeNestedAppenders();
}

log4cplus::Logger component_logger(const std::string& component)
{
    return log4cplus::Logger::getInstance(component);
}

} // namespace parsleyplank
