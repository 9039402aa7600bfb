#pragma once

#include <cstdint>
#include <optional>

namespace nutmeghinge {

/** Returns the bytes that a TCP socket has received since its connection was opened; std::nullopt if the system does not tell. */
std::optional<std::uint64_t> receivedBytes(int descriptor);

} // namespace nutmeghinge
