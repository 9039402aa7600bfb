#pragma once

#include "targetstatement.h"
#include "units.h"

#include <cstdint>
#include <optional>

namespace nutmeghinge {

struct TargetAnnounced;

/**
 * Decides which incarnation of the target beside this node is in use. An announcement
 * is only a claim: another writer may have sent it, or it may arrive after its sender
 * has ended. It replaces the incarnation in use only if that one has ended according to
 * the target's own side, or holds no keys and is silent. One that leaves is followed at
 * once by a later incarnation, if it holds no keys.
 */
class TargetSuccession
{
public:
    enum class Decision : std::uint8_t {
        /** The announcement is from the incarnation in use, and newer than all before. */
        Current,
        /** The announcement is from the incarnation that is in use from now on. */
        Successor,
        /** The announcement was overtaken by a newer one of the same incarnation, or is from an earlier incarnation. */
        Stale,
        /** Nothing shows that the incarnation in use has ended. */
        Unproven,
    };

    /** What is known of the incarnation in use, other than by announcements. */
    struct Evidence {
        /** The target's own side shows that it has ended. */
        bool hasEnded = false;
        /** It may still hold keys. */
        bool holdsKeys = false;
        /** It has said that it is about to stop. */
        bool leaves = false;
    };

    /** silenceLimit: time without an announcement after which an incarnation counts as silent. */
    explicit TargetSuccession(Duration silenceLimit)
        : m_silenceLimit(silenceLimit)
    {
    }

    /** Decides on the announcement, and records it if it is from the incarnation in use then. */
    Decision decide(const TargetAnnounced &announcement, const Evidence &evidence, MonotonicTime now);
    /**
     * Returns whether the incarnation in use is known to run: it has announced itself again, or has replaced one that was known to
     * run. A single announcement may have been sent long ago, before this process started.
     */
    bool isConfirmed() const { return m_confirmed; }

private:
    /** Latest announcement of an incarnation. */
    struct Sighting {
        TargetInstance instance;
        std::uint64_t sequence = 0;
        MonotonicTime at;
    };

    Decision decideOnOther(const Sighting &seen, const Evidence &evidence, MonotonicTime now);

    Duration m_silenceLimit;
    std::optional<Sighting> m_current;
    bool m_confirmed = false;
    /** Other incarnation that announced itself once since the one in use could be replaced. */
    std::optional<Sighting> m_returning;
};

} // namespace nutmeghinge
