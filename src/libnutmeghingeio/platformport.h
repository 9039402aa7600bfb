#pragma once

#include "effects.h"
#include "events.h"

#include <cstddef>
#include <functional>

namespace nutmeghinge {

/** Runs the effects on the platform's table service and object store. Each effect results in one event. */
class PlatformPort
{
public:
    using EventFunction = std::function<void(EventBody)>;

    virtual ~PlatformPort() = default;

    virtual void run(const ReadCellRow &effect) = 0;
    virtual void run(const WriteCellRow &effect) = 0;
    virtual void run(const ReadMemberRows &effect) = 0;
    virtual void run(const WriteMemberRow &effect) = 0;
    virtual void run(const ReadDocument &effect) = 0;
    virtual void run(const FollowDocument &effect) = 0;
    virtual void run(const ReadCells &effect) = 0;

    /** Returns the size of the largest value that was written to the table, in bytes as sent; 0 if it is not counted. */
    virtual std::size_t largestRowBytes() const { return 0; }
};

} // namespace nutmeghinge
