#include <cstdint>
#include <cstdlib>
#include <ctime>

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

// Loaded into a process of the fault soak. Shifts its time of day by the milliseconds that the
// mapped file holds; steady clocks are left alone. The soak changes the file while the process
// runs.

namespace {

using clock_function = int (*)(clockid_t, timespec *);

constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;

const volatile std::int64_t *mapShift()
{
    const char *path = std::getenv("QUETZALCLEAT_SOAK_CLOCK_SHIFT");
    if (path == nullptr)
        return nullptr;
    const int descriptor = ::open(path, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return nullptr;
    void *mapped = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return mapped == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t *>(mapped);
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time)
{
    static const auto original
        = reinterpret_cast<clock_function>(::dlsym(RTLD_NEXT, "clock_gettime"));
    static const auto *shift = mapShift();
    const int result = original(clock, time);
    if (result != 0 || clock != CLOCK_REALTIME || shift == nullptr)
        return result;
    const auto shifted = static_cast<std::int64_t>(time->tv_sec) * nanosecondsPerSecond
        + time->tv_nsec + *shift * nanosecondsPerMillisecond;
    time->tv_sec = shifted / nanosecondsPerSecond;
    time->tv_nsec = shifted % nanosecondsPerSecond;
    return result;
}
