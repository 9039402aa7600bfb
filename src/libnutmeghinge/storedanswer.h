#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace nutmeghinge {

/** Complete answer of a target, stored to answer repeated requests with the same Idempotency-Key. */
struct StoredAnswer {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

} // namespace nutmeghinge
