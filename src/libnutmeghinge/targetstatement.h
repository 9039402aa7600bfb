#pragma once

#include "ids.h"
#include "requestrate.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace nutmeghinge {

/** One incarnation of a target. */
struct TargetInstance {
    TargetName name;
    /** Increases with each start of the target. */
    std::uint64_t incarnation = 0;

    friend bool operator==(const TargetInstance &, const TargetInstance &) = default;
};

/** What a target says about itself in the head of an answer. */
struct TargetStatement {
    /** Requests that the target takes from all nodes together; empty if it names no limit. Zero: none at present. */
    std::optional<RequestRate> limit;
    /** The target is about to stop and wants no new requests. */
    bool leaving = false;
    /** Name of the target that has answered, if the answer states it. It differs if another target has taken over the endpoint. */
    TargetName answeredBy;
    /** Why a part of the statement could not be read; empty if all was. An unreadable part changes nothing. */
    std::string problem;

    bool isEmpty() const { return !limit && !leaving && problem.empty(); }
    friend bool operator==(const TargetStatement &, const TargetStatement &) = default;
};

/** Statement of another member's target, as that member's answer relayed it. Nodes repeat it to the member with the requests that they forward. */
struct RelayedStatement {
    TargetInstance target;
    TargetStatement statement;
    /** Time since the target was first known to leave; zero if it does not leave. */
    Duration leavingFor{0};

    friend bool operator==(const RelayedStatement &, const RelayedStatement &) = default;
};

} // namespace nutmeghinge
