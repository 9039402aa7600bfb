#include "processlimits.h"

#include "nodesettings.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <uv.h>

namespace nutmeghinge {

namespace {

constexpr int mappedBlockBytes = 131072;
constexpr int keptFreeBytes = 4194304;
/** Descriptors to assume if the system sets no limit. */
constexpr std::uint64_t unlimitedDescriptors = 1048576;

/** Returns the soft limit of the resource; the given value if there is none. */
std::uint64_t limitOf(__rlimit_resource resource, std::uint64_t unlimited)
{
    rlimit limit{};
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return unlimited;
    }
    return limit.rlim_cur;
}

std::uint64_t memoryOfSystem()
{
    std::uint64_t bytes = uv_get_total_memory();
    if (const std::uint64_t constrained = uv_get_constrained_memory(); constrained > 0) {
        bytes = std::min(bytes, constrained);
    }
    return std::min({bytes, limitOf(RLIMIT_DATA, bytes), limitOf(RLIMIT_AS, bytes)});
}

} // namespace

ProcessLimits readProcessLimits(const NodeSettings &settings)
{
    return {.memoryBytes = settings.memoryBytes > 0 ? settings.memoryBytes : memoryOfSystem(),
            .descriptors = settings.descriptors > 0 ? settings.descriptors : limitOf(RLIMIT_NOFILE, unlimitedDescriptors)};
}

void configureAllocator()
{
    // Explicit thresholds keep the allocator from raising them when a large block is freed.
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

void returnFreeMemory()
{
    malloc_trim(0);
}

} // namespace nutmeghinge
