#pragma once

#include <cstdint>

namespace nutmeghinge {

struct NodeSettings;

/** What the process may use of its machine. */
struct ProcessLimits {
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;
};

/** Returns the limits that the settings state. Where they state none, returns what the system allows the process. */
ProcessLimits readProcessLimits(const NodeSettings &settings);

/** Makes the allocator return large freed blocks to the system at once, also after larger ones were freed. */
void configureAllocator();
/** Returns freed memory that the allocator has kept to the system. */
void returnFreeMemory();

} // namespace nutmeghinge
