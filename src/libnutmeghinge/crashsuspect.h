#pragma once

#include "ids.h"
#include "requestidentity.h"
#include "units.h"

#include <vector>

namespace nutmeghinge {

/** A target that crashed while it may have been running a request. */
struct SuspectedCrash {
    TargetRun target;
    /** Caller whose request the target was running. */
    CallerDigest caller;
    WallTime at;
    /** Time at which a request of this caller was answered after the crash; zero if none was. */
    WallTime clearedAt{};

    friend bool operator==(const SuspectedCrash &, const SuspectedCrash &) = default;
};

/** Requests with the same content that may be the cause of crashes. Copies at several nodes are merged in any order. */
struct CrashSuspect {
    RequestDigest content;
    /** Time of the latest answer to such a request of any caller; zero if there was none. */
    WallTime answeredAt{};
    /** Sorted by time, target and caller; one entry for each target and caller. */
    std::vector<SuspectedCrash> crashes;

    friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

} // namespace nutmeghinge
