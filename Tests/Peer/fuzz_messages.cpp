// Entry point for libFuzzer: bytes from a peer must decode to a message or a peer_error, and a
// message must survive encoding. Built if the compiler is Clang; run as
// fuzz_peer_messages -max_total_time=60 -max_len=4096

#include "LibPeer/frame.h"
#include "LibPeer/message_codec.h"
#include "LibPeer/peer_error.h"

#include <cstdlib>
#include <string_view>

namespace peer = quetzalcleat::peer;

// The name is required by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    peer::frame_authenticator handshake, session("key");
    (void)handshake.open(bytes);
    if (session.open(bytes))
        std::abort();
    const auto decoded = peer::decodeMessage(bytes);
    if (!decoded) {
        if (decoded.error().category() != peer::peerCategory())
            std::abort();
        return 0;
    }
    const auto again = peer::decodeMessage(peer::encodeMessage(decoded.value()));
    if (!again || again.value() != decoded.value())
        std::abort();
    return 0;
}
