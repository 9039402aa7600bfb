#pragma once

#include "ownershipmap.h"
#include "ownershipmapchanges.h"

#include <optional>
#include <vector>

namespace nutmeghinge {

/** Remembers in which version of the ownership map each shard last changed, so that members get only the changes since theirs. */
class OwnershipMapHistory
{
public:
    /** Forgets all earlier versions; changes are known since this one. */
    void start(const OwnershipMap &map);
    /** Records the next version. Starts anew if it has other shards, sections or hot keys. */
    void record(const OwnershipMap &map);
    /** Returns the changes from the known version to the latest recorded one; empty if they are not known. */
    std::optional<OwnershipMapChanges> changesSince(const Fence &known) const;

private:
    Fence m_start;
    OwnershipMap m_latest;
    /** Version in which each shard last changed. */
    std::vector<Fence> m_changedIn;
};

} // namespace nutmeghinge
