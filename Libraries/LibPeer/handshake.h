#pragma once

#include "LibCore/result.h"
#include "LibPeer/messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// The identity that a process proves in a handshake.
struct handshake_identity
{
    std::string cluster;
    std::string host;
    std::uint64_t incarnation = 0;
    std::vector<std::string> keys; ///< The first one signs; all of them verify.
};

/// Keys of the frames of one connection. They differ for each connection and direction.
struct session_keys
{
    std::string fromClient;
    std::string fromServer;
};

/// Mutual challenge and response with HMAC-SHA-256 under a shared key. Each side proves over both
/// nonces, host names, incarnations and the cluster name, so that a proof is of no use in another
/// connection, direction or cluster.
///
/// Keys are rotated in three steps, each done on all hosts before the next one: add the new key as
/// the second one, swap the two, remove the old one.
///
/// Limits of the protection: frames are not encrypted, so a listener on the network can read
/// them. Every host holds the same key, so a host that was broken into can claim to be any other.
/// A recorded connection can be read, and its session keys derived, by whoever gets the key later.
class client_handshake
{
public:
    client_handshake(handshake_identity identity, std::string expectedHost);

    const hello &start() const { return m_hello; }

    /// Errors: WrongCluster, WrongHost, AuthenticationFailed.
    core::result<challenge_response> receive(const challenge &);

    const session_keys &keys() const { return m_keys; } ///< After receive() succeeded.

private:
    handshake_identity m_identity;
    hello m_hello;
    session_keys m_keys;
};

/// The other side of client_handshake.
class server_handshake
{
public:
    explicit server_handshake(handshake_identity identity) : m_identity(std::move(identity)) { }

    /// Errors: WrongCluster, WrongHost, MalformedBody.
    core::result<challenge> receive(const hello &);

    /// Errors: AuthenticationFailed.
    core::result<void> receive(const challenge_response &);

    const hello &client() const { return m_hello; }
    const session_keys &keys() const { return m_keys; } ///< After the response was accepted.

private:
    handshake_identity m_identity;
    hello m_hello;
    challenge m_challenge;
    session_keys m_keys;
};

} // namespace quetzalcleat::peer
