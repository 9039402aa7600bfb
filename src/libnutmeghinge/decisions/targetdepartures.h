#pragma once

#include "targetstatement.h"

#include <vector>

namespace nutmeghinge {

/**
 * Targets beside this node that have said that they are about to stop. A departure
 * lasts until the incarnation has ended, so none is ever taken back. The node's
 * member row keeps them for later processes of the node.
 */
class TargetDepartures
{
public:
    /** Adds a departure. Returns false if it was known. */
    bool add(const TargetInstance &departed);
    /** Returns whether this incarnation leaves. A departure also covers the earlier incarnations of its target. */
    bool covers(const TargetInstance &target) const;
    /** Returns the known departures, oldest first. */
    const std::vector<TargetInstance> &all() const { return m_departed; }

private:
    std::vector<TargetInstance> m_departed;
};

} // namespace nutmeghinge
