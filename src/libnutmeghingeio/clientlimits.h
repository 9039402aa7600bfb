#pragma once

namespace nutmeghinge {

class MemoryBudget;

/** Limits of what all clients of a process may use together. Null stands for no limit. Must outlive the listeners. */
struct ClientLimits {
    MemoryBudget *memory = nullptr;
};

} // namespace nutmeghinge
