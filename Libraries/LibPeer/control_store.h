#pragma once

#include "LibConsensus/log_store.h"
#include "LibCore/result.h"
#include "LibPeer/control_service.h"
#include "LibPeer/peer_network.h"

namespace quetzalcleat::peer {

/// Opens the log of a control host, and creates it in an empty folder: as that of an initial voter
/// of a new cluster if the options say so, otherwise as that of a host that asks to join.
core::result<consensus::log_store> openControlStore(const peer_network &network,
                                                    const control_service_options &options);

} // namespace quetzalcleat::peer
