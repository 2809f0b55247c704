#include "quetzalcleatd/entry_options.h"

#include "LibCore/hash.h"

namespace quetzalcleat::daemon {

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
    return options;
}

} // namespace quetzalcleat::daemon
