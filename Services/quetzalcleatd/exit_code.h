#pragma once

namespace quetzalcleat::daemon {

// Exit codes of the daemon.
constexpr int exitDone = 0;
constexpr int exitFailed = 1; ///< An address or a folder could not be used, or work was cut.
constexpr int exitBadInput = 2; ///< Wrong usage, settings or seed inventory.

} // namespace quetzalcleat::daemon
