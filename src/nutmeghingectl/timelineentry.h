#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace nutmeghinge {

/** One timeline record of a node, as read by a command. */
struct TimelineEntry {
    /** Wall time in milliseconds since 1970. */
    std::uint64_t wall = 0;
    /** Orders records with the same wall time. */
    std::uint64_t counter = 0;
    std::string node;
    std::string kind;
    std::string detail;
    std::optional<std::uint64_t> request;
    /** Id that the caller gave the request; empty if it gave none. */
    std::string callerId;
    std::optional<std::uint64_t> shard;
    std::optional<std::uint64_t> member;
    std::optional<std::uint64_t> document;
    /** Fencing token as "TERM.SEQUENCE"; empty if there is none. */
    std::string fence;
};

/** Compares by wall time, counter and node, so that causes are sorted before their effects. */
bool isEarlier(const TimelineEntry &left, const TimelineEntry &right);

} // namespace nutmeghinge
