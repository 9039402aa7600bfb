#pragma once

namespace nutmeghinge {

class ConnectionBudget;
class MemoryBudget;

/** Limits of what all clients of a process may use together. Null stands for no limit. Both must outlive the listeners. */
struct ClientLimits {
    MemoryBudget *memory = nullptr;
    ConnectionBudget *connections = nullptr;
};

} // namespace nutmeghinge
