#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace nutmeghinge {

/** A whole answer of a target, kept for duplicates of an idempotency key. */
struct StoredAnswer {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

} // namespace nutmeghinge
