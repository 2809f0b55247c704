#include "LibPeer/peer_error.h"

#include <string>

namespace quetzalcleat::peer {

namespace {

class peer_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "peer"; }

    std::string message(int value) const override
    {
        switch (static_cast<peer_error>(value)) {
        case peer_error::Undecided:
            return "outcome is not known; repeat with the same id";
        case peer_error::FrameTooLarge:
            return "frame is larger than allowed";
        case peer_error::FrameTooShort:
            return "frame is shorter than its fixed part";
        case peer_error::UnknownVersion:
            return "unknown frame version";
        case peer_error::MalformedBody:
            return "frame body cannot be decoded";
        case peer_error::UnknownMessage:
            return "unknown message type";
        case peer_error::UnexpectedMessage:
            return "message is not allowed in this state of the connection";
        case peer_error::MessageTooLarge:
            return "message is larger than allowed";
        case peer_error::ListTooLong:
            return "a list in the message is longer than allowed";
        case peer_error::AuthenticationFailed:
            return "peer does not know a valid key";
        case peer_error::FrameNotAuthentic:
            return "frame was altered, replayed or reordered";
        case peer_error::WrongCluster:
            return "peer belongs to another cluster";
        case peer_error::WrongHost:
            return "peer is not the expected host";
        case peer_error::HandshakeTimeout:
            return "handshake did not finish in time";
        case peer_error::HeartbeatTimeout:
            return "connection is silent in at least one direction";
        case peer_error::SendQueueFull:
            return "send queue is full";
        case peer_error::NotConnected:
            return "no connection to the peer";
        case peer_error::ConnectionClosed:
            return "connection was closed";
        case peer_error::InvalidAddress:
            return "address is not valid";
        case peer_error::ListenFailed:
            return "cannot listen on the peer address";
        case peer_error::TooManyPending:
            return "too many calls are waiting for a verdict";
        case peer_error::Stopped:
            return "the runtime has been stopped";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &peerCategory()
{
    static const peer_category category;
    return category;
}

std::error_code make_error_code(peer_error error)
{
    return {static_cast<int>(error), peerCategory()};
}

} // namespace quetzalcleat::peer
