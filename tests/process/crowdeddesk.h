#pragma once

#include "clientcrowd.h"
#include "deskcluster.h"

#include <cstdint>
#include <string>
#include <vector>

/** A listener of a node. */
enum class Door : std::uint8_t {
    /** For callers, with pipelining. */
    Callers,
    /** For callers, without pipelining. */
    PlainCallers,
    Peers,
    Target,
    Control,
    Operations,
};

/** How a node learns of its memory. */
enum class MemoryLimit : std::uint8_t {
    /** The system limits the data of the process. */
    OfProcess,
    /** The settings state it, and the system gives as much as the process asks for. */
    OfSettings,
};

/** Clients that connect to one listener at the same time, and what they send. */
struct CrowdPlan {
    Door door = Door::Callers;
    std::size_t clients = 0;
    ClientStream stream{};
    ClientCrowd::Reading reading = ClientCrowd::Reading::Yes;
    /** Time that the target works at a request, in milliseconds. */
    std::uint64_t serviceTimeMs = 1;
    MemoryLimit limit = MemoryLimit::OfProcess;
};

/** Memory of the machine in these tests, in bytes, and descriptors of its node. */
constexpr std::uint64_t crowdedMemoryBytes = std::uint64_t(96) << 20U;
constexpr std::uint64_t crowdedDescriptors = 256;
/** Descriptors that the node keeps free for its own connections. */
constexpr std::uint64_t keptDescriptors = 16;
/** Memory that a node may hold after the clients have left, beyond what it held before they came, in bytes. */
constexpr std::uint64_t keptMemoryBytes = std::uint64_t(24) << 20U;

/** A desk whose nodes have little memory and few descriptors. */
class CrowdedDesk
{
public:
    explicit CrowdedDesk(Door door, std::size_t vmCount = 1, std::uint64_t memoryBytes = crowdedMemoryBytes, MemoryLimit limit = MemoryLimit::OfProcess);

    DeskCluster &desk() { return m_desk; }
    VmProcesses &vm(std::size_t index = 0) { return m_desk.cluster().vm(index); }
    std::string endpoint(Door door, std::size_t index = 0);

    /** Resident memory of the node in bytes: now, and the highest so far; 0 if the process has ended. */
    std::uint64_t memory(std::size_t index = 0);
    std::uint64_t peakMemory(std::size_t index = 0);
    std::size_t descriptors(std::size_t index = 0);

    /** Returns the status of one ordinary request; repeats it while the node refuses it as not run, for a minute at most. */
    int ordinaryRequest(std::size_t index = 0);

private:
    DeskCluster m_desk;
};

/** Plays the crowd against one node and checks that it lives, stays within its memory and descriptors, and answers an ordinary request. */
void checkCrowd(const CrowdPlan &plan);

/** Returns the head of a request with a body. framing: header lines that state its length. */
std::string bodyHead(const std::string &framing, const std::string &path = "/advice");
