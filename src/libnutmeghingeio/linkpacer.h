#pragma once

#include "linkcapacity.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <uv.h>

namespace nutmeghinge {

class EventLoop;

/**
 * Shares the VM's network link among connections that have large answers to send:
 * lets them write in chunks, in the order of LinkCapacity::dueAt(), no faster than the
 * link carries. Owned by the node; outlives the connections. Borrows the loop.
 */
class LinkPacer
{
public:
    /** A connection with bytes to send. */
    class Writer
    {
    public:
        virtual ~Writer() = default;
        /** Returns the number of bytes that the writer has left to send. */
        virtual std::uint64_t bytesLeft() const = 0;
        /** Writes one chunk. Returns whether the writer has more that the socket would take at once. */
        virtual bool writeChunk(std::uint64_t bytes) = 0;
    };

    /** bytesPerSecond: bandwidth of the link; 0: unlimited. */
    LinkPacer(EventLoop &loop, double bytesPerSecond);
    ~LinkPacer();
    LinkPacer(const LinkPacer &) = delete;
    LinkPacer &operator=(const LinkPacer &) = delete;

    bool isUnlimited() const { return m_capacity.isUnlimited(); }
    /** Lets the writer write, now or when its turn has come. Does nothing for a writer that is waiting already. */
    void request(Writer &writer);
    /** Takes back the request of a writer. */
    void withdraw(Writer &writer);
    /** Counts bytes that were sent without a request. */
    void sent(std::uint64_t bytes);

private:
    bool isWaiting(const Writer &writer) const;
    void serve();
    void serveLater();

    EventLoop &m_loop;
    LinkCapacity m_capacity;
    /** By the times at which they are due. */
    std::multimap<MonotonicTime, Writer *> m_waiting;
    bool m_serving = false;
    /** On the heap, since uv finishes closing it after this object is destroyed. */
    uv_timer_t *m_timer;
};

} // namespace nutmeghinge
