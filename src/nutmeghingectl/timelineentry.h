#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace nutmeghinge {

/** One time line record of a node, as a command reads it. */
struct TimelineEntry {
    /** Milliseconds since 1970. */
    std::uint64_t wall = 0;
    std::uint64_t counter = 0;
    std::string node;
    std::string kind;
    std::string detail;
    std::optional<std::uint64_t> request;
    /** Id that the caller gave the request; empty where it gave none. */
    std::string callerId;
    std::optional<std::uint64_t> shard;
    std::optional<std::uint64_t> member;
    std::optional<std::uint64_t> document;
    /** "TERM.SEQUENCE"; empty where there is none. */
    std::string fence;
};

/** By wall time, counter and node: what caused another comes first. */
bool isEarlier(const TimelineEntry &left, const TimelineEntry &right);

} // namespace nutmeghinge
