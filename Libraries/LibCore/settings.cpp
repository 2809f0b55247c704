#include "LibCore/settings.h"

#include "LibCore/core_error.h"
#include "LibCore/table_reader.h"

#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

#include <arpa/inet.h>

namespace quetzalcleat::core {

namespace {

constexpr std::size_t maximumFileBytes = 1024 * 1024;
constexpr std::size_t minimumKeyBytes = 16;
constexpr std::size_t maximumPeerKeys = 2;
constexpr std::size_t maximumControlHosts = 7;
constexpr std::int64_t maximumTimeMilliseconds = 24LL * 60 * 60 * 1000;

class settings_parser
{
public:
    settings_parser(const toml_table &root, error_list &errors) : m_root(root, 1, {}, errors) { }

    settings parse()
    {
        parseIdentity();
        parseRoles();
        parseAddresses();
        parseFiles();
        parseKeys();
        parseLogLevel();
        parseTimes();
        parseCallerLimits();
        parsePeers();
        m_root.reportUnknownKeys();
        return std::move(m_settings);
    }

private:
    std::string name(table_reader &reader, std::string_view key)
    {
        auto text = reader.requiredText(key);
        if (!text.empty() && !isValidName(text))
            reader.report(core_error::InvalidName, key, text);
        return text;
    }

    void parseIdentity()
    {
        m_settings.clusterName = name(m_root, "cluster_name");
        m_settings.hostName = name(m_root, "host_name");
        m_settings.dataCentre = name(m_root, "data_centre");
        m_settings.region = name(m_root, "region");
    }

    void parseRoles()
    {
        const auto roles = m_root.textList("roles");
        if (!m_root.has("roles"))
            m_root.report(core_error::MissingKey, "roles");
        else if (roles.empty())
            m_root.report(core_error::InvalidRole, "roles", "empty list");
        for (const auto &role : roles) {
            if (role == "entry")
                m_settings.entry = true;
            else if (role == "control")
                m_settings.control = true;
            else
                m_root.report(core_error::InvalidRole, "roles", role);
        }
    }

    void parseAddresses()
    {
        m_settings.callerAddress = m_settings.entry
            ? m_root.requiredAddress("caller_address")
            : m_root.address("caller_address").value_or(socket_address());
        m_settings.operatorAddress = m_root.requiredAddress("operator_address");
        m_settings.peerAddress = m_root.requiredAddress("peer_address");
        if (const auto address = m_root.address("platform_list_address"))
            m_settings.platformHostListAddress = address->text();
        const auto &own = m_settings;
        if (own.operatorAddress.port != 0
            && (own.operatorAddress == own.peerAddress || own.operatorAddress == own.callerAddress))
            m_root.report(core_error::DuplicateAddress, "operator_address");
        if (own.peerAddress.port != 0 && own.peerAddress == own.callerAddress)
            m_root.report(core_error::DuplicateAddress, "peer_address");
    }

    void parseFiles()
    {
        m_settings.dataFolder = m_settings.control ? m_root.requiredText("data_folder")
                                                   : m_root.text("data_folder").value_or("");
        m_settings.seedInventory = m_root.text("seed_inventory").value_or("");
    }

    void parseKeys()
    {
        m_settings.peerKeys = m_root.textList("peer_keys");
        if (!m_root.has("peer_keys"))
            m_root.report(core_error::MissingKey, "peer_keys");
        else if (m_settings.peerKeys.empty() || m_settings.peerKeys.size() > maximumPeerKeys)
            m_root.report(core_error::OutOfRange, "peer_keys", "one or two keys");
        // The detail names the setting only: a key must not reach a log file.
        for (const auto &key : m_settings.peerKeys) {
            if (key.size() < minimumKeyBytes)
                m_root.report(core_error::WeakKey, "peer_keys");
        }
        m_settings.operatorKey = m_root.requiredText("operator_key");
        if (!m_settings.operatorKey.empty() && m_settings.operatorKey.size() < minimumKeyBytes)
            m_root.report(core_error::WeakKey, "operator_key");
    }

    void parseLogLevel()
    {
        const auto level = m_root.text("log_level").value_or("information");
        if (level == "debug")
            m_settings.logLevel = log_level::Debug;
        else if (level == "information")
            m_settings.logLevel = log_level::Information;
        else if (level == "warning")
            m_settings.logLevel = log_level::Warning;
        else if (level == "error")
            m_settings.logLevel = log_level::Error;
        else
            m_root.report(core_error::OutOfRange, "log_level", level);
    }

