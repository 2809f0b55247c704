#include "LibConsensus/log_store.h"

#include "LibConsensus/log_store_implementation.h"
#include "LibCore/hash.h"

#include <cstring>

namespace quetzalcleat::consensus {

template class basic_log_store<posix_files>;

member_id newMemberId()
{
    member_id id = 0;
    while (id == 0) {
        const auto bytes = core::secureRandomBytes(sizeof(id));
        std::memcpy(&id, bytes.data(), sizeof(id));
    }
    return id;
}

} // namespace quetzalcleat::consensus
