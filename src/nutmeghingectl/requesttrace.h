#pragma once

#include "timelineentry.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Steps of one request on all nodes, and the state that each node knew when it made a decision. */
class RequestTrace
{
public:
    /** A timeline entry whose information the node had at a step. */
    struct KnownState {
        TimelineEntry entry;
        /** Time from the entry to the step, in milliseconds. */
        std::uint64_t age = 0;
    };

    /** One timeline entry of the request. */
    struct Step {
        TimelineEntry entry;
        /** Time since the previous step, in milliseconds; 0 for the first step. */
        std::uint64_t after = 0;
        /** State that the node knew at this step, latest first; empty for steps that are not decisions. */
        std::vector<KnownState> knownStates;
    };

    /**
     * Collects the steps of the request from the entries of all nodes, which must be sorted
     * by isEarlier(). Returns std::nullopt if no entry has the caller's request id.
     */
    static std::optional<RequestTrace> fromEntries(const std::string &callerId, const std::vector<TimelineEntry> &entries);

    const std::vector<Step> &steps() const { return m_steps; }
    /** Returns how the request ended for its caller, whether it may have run, and its longest delay; one sentence each. */
    std::vector<std::string> conclusions() const;
    /** Returns the steps, the state known at each, and the conclusions, one per line. */
    std::string toText() const;
    nlohmann::json toJson() const;

private:
    std::vector<Step> m_steps;
};

} // namespace nutmeghinge
