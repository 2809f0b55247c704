#pragma once

#include <system_error>

namespace quetzalcleat::peer {

/// Errors of the transport between the router's own processes and of the control runtime.
enum class peer_error {
    /// The outcome is not known: repeat with the same attempt id or edit id.
    Undecided = 1,
    FrameTooLarge,
    FrameTooShort,
    UnknownVersion,
    MalformedBody,
    UnknownMessage,
    UnexpectedMessage,
    MessageTooLarge,
    ListTooLong,
    AuthenticationFailed,
    FrameNotAuthentic, ///< Altered, replayed, or out of order.
    WrongCluster,
    WrongHost,
    HandshakeTimeout,
    HeartbeatTimeout,
    SendQueueFull,
    NotConnected,
    ConnectionClosed,
    InvalidAddress,
    ListenFailed,
    TooManyPending,
    Stopped,
};

const std::error_category &peerCategory();
std::error_code make_error_code(peer_error error);

} // namespace quetzalcleat::peer

template <>
struct std::is_error_code_enum<quetzalcleat::peer::peer_error> : std::true_type
{
};
