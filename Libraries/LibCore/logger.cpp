#include "LibCore/logger.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace quetzalcleat::core {

struct logger::implementation
{
    log4cxx::LoggerPtr log4cxxLogger;
};

namespace {

log4cxx::LevelPtr toLog4cxxLevel(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Information:
        return log4cxx::Level::getInfo();
    case log_level::Warning:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

} // namespace

logger::logger(std::string_view component) : m_implementation(std::make_unique<implementation>())
{
    m_implementation->log4cxxLogger = log4cxx::Logger::getLogger(std::string(component));
}

logger::~logger() = default;

void logger::debug(std::string_view message, std::string_view requestId) const
{
    write(log_level::Debug, message, requestId);
}

void logger::information(std::string_view message, std::string_view requestId) const
{
    write(log_level::Information, message, requestId);
}

void logger::warning(std::string_view message, std::string_view requestId) const
{
    write(log_level::Warning, message, requestId);
}

void logger::error(std::string_view message, std::string_view requestId) const
{
    write(log_level::Error, message, requestId);
}

void logger::initialise(log_level threshold)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %c %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(toLog4cxxLevel(threshold));
}

void logger::write(log_level level, std::string_view message, std::string_view requestId) const
{
    const auto log4cxxLevel = toLog4cxxLevel(level);
    if (!m_implementation->log4cxxLogger->isEnabledFor(log4cxxLevel))
        return;
    std::string line(message);
    if (!requestId.empty())
        line.append(" request_id=").append(requestId);
    m_implementation->log4cxxLogger->forcedLog(log4cxxLevel, line);
}

} // namespace quetzalcleat::core
