#pragma once

namespace quetzalcleat::daemon {

// Exit codes of the daemon.
constexpr int exitDone = 0;
constexpr int exitFailed
    = 1; ///< An address or a folder could not be used, or requests were aborted.
constexpr int exitBadInput = 2; ///< Invalid arguments, settings or seed inventory.

} // namespace quetzalcleat::daemon
