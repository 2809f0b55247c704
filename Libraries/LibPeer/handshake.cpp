#include "LibPeer/handshake.h"

#include "LibCore/hash.h"
#include "LibPeer/peer_error.h"

#include <string_view>
#include <utility>

namespace quetzalcleat::peer {

namespace {

constexpr std::size_t nonceBytes = 32;
constexpr std::size_t maximumNameBytes = 255;

/// Appends a field with its length, so that no two lists of fields give the same text.
void appendField(std::string &text, std::string_view field)
{
    text.append(std::to_string(field.size())).append(":").append(field);
}

/// Everything that both proofs cover.
std::string transcript(const hello &client, const challenge &server)
{
    std::string text;
    appendField(text, "quetzalcleat peer 1");
    appendField(text, client.cluster);
    appendField(text, client.host);
    appendField(text, client.expectedHost);
    appendField(text, std::to_string(client.incarnation));
    appendField(text, client.nonce);
    appendField(text, server.cluster);
    appendField(text, server.host);
    appendField(text, std::to_string(server.incarnation));
    appendField(text, server.nonce);
    return text;
}

std::string proofUnder(const std::string &key, std::string_view role, const std::string &transcript)
{
    std::string input;
    appendField(input, role);
    return core::hmacSha256(key, input + transcript);
}

/// The key under which a proof was made, or an empty string.
std::string verifyingKey(const std::vector<std::string> &keys, std::string_view role,
                         const std::string &transcript, const std::string &proof)
{
    std::string found;
    for (const auto &key : keys) {
        if (core::equalInConstantTime(proofUnder(key, role, transcript), proof))
            found = key;
    }
    return found;
}

/// During a rotation the two sides may sign with different keys. The session keys depend on both.
session_keys deriveKeys(const std::string &clientKey, const std::string &serverKey,
                        const std::string &transcript)
{
    const auto master = proofUnder(clientKey, "client session", transcript)
        + proofUnder(serverKey, "server session", transcript);
    return {proofUnder(master, "frames from client", transcript),
            proofUnder(master, "frames from server", transcript)};
}

} // namespace

client_handshake::client_handshake(handshake_identity identity, std::string expectedHost)
    : m_identity(std::move(identity))
{
    m_hello = {m_identity.cluster, m_identity.host, std::move(expectedHost), m_identity.incarnation,
               core::secureRandomBytes(nonceBytes)};
}

core::result<challenge_response> client_handshake::receive(const challenge &server)
{
    if (server.cluster != m_identity.cluster)
        return peer_error::WrongCluster;
    if (server.host != m_hello.expectedHost)
        return peer_error::WrongHost;
    const auto text = transcript(m_hello, server);
    const auto serverKey = verifyingKey(m_identity.keys, "server", text, server.proof);
    if (serverKey.empty() || m_identity.keys.empty())
        return peer_error::AuthenticationFailed;
    const auto &ownKey = m_identity.keys.front();
    m_keys = deriveKeys(ownKey, serverKey, text);
    return challenge_response{proofUnder(ownKey, "client", text)};
}

core::result<challenge> server_handshake::receive(const hello &client)
{
    if (client.cluster != m_identity.cluster)
        return peer_error::WrongCluster;
    if (client.expectedHost != m_identity.host)
        return peer_error::WrongHost;
    if (client.nonce.size() != nonceBytes || client.host.empty()
        || client.host.size() > maximumNameBytes)
        return peer_error::MalformedBody;
    if (m_identity.keys.empty())
        return peer_error::AuthenticationFailed;
    m_hello = client;
    m_challenge = {m_identity.cluster,
                   m_identity.host,
                   m_identity.incarnation,
                   core::secureRandomBytes(nonceBytes),
                   {}};
    m_challenge.proof
        = proofUnder(m_identity.keys.front(), "server", transcript(m_hello, m_challenge));
    return m_challenge;
}

core::result<void> server_handshake::receive(const challenge_response &response)
{
    const auto text = transcript(m_hello, m_challenge);
    const auto clientKey = verifyingKey(m_identity.keys, "client", text, response.proof);
    if (clientKey.empty())
        return peer_error::AuthenticationFailed;
    m_keys = deriveKeys(clientKey, m_identity.keys.front(), text);
    return {};
}

} // namespace quetzalcleat::peer
