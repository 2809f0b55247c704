#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzalcleat::forward::test {

/// A blocking TCP connection on the loopback address for tests. Reads time out, so that a test
/// fails instead of hanging.
class scripted_socket
{
public:
    scripted_socket() = default;
    explicit scripted_socket(int descriptor);
    ~scripted_socket();
    scripted_socket(scripted_socket &&other) noexcept;
    scripted_socket &operator=(scripted_socket &&other) noexcept;

    static scripted_socket connectTo(std::uint16_t port);

    bool isOpen() const { return m_descriptor >= 0; }
    /// Returns whether all bytes were sent.
    bool send(const std::string &bytes) const;
    /// Sends `first` and then `next` again and again. Returns the number of bytes that were sent
    /// before the peer closed, or `limit` if it did not close before.
    std::size_t sendUntilClosed(const std::string &first, const std::string &next,
                                std::size_t limit) const;

    /// Reads up to and including `end`, or until the peer closes. Returns what was read.
    std::string readUntil(const std::string &end);
    /// Reads one message: its head, and its body if it has a length or is chunked.
    std::string readMessage();
    /// Reads all bytes until the peer closes.
    std::string readAll();
    /// Whether bytes, or the end of the connection, arrive within the time.
    bool hasBytes(std::chrono::milliseconds time) const;
    /// Whether the peer closes without sending anything.
    bool waitForClose();

    /// Ends the sending direction in order; what the peer sends is still accepted.
    void finishSending() const;
    void close();
    void reset(); ///< Closes so that the peer sees a reset.

private:
    bool readMore();

    int m_descriptor = -1;
    std::string m_input;
};

/// A listening socket on the loopback address.
class scripted_listener
{
public:
    scripted_listener();
    ~scripted_listener();
    scripted_listener(const scripted_listener &) = delete;
    scripted_listener &operator=(const scripted_listener &) = delete;

    std::uint16_t port() const { return m_port; }
    scripted_socket accept() const;
    /// Whether a connection arrives within the time.
    bool hasConnection(std::chrono::milliseconds time) const;
    /// From now on, connections are refused.
    void close();

private:
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
};

} // namespace quetzalcleat::forward::test
