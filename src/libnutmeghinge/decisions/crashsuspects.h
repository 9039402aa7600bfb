#pragma once

#include "crashsuspect.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace nutmeghinge {

struct TargetInstance;

/** Returns the number that stands for the incarnation in reports of crashes. */
TargetRun targetRunOf(const TargetInstance &target);

/**
 * Remembers the requests that targets may have crashed under, so that none of them
 * crashes more than a few targets, whichever node it arrives at.
 *
 * Everything that a target was running at its crash is suspect, until a request of
 * the same caller with the same content is answered. A request counts the crashes
 * under its own caller, so that a caller whose requests crash because of what only
 * it sends cannot get the requests of others refused. Crashes under different
 * callers without an answer to any of them in between count too, but one fewer. A
 * first crash only makes the request wait until the target runs no other suspect,
 * so that the next crash has one cause. From the second one on it is refused for a
 * time that grows with each further crash.
 */
class CrashSuspects
{
public:
    static constexpr std::size_t maximumEntries = 1024;
    static constexpr std::size_t maximumCrashes = 8;

    /** What is known of a request. */
    struct Judgement {
        std::uint32_t crashes = 0;
        /** Time for which the request is refused; zero if it may be sent. */
        Duration refusedFor{0};
    };

    bool isEmpty() const { return m_suspects.empty(); }
    std::size_t size() const { return m_suspects.size(); }
    Judgement judge(const RequestIdentity &identity, WallTime now) const;

    /** Records that a target crashed that may have been running the request. Returns whether that was not known. */
    bool recordCrash(const RequestIdentity &identity, TargetRun target, WallTime now);
    /** Records that a target answered the request. Returns whether it was a suspect. */
    bool recordAnswer(const RequestIdentity &identity, WallTime now);
    /** Adds what another node knows. */
    void merge(const CrashSuspect &other, WallTime now);
    /** Removes entries whose time is over. Returns the contents of those that were refused. */
    std::vector<RequestDigest> expire(WallTime now);

    /** Returns the entries that this node has changed since the last call; merged ones are not among them. */
    std::vector<CrashSuspect> takeChanges();
    bool hasChanges() const { return !m_changed.empty(); }
    std::vector<CrashSuspect> all() const;
    /** Returns the entries with at least two crashes, which must survive the loss of all nodes: at most 256, those with most crashes. */
    const std::vector<CrashSuspect> &lasting() const { return m_lasting; }
    /** Returns a number that two nodes have in common if they know the same. */
    std::uint64_t fingerprint() const;

private:
    /** Keeps the size within its limit, and the lasting entries up to date. */
    void changed();

    std::map<RequestDigest, CrashSuspect> m_suspects;
    std::vector<CrashSuspect> m_lasting;
    WallTime m_nextExpiry;
    std::set<RequestDigest> m_changed;
};

} // namespace nutmeghinge
