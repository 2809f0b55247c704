#include "quetzalcleatd/entry_options.h"

#include "LibCore/hash.h"

#include <algorithm>

namespace quetzalcleat::daemon {

namespace {

/// Half of the memory, less room for a parsed document. The smallest result still has room for
/// requests of the largest size.
std::size_t inputBytesFor(std::uint64_t memoryMebibytes)
{
    constexpr std::uint64_t parsedDocument = 16;
    constexpr std::uint64_t smallest = 16;
    constexpr unsigned mebibyteShift = 20;
    const auto half = memoryMebibytes / 2;
    const auto share = half > parsedDocument ? half - parsedDocument : 0;
    return static_cast<std::size_t>(std::max(share, smallest)) << mebibyteShift;
}

} // namespace

entry_options entryOptionsFrom(const core::settings &settings, std::uint64_t hostIncarnation)
{
    entry_options options;
    options.hostName = settings.hostName;
    options.dataCentre = settings.dataCentre;
    options.servesCallers = settings.entry;
    options.callerAddress = settings.callerAddress;
    options.operatorAddress = settings.operatorAddress;
    options.operatorKey = settings.operatorKey;
    options.hostIncarnation = hostIncarnation;
    options.seed = core::hash64(settings.hostName, hostIncarnation);
    options.balancerNoticeTime = settings.balancerNoticeTime;
    options.stopGraceTime = settings.stopGraceTime;
    options.observer.platformAddress = settings.platformHostListAddress;
    const auto &limits = settings.callerLimits;
    options.inputs = {inputBytesFor(limits.memoryMebibytes), limits.headTime,
                      static_cast<std::size_t>(limits.bodyBytesPerSecond)};
    options.sessions.documentValues = static_cast<std::size_t>(limits.documentValues);
    return options;
}

} // namespace quetzalcleat::daemon
