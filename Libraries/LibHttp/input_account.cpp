#include "LibHttp/input_account.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quetzalcleat::http {

namespace {

/// The HTTP library keeps a body until the response to it, next to the copy that the session uses,
/// and strings grow by doubling.
constexpr std::size_t copiesOfRequest = 2;

/// A connection that holds no more is not closed for lack of memory before the reserve is used up.
constexpr std::size_t smallRequestBytes = std::size_t{64} * 1024;

} // namespace

std::string_view nameOf(closing_reason reason)
{
    switch (reason) {
    case closing_reason::Memory:
        return "memory";
    case closing_reason::HeadTime:
        return "head_time";
    case closing_reason::Connections:
        return "connections";
    case closing_reason::BodyRate:
        return "body_rate";
    }
    return "unknown";
}

input_account::charge::charge(input_account &account, std::size_t bytes)
    : m_account(&account), m_bytes(bytes)
{
    account.m_held += bytes;
}

input_account::charge::charge(charge &&other) noexcept
    : m_account(std::exchange(other.m_account, nullptr)), m_bytes(std::exchange(other.m_bytes, 0))
{
}

input_account::charge &input_account::charge::operator=(charge &&other) noexcept
{
    if (this == &other)
        return *this;
    resize(0);
    m_account = std::exchange(other.m_account, nullptr);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

void input_account::charge::resize(std::size_t bytes)
{
    if (m_account == nullptr)
        return;
    m_account->m_held = m_account->m_held - m_bytes + bytes;
    m_bytes = bytes;
}

input_account::input_account(input_limits limits, reason_handler onClose)
    : m_limits(limits), m_onClose(std::move(onClose))
{
}

std::shared_ptr<input_account::connection> input_account::open(std::function<void()> close,
                                                               instant now)
{
    const auto serial = m_nextSerial++;
    auto opened = std::make_shared<connection>(shared_from_this(), serial, std::move(close), now);
    m_connections.emplace(serial, opened.get());
    return opened;
}

void input_account::closeSlow(instant now)
{
    std::vector<connection *> slow;
    for (const auto &[serial, open] : m_connections) {
        if (open->isSlow(now))
            slow.push_back(open);
    }
    for (auto *open : slow)
        closeConnection(*open,
                        open->m_phase == connection::phase::Head ? closing_reason::HeadTime
                                                                 : closing_reason::BodyRate);
}

void input_account::closeUnfinishedHeads(instant now)
{
    constexpr int shareOfHeadTime = 10;
    std::vector<connection *> unfinished;
    for (const auto &[serial, open] : m_connections) {
        if (!open->m_closed && open->m_phase == connection::phase::Head
            && now - open->m_start > m_limits.headTime / shareOfHeadTime)
            unfinished.push_back(open);
    }
    for (auto *open : unfinished)
        closeConnection(*open, closing_reason::Connections);
}

bool input_account::makeRoom(std::size_t bytes)
{
    return makeRoom(bytes, bytes <= smallRequestBytes);
}

bool input_account::makeRoom(std::size_t bytes, bool small)
{
    while (isFull(bytes, small)) {
        auto *victim = newestLarge();
        if (victim == nullptr)
            return false;
        closeConnection(*victim, closing_reason::Memory);
    }
    return true;
}

bool input_account::isFull(std::size_t more, bool small) const
{
    constexpr std::size_t reserveShare = 5;
    const auto reserve = small ? 0 : m_limits.bytes / reserveShare;
    return m_held + more > m_limits.bytes - reserve;
}

void input_account::closeConnection(connection &closed, closing_reason reason)
{
    closed.close();
    if (m_onClose)
        m_onClose(reason);
}

input_account::connection *input_account::newestLarge() const
{
    const auto found = std::find_if(m_connections.rbegin(), m_connections.rend(),
                                    [](const auto &entry) { return entry.second->isLarge(); });
    return found == m_connections.rend() ? nullptr : found->second;
}

input_account::connection::connection(std::shared_ptr<input_account> account, std::uint64_t serial,
                                      std::function<void()> close, instant now)
    : m_account(std::move(account)), m_serial(serial), m_close(std::move(close)), m_start(now)
{
}

input_account::connection::~connection()
{
    m_account->m_held -= m_held;
    m_account->m_connections.erase(m_serial);
}

bool input_account::connection::receive(std::string_view bytes, instant now)
{
    if (m_closed)
        return false;
    if (m_phase == phase::Idle) {
        m_phase = phase::Head;
        m_start = now;
        m_newlines = 0;
    }
    if (m_phase == phase::Head)
        scanHead(bytes);
    const auto more = copiesOfRequest * bytes.size();
    m_held += more;
    m_account->m_held += more;
    const bool fits = m_account->makeRoom(0, !isLarge());
    if (m_closed)
        return false;
    if (fits)
        return true;
    m_account->closeConnection(*this, closing_reason::Memory);
    return false;
}

input_account::charge input_account::connection::completeRequest()
{
    charge request(*m_account, m_held);
    m_account->m_held -= std::exchange(m_held, 0);
    m_phase = phase::Idle;
    return request;
}

void input_account::connection::close()
{
    if (std::exchange(m_closed, true))
        return;
    m_account->m_held -= std::exchange(m_held, 0);
    if (m_close)
        m_close();
}

bool input_account::connection::isLarge() const
{
    return !m_closed && m_phase != phase::Idle && m_held > smallRequestBytes;
}

bool input_account::connection::isSlow(instant now) const
{
    if (m_closed || m_phase == phase::Idle)
        return false;
    const auto elapsed = now - m_start - m_account->m_limits.headTime;
    if (elapsed <= instant::duration::zero())
        return false;
    if (m_phase == phase::Head)
        return true;
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    const auto least = copiesOfRequest * m_account->m_limits.bodyBytesPerSecond;
    return static_cast<double>(m_held) < seconds * static_cast<double>(least);
}

void input_account::connection::scanHead(std::string_view bytes)
{
    constexpr unsigned newlinesAtEnd = 2;
    for (const char character : bytes) {
        if (character == '\n')
            ++m_newlines;
        else if (character != '\r')
            m_newlines = 0;
        if (m_newlines == newlinesAtEnd) {
            m_phase = phase::Body;
            return;
        }
    }
}

} // namespace quetzalcleat::http
