#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace quetzalcleat::core {

enum class log_level { Debug, Information, Warning, Error };

/// Writes log lines of one component through log4cxx.
class logger
{
public:
    explicit logger(std::string_view component);
    ~logger();

    logger(const logger &) = delete;
    logger &operator=(const logger &) = delete;

    void debug(std::string_view message, std::string_view requestId = {}) const;
    void information(std::string_view message, std::string_view requestId = {}) const;
    void warning(std::string_view message, std::string_view requestId = {}) const;
    void error(std::string_view message, std::string_view requestId = {}) const;

    /// Directs the log lines of the process to standard error. Call once, before the first line.
    static void initialise(log_level threshold);

private:
    struct implementation;

    void write(log_level level, std::string_view message, std::string_view requestId) const;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::core
