#pragma once

#include <csignal>

#include <sys/resource.h>

namespace quetzalcleat::peer::test {

/// While it exists, each write to a file fails, as on a full disk.
class file_size_limit
{
public:
    file_size_limit()
    {
        m_formerHandler = std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_former);
        const rlimit none{0, m_former.rlim_max};
        ::setrlimit(RLIMIT_FSIZE, &none);
    }
    ~file_size_limit()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_former);
        std::signal(SIGXFSZ, m_formerHandler);
    }
    file_size_limit(const file_size_limit &) = delete;
    file_size_limit &operator=(const file_size_limit &) = delete;

private:
    using signal_handler = void (*)(int);

    rlimit m_former{};
    signal_handler m_formerHandler = SIG_DFL;
};

} // namespace quetzalcleat::peer::test
