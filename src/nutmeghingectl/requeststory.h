#pragma once

#include "timelineentry.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge {

/** What one request went through on all nodes, and what the nodes believed when they decided. */
class RequestStory
{
public:
    /** What a node knew at a step, and for how long. */
    struct Belief {
        TimelineEntry entry;
        /** Milliseconds from the entry to the step. */
        std::uint64_t age = 0;
    };

    struct Step {
        TimelineEntry entry;
        /** Milliseconds since the step before; zero for the first. */
        std::uint64_t after = 0;
        std::vector<Belief> beliefs;
    };

    /**
     * Picks the request's steps out of the entries of all nodes, sorted by isEarlier().
     * Nothing where no entry names the caller's id.
     */
    static std::optional<RequestStory> of(const std::string &callerId, const std::vector<TimelineEntry> &entries);

    const std::vector<Step> &steps() const { return m_steps; }
    /** How the request ended for its caller, and whether it ran; one sentence each. */
    std::vector<std::string> conclusions() const;
    /** Steps, their beliefs and the conclusions, a line each. */
    std::string toText() const;
    nlohmann::json toJson() const;

private:
    std::vector<Step> m_steps;
};

} // namespace nutmeghinge
