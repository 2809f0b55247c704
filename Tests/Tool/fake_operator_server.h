#pragma once

#include "LibCore/settings.h"
#include "LibHttp/caller_server.h"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

/// How the fake handles one incoming edit. Edits beyond the list of faults are answered.
enum class edit_fault {
    Answer,
    LoseRequest, ///< The edit is not processed and not answered.
    LoseAnswer, ///< The edit is processed and not answered.
    Undecided, ///< The edit is processed and answered with 503.
};

/// Fake of the operator API (section 2.2 of the design page), over HTTP on a loopback port.
class fake_operator_server
{
public:
    static constexpr const char *key = "operator-key-of-the-fake";

    explicit fake_operator_server(std::string document);
    ~fake_operator_server();

    fake_operator_server(const fake_operator_server &) = delete;
    fake_operator_server &operator=(const fake_operator_server &) = delete;

    quetzalcleat::core::socket_address address() const;

    void setFaults(std::vector<edit_fault> faults);
    void setInForceEverywhere(bool value);
    /// Changes the document and the revision, as an edit by another operator does.
    void applyConcurrentEdit(const std::string &document);
    /// Answers this path with the given status and body from now on.
    void setAnswer(const std::string &path, std::uint16_t status, std::string body);

    std::uint64_t revision() const;
    std::string document() const;
    /// Bodies of the received edits, in order.
    std::vector<nlohmann::json> edits() const;

private:
    using exchange_pointer = std::shared_ptr<quetzalcleat::http::caller_exchange>;

    struct verdict
    {
        std::uint16_t status = 0;
        nlohmann::json body;
    };

    void handle(const exchange_pointer &exchange);
    void handleEdit(const exchange_pointer &exchange);
    verdict process(const std::string &path, const nlohmann::json &edit);

    mutable std::mutex m_mutex;
    std::uint64_t m_revision = 1;
    std::string m_document;
    bool m_inForceEverywhere = true;
    std::vector<edit_fault> m_faults;
    std::vector<nlohmann::json> m_edits;
    std::map<std::string, verdict> m_verdicts;
    std::map<std::string, std::pair<std::uint16_t, std::string>> m_answers;
    std::vector<exchange_pointer> m_unanswered;
    asio::io_context m_context;
    quetzalcleat::http::caller_server m_server;
    std::thread m_thread;
};
