#pragma once

#include "units.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace nutmeghinge {

/**
 * Limits the connections that clients open to a process, all listeners together, so
 * that descriptors remain for the connections that the process needs itself. If there
 * is no room for a new one, the connection that has been idle, or has had an
 * unfinished request, for longest is closed; those that never served a request go first.
 */
class ConnectionBudget
{
public:
    /** A connection of a client. Registered from add() to remove(). */
    class Holder
    {
    public:
        virtual ~Holder() = default;
        /** Returns whether closing the connection now loses no request that was accepted from it. */
        virtual bool isClosable() const = 0;
        virtual bool hasServed() const = 0;
        /** Returns the time since which the connection has not served a request. */
        virtual MonotonicTime idleSince() const = 0;
        /** Closes the connection, which is removed at once or soon. */
        virtual void closeForRoom() = 0;
    };

    /** descriptors: limit of the process. */
    explicit ConnectionBudget(std::uint64_t descriptors);
    ConnectionBudget(const ConnectionBudget &) = delete;
    ConnectionBudget &operator=(const ConnectionBudget &) = delete;

    /** Makes room for a new connection of a client. Returns false if there is none; the connection must then be closed. */
    bool makeRoom(std::size_t descriptors = 1);
    void add(Holder &holder, std::size_t descriptors = 1);
    /** Does nothing if the holder was not added. */
    void remove(Holder &holder);

    // Connections that the process opens itself are counted, and never limited.
    void addOwn() { ++m_own; }
    void removeOwn() { --m_own; }

    /** Returns the descriptors of all connections that are counted. */
    std::uint64_t used() const { return m_usedByClients + m_own; }
    std::uint64_t limit() const { return m_limit; }
    /** Returns the number of connections that were closed, or not accepted, for want of descriptors. */
    std::uint64_t closed() const { return m_closed; }

private:
    Holder *chooseVictim() const;

    std::uint64_t m_limit;
    std::uint64_t m_usedByClients = 0;
    std::uint64_t m_own = 0;
    std::uint64_t m_closed = 0;
    /** Descriptors of each connection. */
    std::unordered_map<Holder *, std::size_t> m_holders;
};

} // namespace nutmeghinge
