#pragma once

#include "units.h"

#include <cstdint>
#include <map>

namespace nutmeghinge {

struct Request;

/**
 * What the VM's network link still has to send to other nodes: answers that wait
 * for their turn, and those expected from the requests that the target runs or
 * that wait for it. A link is a capacity like the target's slots: a request whose
 * answer it cannot carry in time is refused at once, as another replica's link may
 * have room. Answers the load of large answers on VMs whose target is faster than
 * their link. Without a known bandwidth it decides nothing.
 */
class LinkLoad
{
public:
    /** bytesPerSecond: bandwidth of the link; 0: unknown. */
    void setBandwidth(double bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    /** Sets the bytes of answers that wait for their turn on the link. */
    void measured(std::uint64_t waitingBytes) { m_waitingBytes = waitingBytes; }
    /** Updates the average size of answers to requests of the work class. */
    void answered(std::uint32_t workClass, std::uint64_t bytes);

    /** Adds the expected answer to a request of another node that this node admits. May be called again for the same request. */
    void admitted(Request &request);
    /** Removes the expected answer to a request that has ended. */
    void ended(Request &request);

    /** Returns the time that the link takes for all that it has to send. */
    Duration wait() const;
    /**
     * Returns whether the answer to a request of another node is expected within its objective, if the target answers after the given
     * time. A request that cannot meet its objective even on an idle link is admitted if its answer is not expected to wait, so that it
     * takes no room from others. Always true for small answers, which do not wait behind large ones.
     */
    bool admits(const Request &request, Duration serviceTime, MonotonicTime now) const;

private:
    double expectedBytes(std::uint32_t workClass) const;
    Duration timeFor(double bytes) const;

    double m_bytesPerSecond = 0;
    std::uint64_t m_waitingBytes = 0;
    /** Expected bytes of the answers to all admitted requests. */
    std::uint64_t m_expectedBytes = 0;
    /** Average bytes of an answer, by work class. */
    std::map<std::uint32_t, double> m_answerBytes;
};

} // namespace nutmeghinge
