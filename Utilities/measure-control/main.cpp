#include "measurements.h"

#include <malloc.h>

namespace quetzalcleat::measurement {

std::size_t allocatedBytes()
{
    const auto usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

} // namespace quetzalcleat::measurement

int main()
{
    quetzalcleat::measurement::measureGossip();
    quetzalcleat::measurement::measureState();
    quetzalcleat::measurement::measureDocuments();
    return 0;
}
