#include "scripted_socket.h"

#include <algorithm>
#include <array>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzalcleat::forward::test {

namespace {

constexpr std::chrono::seconds readTimeout{20};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool waitReadable(int descriptor, std::chrono::milliseconds time)
{
    pollfd entry{descriptor, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(time.count())) > 0;
}

} // namespace

scripted_socket::scripted_socket(int descriptor) : m_descriptor(descriptor) { }

scripted_socket::~scripted_socket()
{
    close();
}

scripted_socket::scripted_socket(scripted_socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)), m_input(std::move(other.m_input))
{
}

scripted_socket &scripted_socket::operator=(scripted_socket &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_input, other.m_input);
    return *this;
}

scripted_socket scripted_socket::connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return {};
    }
    return scripted_socket(descriptor);
}

bool scripted_socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count
            = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::size_t scripted_socket::sendUntilClosed(const std::string &first, const std::string &next,
                                             std::size_t limit) const
{
    std::size_t sent = 0;
    for (const std::string *bytes = &first; sent < limit && send(*bytes); bytes = &next)
        sent += bytes->size();
    return std::min(sent, limit);
}

bool scripted_socket::readMore()
{
    std::array<char, 4096> buffer{};
    if (m_descriptor < 0 || !waitReadable(m_descriptor, readTimeout))
        return false;
    const auto count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::string scripted_socket::readUntil(const std::string &end)
{
    auto position = m_input.find(end);
    while (position == std::string::npos && readMore())
        position = m_input.find(end);
    const auto size = position == std::string::npos ? m_input.size() : position + end.size();
    auto text = m_input.substr(0, size);
    m_input.erase(0, size);
    return text;
}

std::string scripted_socket::readMessage()
{
    auto text = readUntil("\r\n\r\n");
    const std::string length = "Content-Length: ";
    const auto position = text.find(length);
    if (text.find("Transfer-Encoding: chunked") != std::string::npos)
        return text + readUntil("0\r\n\r\n");
    if (position == std::string::npos)
        return text;
    const auto bytes = std::stoul(text.substr(position + length.size()));
    while (m_input.size() < bytes && readMore()) { }
    text += m_input.substr(0, bytes);
    m_input.erase(0, bytes);
    return text;
}

std::string scripted_socket::readAll()
{
    while (readMore()) { }
    return std::exchange(m_input, {});
}

bool scripted_socket::hasBytes(std::chrono::milliseconds time) const
{
    return !m_input.empty() || waitReadable(m_descriptor, time);
}

bool scripted_socket::waitForClose()
{
    std::array<char, 1> byte{};
    if (!m_input.empty() || !waitReadable(m_descriptor, readTimeout))
        return false;
    return ::recv(m_descriptor, byte.data(), byte.size(), 0) <= 0;
}

void scripted_socket::finishSending() const
{
    ::shutdown(m_descriptor, SHUT_WR);
}

void scripted_socket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void scripted_socket::reset()
{
    const linger immediately{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    close();
}

scripted_listener::scripted_listener()
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    (void)::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), size);
    ::listen(m_descriptor, 16);
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
}

scripted_listener::~scripted_listener()
{
    close();
}

void scripted_listener::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

bool scripted_listener::hasConnection(std::chrono::milliseconds time) const
{
    return waitReadable(m_descriptor, time);
}

scripted_socket scripted_listener::accept() const
{
    if (!waitReadable(m_descriptor, readTimeout))
        return {};
    return scripted_socket(::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC));
}

} // namespace quetzalcleat::forward::test
