#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace nutmeghinge {

/** An IP address and a TCP port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool isEmpty() const { return address.empty(); }

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace nutmeghinge
