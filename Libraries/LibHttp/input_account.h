#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace quetzalcleat::http {

/// Why a server closes a connection on its own.
enum class closing_reason {
    Memory, ///< The account is full.
    HeadTime, ///< The head of a request was not complete in time.
    Connections, ///< As HeadTime, with a shorter time because there were too many connections.
    BodyRate, ///< The body of a request arrived too slowly.
};

/// Name of the reason in metrics and log lines.
std::string_view nameOf(closing_reason reason);

struct input_limits
{
    /// Bytes held for callers. The part above four fifths is reserved for small requests.
    std::size_t bytes = std::size_t{256} * 1024 * 1024;
    std::chrono::milliseconds headTime{10'000}; ///< From the first byte of a head to its end.
    /// Of a body, averaged from the time when headTime has passed.
    std::size_t bodyBytesPerSecond = 1024;
};

/// The memory that the servers of one process hold for callers: requests that are being read,
/// requests in flight and answers that callers have not taken. When it is full, unfinished requests
/// are closed, the newest first.
///
/// Time is a parameter. Not thread-safe. Held by a shared pointer; charges must not outlive it.
class input_account : public std::enable_shared_from_this<input_account>
{
public:
    using instant = std::chrono::steady_clock::time_point;
    using reason_handler = std::function<void(closing_reason)>;

    class connection;

    /// Memory of a complete request or of an answer; freed with the object.
    class charge
    {
    public:
        charge() = default;
        charge(input_account &account, std::size_t bytes);
        ~charge() { resize(0); }

        charge(charge &&other) noexcept;
        charge &operator=(charge &&other) noexcept;
        charge(const charge &) = delete;
        charge &operator=(const charge &) = delete;

        void resize(std::size_t bytes);

    private:
        input_account *m_account = nullptr;
        std::size_t m_bytes = 0;
    };

    explicit input_account(input_limits limits, reason_handler onClose = {});

    input_account(const input_account &) = delete;
    input_account &operator=(const input_account &) = delete;

    /// Adds a connection, which counts as one in the head of its first request. The callback closes
    /// it and must not call the account.
    std::shared_ptr<connection> open(std::function<void()> close, instant now);

    /// Closes the connections whose head or body arrives too slowly.
    void closeSlow(instant now);

    /// Closes the connections that have been in a head for a tenth of the permitted time. For when
    /// no more connections are accepted.
    void closeUnfinishedHeads(instant now);

    /// Makes room by closing unfinished requests. Returns whether an answer of this size fits.
    bool makeRoom(std::size_t bytes);

    std::size_t heldBytes() const { return m_held; }

private:
    bool makeRoom(std::size_t bytes, bool small);
    bool isFull(std::size_t more, bool small) const;
    void closeConnection(connection &closed, closing_reason reason);
    connection *newestLarge() const;

    input_limits m_limits;
    reason_handler m_onClose;
    std::map<std::uint64_t, connection *> m_connections; ///< By order of opening.
    std::uint64_t m_nextSerial = 1;
    std::size_t m_held = 0;
};

/// What one connection has received of a request that is not complete.
class input_account::connection
{
public:
    connection(std::shared_ptr<input_account> account, std::uint64_t serial,
               std::function<void()> close, instant now);
    ~connection();

    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Notes received bytes. Returns false if the connection has to be closed.
    bool receive(std::string_view bytes, instant now);

    /// The request is complete; its memory passes to the charge.
    charge completeRequest();

    void close();

private:
    friend class input_account;

    enum class phase { Idle, Head, Body };

    bool isLarge() const;
    bool isSlow(instant now) const;
    void scanHead(std::string_view bytes);

    std::shared_ptr<input_account> m_account;
    std::uint64_t m_serial;
    std::function<void()> m_close;
    instant m_start; ///< Of the request.
    phase m_phase = phase::Head;
    std::size_t m_held = 0;
    unsigned m_newlines = 0; ///< Consecutive ones at the end of the head so far.
    bool m_closed = false;
};

} // namespace quetzalcleat::http