    void parseTimes()
    {
        if (const auto time = m_root.integer("balancer_notice_ms", 0, maximumTimeMilliseconds))
            m_settings.balancerNoticeTime = std::chrono::milliseconds(*time);
        if (const auto time = m_root.integer("stop_grace_ms", 0, maximumTimeMilliseconds))
            m_settings.stopGraceTime = std::chrono::milliseconds(*time);
    }

    void parseCallerLimits()
    {
        constexpr std::int64_t smallestMemory = 64;
        constexpr std::int64_t largestMemory = 1024 * 1024;
        constexpr std::int64_t largestRate = 1024 * 1024;
        constexpr std::int64_t fewestValues = 1000;
        constexpr std::int64_t mostValues = 10'000'000;
        auto &limits = m_settings.callerLimits;
        if (const auto size = m_root.integer("memory_mb", smallestMemory, largestMemory))
            limits.memoryMebibytes = static_cast<std::uint64_t>(*size);
        if (const auto time = m_root.integer("head_timeout_ms", 1, maximumTimeMilliseconds))
            limits.headTime = std::chrono::milliseconds(*time);
        if (const auto rate = m_root.integer("body_bytes_per_second", 0, largestRate))
            limits.bodyBytesPerSecond = static_cast<std::uint64_t>(*rate);
        if (const auto count = m_root.integer("document_values", fewestValues, mostValues))
            limits.documentValues = static_cast<std::uint64_t>(*count);
    }

    void parsePeers()
    {
        std::set<std::string> names{m_settings.hostName};
        std::set<std::string> addresses{m_settings.peerAddress.text()};
        std::size_t controlHosts = m_settings.control ? 1 : 0;
        for (auto &reader : m_root.tables("peer")) {
            peer_settings peer;
            peer.name = name(reader, "name");
            peer.dataCentre = name(reader, "data_centre");
            peer.address = reader.requiredAddress("address");
            peer.control = reader.boolean("control").value_or(false);
            if (!peer.name.empty() && !names.insert(peer.name).second)
                reader.report(core_error::DuplicateName, "name", peer.name);
            if (peer.address.port != 0 && !addresses.insert(peer.address.text()).second)
                reader.report(core_error::DuplicateAddress, "address", peer.address.text());
            if (peer.control && ++controlHosts > maximumControlHosts)
                reader.report(core_error::OutOfRange, "control", "at most 7 control hosts");
            reader.reportUnknownKeys();
            m_settings.peers.push_back(std::move(peer));
        }
    }

    table_reader m_root;
    settings m_settings;
};

} // namespace

bool isValidName(std::string_view text)
{
    constexpr std::size_t maximumNameBytes = 64;
    constexpr std::string_view allowed
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= maximumNameBytes
        && text.find_first_not_of(allowed) == std::string_view::npos;
}

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto ip = text.substr(0, colon);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    socket_address address{std::string(ip), 0};
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    // inet_pton reads a C string and would ignore everything after an embedded zero byte.
    if (ip.find('\0') != std::string_view::npos
        || inet_pton(bracketed ? AF_INET6 : AF_INET, address.ip.c_str(), binary.data()) != 1)
        return std::nullopt;
    const auto port = text.substr(colon + 1);
    const auto *end = port.data() + port.size();
    const auto [rest, error] = std::from_chars(port.data(), end, address.port);
    if (error != std::errc() || rest != end || address.port == 0)
        return std::nullopt;
    return address;
}

std::variant<settings, std::vector<located_error>> parseSettings(std::string_view text,
                                                                 std::string_view fileName)
{
    const auto root = parseToml(text, fileName, maximumFileBytes);
    if (const auto *error = std::get_if<located_error>(&root))
        return std::vector<located_error>{*error};
    error_list errors(fileName);
    auto parsed = settings_parser(std::get<toml_table>(root), errors).parse();
    if (!errors.empty())
        return errors.takeSorted();
    return parsed;
}

std::variant<settings, std::vector<located_error>> loadSettings(const std::filesystem::path &path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    if (error)
        return std::vector<located_error>{
            {make_error_code(core_error::FileUnreadable), path.string(), 0, error.message()}};
    if (size > maximumFileBytes)
        return std::vector<located_error>{
            {make_error_code(core_error::FileTooLarge), path.string(), 0, {}}};
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream)
        return std::vector<located_error>{
            {make_error_code(core_error::FileUnreadable), path.string(), 0, {}}};
    return parseSettings(content.str(), path.string());
}

} // namespace quetzalcleat::core
