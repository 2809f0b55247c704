#pragma once

#include "LibCore/result.h"
#include "LibPeer/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzalcleat::peer {

/// Largest encoded message. Messages above the size of a frame travel in fragments.
constexpr std::size_t maximumMessageBytes = 16 * 1024 * 1024;

/// Largest number of elements of a list in a message. The decoder allocates a list before it has
/// seen the elements, so this bounds the memory that a hostile message can use; a list also has no
/// more elements than its message has bytes.
constexpr std::size_t maximumListLength = 65'536;

/// The msgpack form of a message: an array of the type number and the fields.
std::string encodeMessage(const message &content);

/// Like encodeMessage(), for messages that grow with the fleet or with a document.
/// Errors: MessageTooLarge, ListTooLong: decodeMessage() would refuse the message.
core::result<std::string> encodeForPeer(const message &content);

/// Errors: MessageTooLarge, MalformedBody, UnknownMessage.
core::result<message> decodeMessage(std::string_view bytes);

} // namespace quetzalcleat::peer
